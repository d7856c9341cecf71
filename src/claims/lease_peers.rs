//! What the lease manager asks of other members: to take slots, and promises.

use crate::claims::Action;
use crate::claims::LeaseManager;
use crate::claims::fair_share::candidates;
use crate::claims::fair_share::next_gift;
use crate::claims::lease_manager::Giving;
use crate::claims::row_plan::Given;
use crate::control::Promise;
use crate::core::Name;
use crate::core::TimeMs;

impl LeaseManager {
    pub(super) fn start_giving(&mut self, now: TimeMs) -> Option<Action> {
        if self.handing_over.is_some() || now < self.give_at || self.pending_write() {
            return None;
        }
        let clean_at = self.clean_at?;
        if self.unresolved.is_some() || now.since(clean_at) > 2 * self.conf.read_every_ms {
            return None;
        }
        let map = &self.row.as_ref()?.map;
        let mut slots = map.slots_of(self.me.instance);
        let stopping = self.conditions.stopping;
        let leaving = stopping || !self.is_serving(now);
        let alive = |instance: u64| !self.missing_since.contains_key(&instance);
        let others = candidates(map, alive);
        let gift = next_gift(&others, self.me.instance, slots.len(), leaving);
        let given = match gift {
            Some((receiver, count)) => {
                slots.drain(..slots.len() - count);
                self.new_given(Some(receiver), slots)
            }
            None if stopping && !slots.is_empty() => self.new_given(None, slots),
            None => return None,
        };
        self.begin_giving(now, given)
    }

    fn new_given(&mut self, receiver: Option<u64>, slots: Vec<usize>) -> Given {
        self.transfers += 1;
        Given {
            transfer: (self.me.instance << 32) | u64::from(self.transfers),
            receiver,
            slots,
        }
    }

    fn begin_giving(&mut self, now: TimeMs, given: Given) -> Option<Action> {
        let member = given
            .receiver
            .and_then(|receiver| self.row.as_ref()?.map.member(receiver));
        let action = member.map(|member| Action::HandOver {
            transfer: given.transfer,
            node: member.node.clone(),
            member: member.instance,
            slots: given.slots.clone(),
        });
        // Without a receiver the slots are released; the next owner then has no ledger.
        let confirmed = action.is_none();
        if confirmed {
            self.next_read_at = now;
        }
        self.handing_over = Some(Giving { given, confirmed });
        self.derive_holding(now);
        action
    }

    /// Asks the members for promises when the table has not answered for a while.
    pub(super) fn ask_promises(&mut self, now: TimeMs) -> Vec<Action> {
        let (Some(clean_at), Some(row)) = (self.clean_at, &self.row) else {
            return Vec::new();
        };
        let waiting = now.since(clean_at) < self.conf.promises_after_ms;
        if waiting || self.slot_lease.count() == 0 || !self.promises.is_due(now) {
            return Vec::new();
        }
        // Members of other regions may only take over by the long way, which outlasts promises.
        let asked = row.map.members.iter().filter(|member| {
            member.instance != self.me.instance && member.region == self.me.region
        });
        let members: Vec<(u64, Name)> = asked
            .map(|member| (member.instance, member.node.clone()))
            .collect();
        let next_at = now + self.conf.promises_every_ms;
        let (round, to_ask) = self.promises.start_round(now, next_at, members);
        // With nobody to ask there is nobody who could take over by the short way.
        let nobody = Promise::Granted { hold_ms: u64::MAX };
        self.on_promise(now, round, self.me.instance, &nobody);
        let ask = |(member, node)| Action::AskPromise {
            round,
            node,
            member,
        };
        to_ask.into_iter().map(ask).collect()
    }
}
