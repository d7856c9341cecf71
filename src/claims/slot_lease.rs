//! The lease and the slots of this process, against which the ledger checks calls.

use crate::claims::SLOT_COUNT;
use crate::core::Name;
use crate::core::TimeMs;

/// A slot that this process owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSlot {
    pub epoch: u64,
    /// Before this time, a key that is not in the ledger may start only with a call that is
    /// certainly its first. A previous owner may have run any other key.
    pub grace_until: TimeMs,
    /// The ledger of the slot is being handed over, and no further key may start here.
    pub handing_over: bool,
}

/// Another node that owns a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OtherOwner {
    pub node: Name,
    pub epoch: u64,
}

/// The lease, the slots held under it, and the known owners of the other slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotLease {
    /// Keys that are not in the ledger may start only before this time.
    pub lease_until: TimeMs,
    pub held: [Option<HeldSlot>; SLOT_COUNT],
    pub others: [Option<OtherOwner>; SLOT_COUNT],
}

impl SlotLease {
    /// No slot held and no other owner known.
    pub fn none_held() -> Self {
        Self {
            lease_until: TimeMs(0),
            held: [None; SLOT_COUNT],
            others: std::array::from_fn(|_| None),
        }
    }

    /// The number of held slots.
    pub fn count(&self) -> usize {
        self.held.iter().flatten().count()
    }
}
