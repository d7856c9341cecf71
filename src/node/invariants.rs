//! What must hold whatever happens, checked inside the program: a failed check ends a test or a
//! demo, and is counted and logged in production, where going on serves callers better.

use crate::metrics::Metrics;

/// Something that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Invariant {
    /// No more calls run at the backend server than the limit allowed at their start.
    InFlightWithinLimit,
    /// A root makes no more attempts at its entry than one plus its allotment.
    AttemptsWithinAllotment,
    /// What a call leaves of its allotment is no more than it was given.
    AllotmentNotMade,
}

/// Checks an invariant. Debug builds, and with them all tests, panic when it does not hold.
pub(super) fn check(metrics: &Metrics, invariant: Invariant, holds: bool) {
    if holds {
        return;
    }
    metrics.invariant_violations.inc();
    log::error!("node: an invariant does not hold, invariant={invariant:?}");
    debug_assert!(holds, "{invariant:?} does not hold");
}
