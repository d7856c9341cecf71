//! Admission levels that services report in their answers, passed on together with this node's own
//! level.

use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::admission::Dependencies;
use crate::admission::Levels;
use crate::core::Name;
use crate::core::Priority;
use crate::core::TimeMs;

#[derive(Default)]
struct Reported {
    levels: Levels,
    dependencies: Dependencies,
}

/// Shared by entry and guard. Both fields are bounded by their own types.
#[derive(Default)]
pub(super) struct ReportedLevels {
    reported: Mutex<Reported>,
}

impl ReportedLevels {
    /// Records the level that an answer of a service reported.
    pub(super) fn record_level(&self, now: TimeMs, service: &Name, route: &str, admit: Priority) {
        self.lock().levels.record(now, service, route, admit);
    }

    /// Records that calls on `route` of the local service call `child_route` of `service`.
    pub(super) fn record_child(&self, now: TimeMs, route: &str, service: &Name, child_route: &str) {
        let mut reported = self.lock();
        reported
            .dependencies
            .record(now, route, service, child_route);
    }

    /// Whether the service and its downstream services would admit a call, as far as known.
    pub(super) fn may_pass(
        &self,
        now: TimeMs,
        service: &str,
        route: &str,
        priority: Priority,
    ) -> bool {
        self.lock().levels.may_pass(now, service, route, priority)
    }

    /// The level to report in an answer on `route`: `own`, or less if a downstream service admits
    /// less.
    pub(super) fn level_for_route(&self, now: TimeMs, route: &str, own: Priority) -> Priority {
        let reported = self.lock();
        reported
            .dependencies
            .level(now, route, own, &reported.levels)
    }

    fn lock(&self) -> MutexGuard<'_, Reported> {
        self.reported.lock().expect("no holder panics")
    }
}
