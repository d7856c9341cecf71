//! Decides from when on this process may use a slot that the row assigns to it.

use crate::claims::HeldSlot;
use crate::claims::MovedSlot;
use crate::claims::ResendLimits;
use crate::claims::SlotEntry;
use crate::core::TimeMs;

/// A ledger transfer that was received. The row may assign its slots to this process later.
#[derive(Clone, Debug)]
pub struct ReceivedTransfer {
    pub id: u64,
    pub at: TimeMs,
    pub slots: Vec<MovedSlot>,
}

/// The slot as held by `me`, or `None` if the row names another owner.
///
/// A slot in epoch 1 was never owned before, so no key can have run and it needs no grace period. A
/// slot that came with its ledger continues the grace period of its former owner. Any other slot
/// begins a new grace period, because its former owner may have run any key.
pub fn held(
    slot: usize,
    entry: SlotEntry,
    me: u64,
    before: Option<HeldSlot>,
    received: &[ReceivedTransfer],
    now: TimeMs,
    limits: ResendLimits,
) -> Option<HeldSlot> {
    if entry.owner != Some(me) {
        return None;
    }
    if let Some(before) = before.filter(|before| before.epoch == entry.epoch) {
        return Some(before);
    }
    let grace_until = match transferred_grace(slot, entry, received) {
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

fn transferred_grace(
    slot: usize,
    entry: SlotEntry,
    received: &[ReceivedTransfer],
) -> Option<TimeMs> {
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
