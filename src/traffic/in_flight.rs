//! An attempt counted as in flight at its target until it has ended, however it ends.

use std::sync::Arc;

use crate::core::Name;
use crate::core::RefusalReason;
use crate::core::TimeMs;
use crate::node::targets::AttemptOutcome;
use crate::traffic::attempt::AttemptEnd;
use crate::traffic::traffic::Traffic;

/// Counted from the choice of the target on.
pub(super) struct InFlightAt {
    traffic: Arc<Traffic>,
    target: Name,
    since: TimeMs,
    news: AttemptOutcome,
    /// The route of the call, once it ran well.
    ran: Option<Name>,
}

impl InFlightAt {
    /// The choice has already counted the attempt at its target.
    pub(super) fn new(traffic: Arc<Traffic>, target: Name) -> Self {
        traffic.metrics.entry_in_flight.inc();
        Self {
            since: traffic.clock.now(),
            traffic,
            target,
            news: AttemptOutcome::default(),
            ran: None,
        }
    }

    /// Notes how the attempt of a call of this route ended.
    pub(super) fn ended(&mut self, end: &AttemptEnd, route: &Name) {
        self.news.report = end.news.as_ref().map(|news| news.load);
        self.news.failing_permille = end.news.as_ref().map_or(0, |news| news.failing_permille);
        self.news.took_ms = self.traffic.clock.now().since(self.since);
        self.ran = end.ran_well().then(|| route.clone());
        self.news.is_lost = end.reason() == Some(RefusalReason::PeerLost);
        let word = end.news.as_ref().and_then(|news| news.word.as_ref());
        let is_leaving = word.is_some_and(|word| word.is_leaving);
        let is_closed = matches!(
            end.reason(),
            Some(
                RefusalReason::Draining
                    | RefusalReason::BackendDown
                    | RefusalReason::BackendReplaced
                    | RefusalReason::NoTarget
            )
        );
        self.news.is_closed = is_closed || is_leaving;
    }
}

impl Drop for InFlightAt {
    fn drop(&mut self) {
        self.traffic.metrics.entry_in_flight.dec();
        let now = self.traffic.clock.now();
        let targets = &self.traffic.targets;
        targets.ended(&self.target, self.news, self.ran.as_ref(), now);
    }
}
