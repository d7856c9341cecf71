//! From what moment on a slot that the row gives to this process may be used.

use crate::claims::HeldSlot;
use crate::claims::MovedSlot;
use crate::claims::ResendLimits;
use crate::claims::SlotEntry;
use crate::core::TimeMs;

/// A ledger that was received and whose slots may follow in the row.
#[derive(Clone, Debug)]
pub struct Received {
    pub id: u64,
    pub at: TimeMs,
    pub slots: Vec<MovedSlot>,
}

/// The slot as held by `me`, if the row says that it is the owner.
///
/// A slot never owned before has no history. One that came with its ledger continues the giver's
/// grace period. Any other one begins a grace period: its former owner may have run any key.
pub fn held(
    slot: usize,
    entry: SlotEntry,
    me: u64,
    before: Option<HeldSlot>,
    received: &[Received],
    now: TimeMs,
    limits: ResendLimits,
) -> Option<HeldSlot> {
    if entry.owner != Some(me) {
        return None;
    }
    if let Some(before) = before.filter(|before| before.epoch == entry.epoch) {
        return Some(before);
    }
    let grace_until = match grace_received(slot, entry, received) {
        _ if entry.epoch == 1 => TimeMs(0),
        Some(until) => until,
        None => now + limits.grace_ms(),
    };
    Some(HeldSlot {
        epoch: entry.epoch,
        grace_until,
        handing_over: false,
    })
}

fn grace_received(slot: usize, entry: SlotEntry, received: &[Received]) -> Option<TimeMs> {
    if entry.transfer == 0 {
        return None;
    }
    let transfer = received
        .iter()
        .find(|transfer| transfer.id == entry.transfer)?;
    let moved = transfer
        .slots
        .iter()
        .find(|moved| usize::from(moved.slot) == slot)?;
    Some(transfer.at + moved.grace_left_ms)
}
