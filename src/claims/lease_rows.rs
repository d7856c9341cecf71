//! How the lease manager updates its state from a row that it read or wrote.

use crate::claims::HeldSlot;
use crate::claims::LeaseManager;
use crate::claims::Member;
use crate::claims::OtherOwner;
use crate::claims::SLOT_COUNT;
use crate::claims::SlotMap;
use crate::claims::held_slots;
use crate::claims::lease_manager::Pending;
use crate::claims::lease_manager::Row;
use crate::core::FastMap;
use crate::core::TimeMs;

/// Delay, in leases, before this process announces a take-over again after the victim removed its
/// intent.
const REANNOUNCE_DELAY_LEASES: u64 = 4;

impl LeaseManager {
    /// Accepts a row that was current at some moment after `sent_at`, and updates all state derived
    /// from it.
    pub(super) fn accept_row(&mut self, now: TimeMs, sent_at: TimeMs, row: Row) {
        let older = self
            .row
            .as_ref()
            .is_some_and(|known| known.version > row.version);
        if older {
            return;
        }
        if self
            .unresolved
            .is_some_and(|lost| lost.expected != row.version)
        {
            // The row has another version: the lost write has either taken effect or never will.
            self.unresolved = None;
        }
        let listed = row.map.member(self.me.instance).is_some();
        if listed && !row.map.has_intent_against(self.me.instance) {
            let until = sent_at + self.conf.terms.lease_ms;
            self.slot_lease.lease_until = self.slot_lease.lease_until.max(until);
            self.last_clean_read_at = self.last_clean_read_at.max(Some(sent_at));
        }
        self.unowned_since = if row.map.unowned().is_empty() {
            None
        } else {
            self.unowned_since.or(Some(now))
        };
        self.update_own_intents(now, &row.map);
        self.update_hand_over(now, &row.map);
        self.row = Some(row);
        self.derive_slot_lease(now);
        self.update_missing(now);
    }

    fn update_own_intents(&mut self, now: TimeMs, map: &SlotMap) {
        let me = self.me.instance;
        self.postpone_removed_intents(now, map);
        let own = map.intents.iter().filter(|intent| intent.by == me);
        let seen: FastMap<u64, TimeMs> = own
            .map(|intent| {
                let at = self.intents.get(&intent.id).copied();
                (intent.id, at.unwrap_or(now))
            })
            .collect();
        self.intents = seen;
    }

    /// Delays the next announcement against a member that removed this process's intent.
    ///
    /// If the intent is gone while its victim is still listed, the victim removed it. The victim is
    /// alive, although this node cannot see it. An immediate new announcement would make both write
    /// the row in turn.
    fn postpone_removed_intents(&mut self, now: TimeMs, map: &SlotMap) {
        let Some(before) = &self.row else {
            return;
        };
        let me = self.me.instance;
        for intent in before.map.intents.iter().filter(|intent| intent.by == me) {
            let is_gone = !map.intents.iter().any(|other| other.id == intent.id);
            if is_gone && let Some(since) = self.missing_since.get_mut(&intent.victim) {
                *since = now + REANNOUNCE_DELAY_LEASES * self.conf.terms.lease_ms;
            }
        }
    }

    /// Ends a hand-over that the row shows to be complete or impossible.
    fn update_hand_over(&mut self, now: TimeMs, map: &SlotMap) {
        let Some(handing_over) = &self.handing_over else {
            return;
        };
        let me = self.me.instance;
        let still_own = |slot: &usize| map.slots[*slot].owner == Some(me);
        if !handing_over.slot_transfer.slots.iter().any(still_own) {
            self.handing_over = None;
            self.next_hand_over_at = now;
            return;
        }
        let Some(receiver) = handing_over.slot_transfer.receiver else {
            return;
        };
        if map.member(receiver).is_none_or(|member| !member.serving) {
            self.cancel_hand_over(now);
        }
    }

    /// Cancels the hand-over and keeps the slots. This is allowed only while no write that gives
    /// them away can take effect. Otherwise the receiver could come to own them while this process
    /// still uses them.
    pub(super) fn cancel_hand_over(&mut self, now: TimeMs) {
        let confirmed = self
            .handing_over
            .as_ref()
            .is_some_and(|handing_over| handing_over.confirmed);
        if confirmed && (self.pending_write() || self.unresolved.is_some()) {
            return;
        }
        self.handing_over = None;
        self.next_hand_over_at = now + self.conf.hand_over_retry_ms;
        self.derive_slot_lease(now);
    }

    pub(super) fn pending_write(&self) -> bool {
        matches!(self.pending, Some((_, _, Pending::Write(_))))
    }

    pub(super) fn derive_slot_lease(&mut self, now: TimeMs) {
        let Some(row) = &self.row else {
            return;
        };
        let me = self.me.instance;
        let handed_over: &[usize] = self
            .handing_over
            .as_ref()
            .map_or(&[], |handing_over| &handing_over.slot_transfer.slots);
        for slot in 0..SLOT_COUNT {
            let entry = row.map.slots[slot];
            let before = self.slot_lease.held[slot];
            let held = held_slots::held(slot, entry, me, before, &self.received, now, self.limits);
            self.slot_lease.held[slot] = held.map(|held| HeldSlot {
                handing_over: handed_over.contains(&slot),
                ..held
            });
            let other = entry.owner.filter(|owner| *owner != me);
            let member = other.and_then(|owner| row.map.member(owner));
            self.slot_lease.others[slot] = member.map(|member| OtherOwner {
                node: member.node.clone(),
                epoch: entry.epoch,
            });
        }
    }

    /// Updates since when each member has been missing from the membership view. A member also
    /// counts as missing if another process of its node joined later, or if it is another process
    /// of this node.
    pub(super) fn update_missing(&mut self, now: TimeMs) {
        let Some(row) = &self.row else {
            return;
        };
        let map = &row.map;
        let missing = |member: &&Member| {
            let replaced = map
                .members
                .iter()
                .any(|other| other.node == member.node && other.added > member.added);
            let is_me = member.instance == self.me.instance;
            let is_same_node = member.node == self.me.node && !is_me;
            !is_me && (replaced || is_same_node || !self.conditions.alive.contains(&member.node))
        };
        let missing = map.members.iter().filter(missing);
        self.missing_since = missing
            .map(|member| {
                let since = self.missing_since.get(&member.instance).copied();
                (member.instance, since.unwrap_or(now))
            })
            .collect();
    }
}
