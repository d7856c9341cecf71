//! Requests of the lease manager to other members: hand-overs of slots, and promises.

use crate::claims::Action;
use crate::claims::LeaseManager;
use crate::claims::fair_share::candidates;
use crate::claims::fair_share::next_hand_over;
use crate::claims::lease_manager::OutgoingHandOver;
use crate::claims::row_plan::SlotTransfer;
use crate::control::Promise;
use crate::core::Name;
use crate::core::TimeMs;

impl LeaseManager {
    pub(super) fn start_hand_over(&mut self, now: TimeMs) -> Option<Action> {
        if self.handing_over.is_some() || now < self.next_hand_over_at || self.pending_write() {
            return None;
        }
        let last_clean_read_at = self.last_clean_read_at?;
        if self.unresolved.is_some()
            || now.since(last_clean_read_at) > 2 * self.conf.read_interval_ms
        {
            return None;
        }
        let map = &self.row.as_ref()?.map;
        let mut slots = map.slots_of(self.me.instance);
        let stopping = self.conditions.stopping;
        let leaving = stopping || !self.is_serving(now);
        let alive = |instance: u64| !self.missing_since.contains_key(&instance);
        let eligible = candidates(map, alive);
        let assignment = next_hand_over(&eligible, self.me.instance, slots.len(), leaving);
        let slot_transfer = match assignment {
            Some((receiver, count)) => {
                slots.drain(..slots.len() - count);
                self.new_slot_transfer(Some(receiver), slots)
            }
            None if stopping && !slots.is_empty() => self.new_slot_transfer(None, slots),
            None => return None,
        };
        self.begin_hand_over(now, slot_transfer)
    }

    fn new_slot_transfer(&mut self, receiver: Option<u64>, slots: Vec<usize>) -> SlotTransfer {
        self.transfers += 1;
        SlotTransfer {
            transfer: (self.me.instance << 32) | u64::from(self.transfers),
            receiver,
            slots,
        }
    }

    fn begin_hand_over(&mut self, now: TimeMs, slot_transfer: SlotTransfer) -> Option<Action> {
        let member = slot_transfer
            .receiver
            .and_then(|receiver| self.row.as_ref()?.map.member(receiver));
        let action = member.map(|member| Action::HandOver {
            transfer: slot_transfer.transfer,
            node: member.node.clone(),
            member: member.instance,
            slots: slot_transfer.slots.clone(),
        });
        // Without a receiver the slots are released, and their next owner starts without a ledger.
        let confirmed = action.is_none();
        if confirmed {
            self.next_read_at = now;
        }
        self.handing_over = Some(OutgoingHandOver {
            slot_transfer,
            confirmed,
        });
        self.derive_slot_lease(now);
        action
    }

    /// Asks the members for promises when there was no clean read for `promises_after_ms`.
    pub(super) fn ask_promises(&mut self, now: TimeMs) -> Vec<Action> {
        let (Some(last_clean_read_at), Some(row)) = (self.last_clean_read_at, &self.row) else {
            return Vec::new();
        };
        let waiting = now.since(last_clean_read_at) < self.conf.promises_after_ms;
        if waiting || self.slot_lease.count() == 0 || !self.promises.is_due(now) {
            return Vec::new();
        }
        // Members of other regions need no promise. They may take over only after
        // `outage_expiry_wait_ms`, when this owner no longer relies on promises.
        let asked = row.map.members.iter().filter(|member| {
            member.instance != self.me.instance && member.region == self.me.region
        });
        let members: Vec<(u64, Name)> = asked
            .map(|member| (member.instance, member.node.clone()))
            .collect();
        let next_at = now + self.conf.promise_interval_ms;
        let (round, to_ask) = self.promises.start_round(now, next_at, members);
        // If there is no member to ask, no member could take over after the short wait. The own
        // promise then completes the round at once. Otherwise it has no effect.
        let own_promise = Promise::Granted { hold_ms: u64::MAX };
        self.on_promise(now, round, self.me.instance, &own_promise);
        let ask = |(member, node)| Action::AskPromise {
            round,
            node,
            member,
        };
        to_ask.into_iter().map(ask).collect()
    }
}
