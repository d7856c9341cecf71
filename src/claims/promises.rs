//! Promises not to take over: those asked of others and those given to others.

use crate::claims::LeaseTerms;
use crate::control::Promise;
use crate::core::FastSet;
use crate::core::Name;
use crate::core::TimeMs;

/// The promises of one node. The sets are bounded by the members of the row.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    round: u64,
    asked_at: TimeMs,
    next_round_at: TimeMs,
    /// Who has not answered the present round yet.
    open: FastSet<u64>,
    hold_ms: u64,
    /// Members that said they leave and take nothing over any more.
    resigned: FastSet<u64>,
    promised_until: TimeMs,
    has_resigned: bool,
}

impl Promises {
    /// Whether another round may start.
    pub fn is_due(&self, now: TimeMs) -> bool {
        now >= self.next_round_at
    }

    /// Starts a round; returns its number and whom to ask.
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
        self.resigned.retain(listed);
        let mut to_ask = members;
        to_ask.retain(|(member, _)| !self.resigned.contains(member));
        self.open = to_ask.iter().map(|(member, _)| *member).collect();
        (self.round, to_ask)
    }

    /// Takes in an answer. When every member has promised: when the round was asked and for how
    /// long the promises hold from then on.
    pub fn on_answer(
        &mut self,
        round: u64,
        member: u64,
        promise: &Promise,
    ) -> Option<(TimeMs, u64)> {
        let Promise::Granted { hold_ms } = promise else {
            return None;
        };
        if *hold_ms == u64::MAX && self.open.contains(&member) {
            self.resigned.insert(member);
        }
        if round != self.round {
            return None;
        }
        self.open.remove(&member);
        self.hold_ms = self.hold_ms.min(*hold_ms);
        self.open
            .is_empty()
            .then_some((self.asked_at, self.hold_ms))
    }

    /// Promises an owner with these terms not to take over for as long as it relies on it; a
    /// leaving node promises it for good.
    pub fn promise(&mut self, now: TimeMs, terms: LeaseTerms, leaving: bool) -> Promise {
        self.has_resigned |= leaving;
        let until = now + terms.lease_over_ms();
        self.promised_until = self.promised_until.max(until);
        let hold_ms = if self.has_resigned {
            u64::MAX
        } else {
            terms.lease_ms
        };
        Promise::Granted { hold_ms }
    }

    /// Whether no promise stands in the way of a take-over. One promise covers the whole service:
    /// the asker may since have been given slots that this node takes for another's.
    pub fn may_take_over(&self, now: TimeMs) -> bool {
        !self.has_resigned && now >= self.promised_until
    }
}
