//! Counts an attempt as in flight at its target until it ends, with or without an answer.

use std::sync::Arc;

use crate::core::Name;
use crate::core::RefusalReason;
use crate::core::TimeMs;
use crate::node::targets::AttemptOutcome;
use crate::traffic::attempt::AttemptEnd;
use crate::traffic::traffic::Traffic;

/// An attempt that is in flight from the choice of its target until this value is dropped.
pub(super) struct InFlightAttempt {
    traffic: Arc<Traffic>,
    target: Name,
    since: TimeMs,
    outcome: AttemptOutcome,
    /// The route of the call, if it succeeded.
    succeeded_route: Option<Name>,
}

impl InFlightAttempt {
    /// The choice of the target has already counted the attempt there.
    pub(super) fn new(traffic: Arc<Traffic>, target: Name) -> Self {
        traffic.metrics.entry_in_flight.inc();
        Self {
            since: traffic.clock.now(),
            traffic,
            target,
            outcome: AttemptOutcome::default(),
            succeeded_route: None,
        }
    }

    /// Records the outcome of the attempt.
    pub(super) fn ended(&mut self, end: &AttemptEnd, route: &Name) {
        self.outcome.report = end.guard_status.as_ref().map(|status| status.load);
        self.outcome.failing_permille = end
            .guard_status
            .as_ref()
            .map_or(0, |status| status.failing_permille);
        self.outcome.took_ms = self.traffic.clock.now().since(self.since);
        self.succeeded_route = end.has_succeeded().then(|| route.clone());
        self.outcome.is_lost = end.reason() == Some(RefusalReason::PeerLost);
        let advertisement = end
            .guard_status
            .as_ref()
            .and_then(|status| status.advertisement.as_ref());
        let is_leaving = advertisement.is_some_and(|advertisement| advertisement.is_leaving);
        let is_closed = matches!(
            end.reason(),
            Some(
                RefusalReason::Draining
                    | RefusalReason::BackendDown
                    | RefusalReason::BackendReplaced
                    | RefusalReason::NoTarget
            )
        );
        self.outcome.is_closed = is_closed || is_leaving;
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.traffic.metrics.entry_in_flight.dec();
        let now = self.traffic.clock.now();
        let targets = &self.traffic.targets;
        targets.ended(
            &self.target,
            self.outcome,
            self.succeeded_route.as_ref(),
            now,
        );
    }
}
