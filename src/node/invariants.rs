//! Invariants checked at run time. A violation panics in tests and demos. In production it is
//! counted and logged, since continuing serves callers better than stopping.

use crate::metrics::Metrics;

/// An invariant of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Invariant {
    /// The calls running at the backend server did not exceed the limit in force at their start.
    InFlightWithinLimit,
    /// A root makes at most one attempt plus its allotment at its entry.
    AttemptsWithinAllotment,
    /// A call returns no more allotment than it was given.
    AllotmentNotMade,
}

/// Checks an invariant. Debug builds, and so all tests, panic if it does not hold.
pub(super) fn check(metrics: &Metrics, invariant: Invariant, holds: bool) {
    if holds {
        return;
    }
    metrics.invariant_violations.inc();
    log::error!("node: invariant violated, invariant={invariant:?}");
    debug_assert!(holds, "{invariant:?} does not hold");
}
