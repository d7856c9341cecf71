//! The placement of each service across failure domains, shared by the entry and the control
//! thread.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::Name;
use crate::core::TimeMs;
use crate::placement::DomainSplit;
use crate::placement::PlacementTable;
use crate::placement::ServicePlacement;
use crate::placement::SplitLog;

#[derive(Debug, Default)]
struct PlacementState {
    table: PlacementTable,
    log: SplitLog,
}

/// The latest placements. Both parts of the state limit their own size.
#[derive(Debug, Default)]
pub struct Placements {
    state: Mutex<PlacementState>,
}

impl Placements {
    /// Replaces the placement of a service, and logs a large change of its split.
    pub fn set(&self, now: TimeMs, service: &Name, placement: ServicePlacement) {
        // The line is written after the lock is released: entries wait for it on each call.
        if let Some(split) = self.replace(now, service, placement) {
            log::info!("entry: split changed, service={service} {split}");
        }
    }

    /// Replaces the placement of a service, and returns the new split if it is to be logged.
    fn replace(
        &self,
        now: TimeMs,
        service: &Name,
        placement: ServicePlacement,
    ) -> Option<DomainSplit> {
        let mut state = self.lock();
        let is_due = state.log.is_due(now, service, &placement.split);
        let logged = is_due.then(|| placement.split.clone());
        state.table.set(now, service, placement);
        logged
    }

    /// The placement of a service; see [`PlacementTable::current`].
    pub fn current(&self, now: TimeMs, service: &str) -> Option<Arc<ServicePlacement>> {
        self.lock().table.current(now, service)
    }

    /// All placements that are not too old to be used.
    pub fn all_current(&self, now: TimeMs) -> Vec<(Name, Arc<ServicePlacement>)> {
        self.lock().table.all_current(now).collect()
    }

    fn lock(&self) -> MutexGuard<'_, PlacementState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
