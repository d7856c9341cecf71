//! Ledger entries and their encoding in transfers between owners.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::control::KeptAnswer;
use crate::core::Name;
use crate::core::TimeMs;
use crate::errors::ClaimsError;

/// The node that received a slot, and the transfer that carried it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferTarget {
    pub node: Name,
    pub instance: u64,
    pub transfer: u64,
}

/// The process that handed a key over, and the transfer that carried it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferSource {
    pub instance: u64,
    /// Increases with each transfer of one sender.
    pub transfer: u64,
}

impl TransferSource {
    /// Used when several processes handed the same key over. No key update matches it, so an update
    /// that the call was not started cannot remove the key.
    const AMBIGUOUS: Self = Self {
        instance: 0,
        transfer: u64::MAX,
    };

    /// The source to record for a key that was handed over twice: the later transfer of the same
    /// sender, or [`Self::AMBIGUOUS`] for different senders.
    pub fn latest(self, other: Self) -> Self {
        if self.instance != other.instance {
            return Self::AMBIGUOUS;
        }
        if self.transfer > other.transfer {
            self
        } else {
            other
        }
    }
}

/// The state of a key's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// The call was accepted here and waits or runs. If its slot was handed over since, `moved_to`
    /// names the new owner, which receives a key update when the call ends.
    Running { moved_to: Option<TransferTarget> },
    /// The slot's former owner accepted the call and has not reported its end.
    RunningElsewhere { by: TransferSource },
    /// The call ran to its end. Its answer is sent again while it is kept.
    Ran { answer: Option<Arc<KeptAnswer>> },
    /// The call was started, and it is unknown how far it ran.
    MayHaveRun,
}

/// One key of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerEntry {
    pub fingerprint: u64,
    pub state: KeyState,
    /// When the key may be removed. Not used while its call runs here.
    pub expires: TimeMs,
}

/// The end of a call, as its guard reports it to the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The backend server answered. The answer is `None` if it is too large to keep.
    Ran(Option<Arc<KeptAnswer>>),
    /// The call was dispatched and its answer was lost.
    MayHaveRun,
}

/// The state of a key in a transfer from one owner to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MovedState {
    Running,
    Ran,
    MayHaveRun,
    /// The call was accepted but certainly never started. The key may run.
    NotStarted,
}

/// One key in a transfer to the slot's next owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MovedKey {
    pub key: Name,
    pub fingerprint: u64,
    pub state: MovedState,
    /// How long the receiver has to keep the key, counted from the receipt.
    pub keep_ms: u64,
    pub answer: Option<KeptAnswer>,
}

/// One slot in a transfer to its next owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MovedSlot {
    pub slot: u8,
    /// The rest of the sender's own grace period, counted from the receipt.
    pub grace_left_ms: u64,
}

/// The ledger of slots that are handed over. With empty `slots` it is an update of keys whose slots
/// were handed over before.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LedgerTransfer {
    pub service: Name,
    /// Links the transfer to the one change of the row that may follow it.
    pub id: u64,
    /// Process instance of the sender.
    pub from: u64,
    /// Process instance of the receiver.
    pub to: u64,
    pub slots: Vec<MovedSlot>,
    pub keys: Vec<MovedKey>,
}

impl LedgerTransfer {
    /// Encodes the transfer for the wire.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain structs always encode")
    }

    /// Decodes a transfer that a peer sent.
    ///
    /// # Errors
    /// When the bytes are not a transfer.
    pub fn decode(bytes: &[u8]) -> Result<Self, ClaimsError> {
        postcard::from_bytes(bytes).map_err(|source| ClaimsError::Transfer { source })
    }
}
