//! What the ledger knows of one key.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::control::KeptAnswer;
use crate::core::Name;
use crate::core::TimeMs;
use crate::errors::ClaimsError;

/// The node to which a slot was given, and the transfer that gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferTarget {
    pub node: Name,
    pub instance: u64,
    pub transfer: u64,
}

/// The process that handed a key over, and the transfer in which it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferSource {
    pub instance: u64,
    /// Rises with each transfer of one giver.
    pub transfer: u64,
}

impl TransferSource {
    /// Stands for several givers: no news of one of them settles the key.
    const SEVERAL: Self = Self {
        instance: 0,
        transfer: u64::MAX,
    };

    /// Whose news settles a key that was handed over twice.
    pub fn latest(self, other: Self) -> Self {
        if self.instance != other.instance {
            return Self::SEVERAL;
        }
        if self.transfer > other.transfer {
            self
        } else {
            other
        }
    }
}

/// What became of a key's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// It was accepted here and waits or runs. When its slot was given away meanwhile, the new
    /// owner is told how it ended.
    Running { moved_to: Option<TransferTarget> },
    /// The slot's former owner accepted it and has not said how it ended.
    RunningElsewhere { by: TransferSource },
    /// It ran to its end; the answer is repeated while it is kept.
    Ran { answer: Option<Arc<KeptAnswer>> },
    /// It was started, and nobody can say how far it came.
    MayHaveRun,
}

/// One key of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerEntry {
    pub fingerprint: u64,
    pub state: KeyState,
    /// When the key may be forgotten; not used while it runs here.
    pub expires: TimeMs,
}

/// How a call ended, as its guard reports it to the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The backend server answered; the answer is `None` when it is too large to keep.
    Ran(Option<Arc<KeptAnswer>>),
    /// The call was dispatched and its answer was lost.
    MayHaveRun,
}

/// How a key stands, as it is handed from one owner to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MovedState {
    Running,
    Ran,
    MayHaveRun,
    /// It was accepted, but provably never started: the key may run.
    NotStarted,
}

/// One key on its way to the slot's next owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MovedKey {
    pub key: Name,
    pub fingerprint: u64,
    pub state: MovedState,
    /// For how long it has to be remembered from the receipt on.
    pub keep_ms: u64,
    pub answer: Option<KeptAnswer>,
}

/// One slot on its way to its next owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MovedSlot {
    pub slot: u8,
    /// What is left of the giver's own grace period, from the receipt on.
    pub grace_left_ms: u64,
}

/// The ledger of slots, or news of keys whose slots were handed over before (then `slots` is
/// empty).
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LedgerTransfer {
    pub service: Name,
    /// Ties the transfer to the one row change that may follow it.
    pub id: u64,
    /// The process instance of the giver and of the receiver.
    pub from: u64,
    pub to: u64,
    pub slots: Vec<MovedSlot>,
    pub keys: Vec<MovedKey>,
}

impl LedgerTransfer {
    /// The transfer as it travels.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain structs always encode")
    }

    /// Reads a transfer that a peer sent.
    ///
    /// # Errors
    /// When the bytes are not a transfer.
    pub fn decode(bytes: &[u8]) -> Result<Self, ClaimsError> {
        postcard::from_bytes(bytes).map_err(|source| ClaimsError::Transfer { source })
    }
}
