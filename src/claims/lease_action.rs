//! Actions that the lease manager requests, and the results that are reported to it.

use crate::claims::SlotMap;
use crate::core::FastSet;
use crate::core::Name;

/// An action of [`crate::claims::LeaseManager`]. The driver reports exactly one result for each
/// action, also after a failure or a timeout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the service's row.
    ReadRow { op: u64 },
    /// Write the service's row if it still has the expected version. `None` requires that no row
    /// exists.
    WriteRow {
        op: u64,
        expected: Option<u64>,
        map: SlotMap,
    },
    /// Ask a member for the promise not to take over this node's slots.
    AskPromise { round: u64, node: Name, member: u64 },
    /// Send the ledger of slots to the member that receives them. The slot lease already marks
    /// these slots as being handed over.
    HandOver {
        transfer: u64,
        node: Name,
        member: u64,
        slots: Vec<usize>,
    },
}

/// Result of a read of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The row with its version, or `None` if no row exists.
    Row(Option<(u64, SlotMap)>),
    /// No answer, or an answer that cannot be used.
    Failed,
}

/// Result of a conditional write of the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The row was written and has this version.
    Applied { version: u64 },
    /// The row had another version and was certainly not written.
    Conflict,
    /// The row was certainly not written.
    NotWritten,
    /// The answer was lost. The write may have taken effect, or may still do so later.
    Unknown,
}

/// The state of the node and of its service's other nodes, as known to this node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeConditions {
    /// The backend server accepts work.
    pub serving: bool,
    /// The backend server announced that it accepts no more work. This is not a temporary failure,
    /// so the slots are handed over without a delay.
    pub draining: bool,
    /// The node is about to stop: it hands over all slots and leaves the row.
    pub stopping: bool,
    /// Names of the nodes of this service that membership does not consider gone.
    pub alive: FastSet<Name>,
}
