//! What a node holds at present: the part of its claims that the ledger checks calls against.

use crate::claims::SLOT_COUNT;
use crate::core::Name;
use crate::core::TimeMs;

/// A slot that this process owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSlot {
    pub epoch: u64,
    /// Keys that were not seen are refused until then, because a predecessor may have run them.
    pub grace_until: TimeMs,
    /// The ledger of the slot is being handed over: no further key may start here.
    pub handing_over: bool,
}

/// Another node that owns a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OtherOwner {
    pub node: Name,
    pub epoch: u64,
}

/// The lease and the slots of this process, and whom else it knows to own slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotLease {
    /// Unseen keys may start only before this moment.
    pub lease_until: TimeMs,
    pub held: [Option<HeldSlot>; SLOT_COUNT],
    pub others: [Option<OtherOwner>; SLOT_COUNT],
}

impl SlotLease {
    /// Nothing held and nothing known.
    pub fn none_held() -> Self {
        Self {
            lease_until: TimeMs(0),
            held: [None; SLOT_COUNT],
            others: std::array::from_fn(|_| None),
        }
    }

    /// How many slots are held.
    pub fn count(&self) -> usize {
        self.held.iter().flatten().count()
    }
}
