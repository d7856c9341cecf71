//! Promises not to take over slots: those requested from other members and those made to them.

use crate::claims::LeaseTerms;
use crate::control::Promise;
use crate::core::FastSet;
use crate::core::Name;
use crate::core::TimeMs;

/// The promises of one node. The sets are bounded by the number of members in the row.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    round: u64,
    asked_at: TimeMs,
    next_round_at: TimeMs,
    /// Members that have not answered the present round yet.
    unanswered: FastSet<u64>,
    /// The shortest duration among the promises of the present round. [`u64::MAX`] stands for a
    /// promise that never expires.
    hold_ms: u64,
    /// Members that are leaving and promised to take over no more slots.
    permanent_promises: FastSet<u64>,
    promised_until: TimeMs,
    /// This node is leaving and promised to take over no more slots.
    has_promised_permanently: bool,
}

impl Promises {
    /// Whether the next round may start.
    pub fn is_due(&self, now: TimeMs) -> bool {
        now >= self.next_round_at
    }

    /// Starts a round. Returns its number and the members to ask.
    pub fn start_round(
        &mut self,
        now: TimeMs,
        next_round_at: TimeMs,
        members: Vec<(u64, Name)>,
    ) -> (u64, Vec<(u64, Name)>) {
        self.round += 1;
        self.asked_at = now;
        self.next_round_at = next_round_at;
        self.hold_ms = u64::MAX;
        let listed = |instance: &u64| members.iter().any(|(member, _)| member == instance);
        self.permanent_promises.retain(listed);
        let mut to_ask = members;
        to_ask.retain(|(member, _)| !self.permanent_promises.contains(member));
        self.unanswered = to_ask.iter().map(|(member, _)| *member).collect();
        (self.round, to_ask)
    }

    /// Processes an answer. Once every member has promised, returns when the round was started and
    /// how long the promises hold from then on.
    pub fn on_answer(
        &mut self,
        round: u64,
        member: u64,
        promise: &Promise,
    ) -> Option<(TimeMs, u64)> {
        let Promise::Granted { hold_ms } = promise else {
            return None;
        };
        if *hold_ms == u64::MAX && self.unanswered.contains(&member) {
            self.permanent_promises.insert(member);
        }
        if round != self.round {
            return None;
        }
        self.unanswered.remove(&member);
        self.hold_ms = self.hold_ms.min(*hold_ms);
        self.unanswered
            .is_empty()
            .then_some((self.asked_at, self.hold_ms))
    }

    /// Promises an owner with these terms not to take over for as long as the owner relies on the
    /// promise. A node that is leaving makes a promise that never expires.
    pub fn promise(&mut self, now: TimeMs, terms: LeaseTerms, leaving: bool) -> Promise {
        self.has_promised_permanently |= leaving;
        let until = now + terms.lease_expiry_wait_ms();
        self.promised_until = self.promised_until.max(until);
        let hold_ms = if self.has_promised_permanently {
            u64::MAX
        } else {
            terms.lease_ms
        };
        Promise::Granted { hold_ms }
    }

    /// Whether no promise prevents a take-over. A promise covers the whole service, because the
    /// asker may meanwhile own slots that this node still attributes to another member.
    pub fn may_take_over(&self, now: TimeMs) -> bool {
        !self.has_promised_permanently && now >= self.promised_until
    }
}
