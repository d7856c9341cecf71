//! Calls in flight at the local backend server.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Counts calls in flight and never lets more in than the limit given.
#[derive(Default)]
pub(super) struct Slots {
    in_flight: AtomicU32,
}

/// A place among the calls in flight, given back when it is dropped.
pub(super) struct Slot {
    slots: Arc<Slots>,
}

impl Slots {
    /// Takes a place if fewer than `limit` are taken.
    pub(super) fn take(self: &Arc<Self>, limit: u32) -> Option<Slot> {
        let more = |taken: u32| (taken < limit).then_some(taken + 1);
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more)
            .ok()?;
        Some(Slot {
            slots: self.clone(),
        })
    }

    /// The calls in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
