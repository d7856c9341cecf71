//! What the lease manager learns from a row that it read or wrote.

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

/// How many leases pass before slots are announced again whose owner turned out to live.
const REBUFFED_LEASES: u64 = 4;

impl LeaseManager {
    /// Takes in a row that was true at some moment after `sent_at`, and plans the next write.
    pub(super) fn accept(&mut self, now: TimeMs, sent_at: TimeMs, row: Row) {
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
            // The row has moved on: the lost write took effect, or it never will.
            self.unresolved = None;
        }
        let listed = row.map.member(self.me.instance).is_some();
        if listed && !row.map.is_threatened(self.me.instance) {
            let until = sent_at + self.conf.terms.lease_ms;
            self.slot_lease.lease_until = self.slot_lease.lease_until.max(until);
            self.clean_at = self.clean_at.max(Some(sent_at));
        }
        self.unowned_since = if row.map.unowned().is_empty() {
            None
        } else {
            self.unowned_since.or(Some(now))
        };
        self.note_intents(now, &row.map);
        self.note_given(now, &row.map);
        self.row = Some(row);
        self.derive_holding(now);
        self.note_missing(now);
    }

    fn note_intents(&mut self, now: TimeMs, map: &SlotMap) {
        let me = self.me.instance;
        self.note_rebuffs(now, map);
        let own = map.intents.iter().filter(|intent| intent.by == me);
        let seen: FastMap<u64, TimeMs> = own
            .map(|intent| {
                let at = self.intents.get(&intent.id).copied();
                (intent.id, at.unwrap_or(now))
            })
            .collect();
        self.intents = seen;
    }

    /// An own intent that is gone while its victim is listed was removed by the victim: it lives,
    /// though not for this node. To announce again at once would only make both write in turn.
    fn note_rebuffs(&mut self, now: TimeMs, map: &SlotMap) {
        let Some(before) = &self.row else {
            return;
        };
        let me = self.me.instance;
        for intent in before.map.intents.iter().filter(|intent| intent.by == me) {
            let is_gone = !map.intents.iter().any(|other| other.id == intent.id);
            if is_gone && let Some(since) = self.missing_since.get_mut(&intent.victim) {
                *since = now + REBUFFED_LEASES * self.conf.terms.lease_ms;
            }
        }
    }

    /// Ends a hand-over that the row shows to be done or impossible.
    fn note_given(&mut self, now: TimeMs, map: &SlotMap) {
        let Some(handing_over) = &self.handing_over else {
            return;
        };
        let me = self.me.instance;
        let still_own = |slot: &usize| map.slots[*slot].owner == Some(me);
        if !handing_over.given.slots.iter().any(still_own) {
            self.handing_over = None;
            self.give_at = now;
            return;
        }
        let Some(receiver) = handing_over.given.receiver else {
            return;
        };
        if map.member(receiver).is_none_or(|member| !member.serving) {
            self.cancel_giving(now);
        }
    }

    /// Keeps the slots after all. Only while no write that gives them away can take effect: the
    /// receiver would own them by it while this process goes on.
    pub(super) fn cancel_giving(&mut self, now: TimeMs) {
        let confirmed = self.handing_over.as_ref().is_some_and(|handing_over| handing_over.confirmed);
        if confirmed && (self.pending_write() || self.unresolved.is_some()) {
            return;
        }
        self.handing_over = None;
        self.give_at = now + self.conf.give_again_ms;
        self.derive_holding(now);
    }

    pub(super) fn pending_write(&self) -> bool {
        matches!(self.pending, Some((_, _, Pending::Write(_))))
    }

    pub(super) fn derive_holding(&mut self, now: TimeMs) {
        let Some(row) = &self.row else {
            return;
        };
        let me = self.me.instance;
        let given: &[usize] = self
            .handing_over
            .as_ref()
            .map_or(&[], |handing_over| &handing_over.given.slots);
        for slot in 0..SLOT_COUNT {
            let entry = row.map.slots[slot];
            let before = self.slot_lease.held[slot];
            let held = held_slots::held(slot, entry, me, before, &self.received, now, self.limits);
            self.slot_lease.held[slot] = held.map(|held| HeldSlot {
                handing_over: given.contains(&slot),
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

    /// Notes since when members are gone from the view. A member whose node runs as another
    /// process that joined later is gone, too.
    pub(super) fn note_missing(&mut self, now: TimeMs) {
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
            let was_me = member.node == self.me.node && !is_me;
            !is_me && (replaced || was_me || !self.conditions.alive.contains(&member.node))
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
