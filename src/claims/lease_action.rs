//! What the lease manager asks its surroundings to do, and what it is told.

use crate::claims::SlotMap;
use crate::core::FastSet;
use crate::core::Name;

/// An action of [`crate::claims::LeaseManager`]. Every action is answered once, a failure or a
/// timeout included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the service's row.
    ReadRow { op: u64 },
    /// Write the service's row if it still has the expected version (`None`: if there is none).
    WriteRow {
        op: u64,
        expected: Option<u64>,
        map: SlotMap,
    },
    /// Ask a member for the promise not to take over.
    AskPromise { round: u64, node: Name, member: u64 },
    /// Send the ledger of slots that are given to a member. By now the slot_lease marks them as given.
    HandOver {
        transfer: u64,
        node: Name,
        member: u64,
        slots: Vec<usize>,
    },
}

/// What became of a read of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The row with its version, or that there is none.
    Row(Option<(u64, SlotMap)>),
    /// No answer, or an answer that cannot be used.
    Failed,
}

/// What became of a write of the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It is written, and has this version.
    Applied { version: u64 },
    /// The row had another version; certainly not written.
    Conflict,
    /// Certainly not written.
    NotWritten,
    /// The answer was lost: it may be written, now or later.
    Unknown,
}

/// What the node knows of itself and its surroundings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeConditions {
    /// The backend server takes work.
    pub serving: bool,
    /// It said itself that it takes no more work, which is no passing trouble.
    pub draining: bool,
    /// The node is about to stop: it gives everything away and leaves.
    pub stopping: bool,
    /// Names of the nodes of this service that membership does not take to be gone.
    pub alive: FastSet<Name>,
}
