//! What services admit, reported from the answers that come by, and passed on with this node's own.

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

/// Shared by entry and guard. Both parts bound themselves.
#[derive(Default)]
pub(super) struct ReportedLevels {
    reported: Mutex<Reported>,
}

impl ReportedLevels {
    /// Takes in what an answer of a service said.
    pub(super) fn record_level(&self, now: TimeMs, service: &Name, route: &str, admit: Priority) {
        self.lock().levels.note(now, service, route, admit);
    }

    /// Notes that work on `route` of the local service calls `child_route` of `service`.
    pub(super) fn record_child(&self, now: TimeMs, route: &str, service: &Name, child_route: &str) {
        let mut reported = self.lock();
        reported.dependencies.note(now, route, service, child_route);
    }

    /// Whether the service and those behind it would admit a call, as far as is known.
    pub(super) fn may_pass(
        &self,
        now: TimeMs,
        service: &str,
        route: &str,
        priority: Priority,
    ) -> bool {
        self.lock().levels.may_pass(now, service, route, priority)
    }

    /// The level to tell with an answer on `route`: `own`, or less where a service behind admits
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
