//! Admission of root requests by the pressure of downstream services, as learned from answers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::admission::OverloadedService;
use crate::admission::Pressure;
use crate::admission::Pressures;
use crate::admission::RootControl;
use crate::core::Name;
use crate::core::Priority;
use crate::core::TimeMs;

#[derive(Debug, Default)]
struct PressureState {
    pressures: Pressures,
    control: RootControl,
}

/// Shared by entry and guard. Both parts of the state limit their own size.
#[derive(Debug, Default)]
pub(super) struct RootAdmission {
    state: Mutex<PressureState>,
}

impl RootAdmission {
    /// Records the pressure reported with an answer. `is_root` means that a caller sent the
    /// request.
    pub(super) fn record_answer(
        &self,
        now: TimeMs,
        service: &Name,
        route: &str,
        pressure: Option<&Pressure>,
        is_root: bool,
    ) {
        let mut state = self.lock();
        state.pressures.record(now, service, route, pressure);
        if !is_root {
            return;
        }
        match pressure {
            Some(pressure) => {
                let (service, permille) = (&pressure.service, pressure.permille);
                state.control.record(now, service, permille);
            }
            None => {
                if let Some(service) = state.pressures.overloaded_service(service, route).cloned() {
                    state.control.record(now, &service, 0);
                }
            }
        }
    }

    /// Records a call of the local backend server as a possible child of each route that is running
    /// there.
    pub(super) fn record_child(
        &self,
        now: TimeMs,
        parents: &[Name],
        service: &Name,
        child_route: &str,
    ) {
        let mut state = self.lock();
        for parent in parents {
            state
                .pressures
                .record_child(now, parent, service, child_route);
        }
    }

    /// Whether a caller's request is admitted.
    pub(super) fn may_pass(
        &self,
        now: TimeMs,
        service: &Name,
        route: &str,
        priority: Priority,
    ) -> bool {
        let mut state = self.lock();
        let Some(overloaded) = state.pressures.overloaded_service(service, route).cloned() else {
            return true;
        };
        state.control.may_pass(now, &overloaded, priority)
    }

    /// The overloaded service for which requests on a route are refused; `None` while all are
    /// admitted.
    pub(super) fn overloaded_service_for(
        &self,
        service: &str,
        route: &str,
    ) -> Option<OverloadedService> {
        let state = self.lock();
        let downstream = state.pressures.overloaded_service(service, route)?;
        let mut overloaded = state.control.overloaded();
        overloaded.find(|overloaded| overloaded.service == *downstream)
    }

    /// All overloaded services for which requests are refused.
    pub(super) fn overloaded(&self) -> Vec<OverloadedService> {
        self.lock().control.overloaded().collect()
    }

    /// The pressure to report with an answer on `route` of the local service.
    pub(super) fn for_answer(&self, now: TimeMs, route: &str, own: Pressure) -> Option<Pressure> {
        self.lock().pressures.for_answer(now, route, own)
    }

    /// The services that requests on `route` of the local service may call.
    pub(super) fn downstream_services(&self, now: TimeMs, route: &str) -> Vec<Name> {
        self.lock().pressures.downstream_services(now, route)
    }

    /// The highest pressure downstream of any of these routes of the local service.
    pub(super) fn max_downstream_permille(&self, now: TimeMs, routes: &[Name]) -> u32 {
        self.lock().pressures.max_downstream_permille(now, routes)
    }

    /// Logs the services for which requests are currently refused.
    pub(super) fn log_restricted(&self) {
        for overloaded in self.overloaded() {
            log::info!(
                "entry: refuses roots, service={} pressure_permille={} admitted_percent={}",
                overloaded.service,
                overloaded.pressure_permille,
                overloaded.admitted_percent
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, PressureState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
