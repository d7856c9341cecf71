//! What answers teach about pressure deep down, and the admission of roots by it.

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
struct Learnt {
    pressures: Pressures,
    control: RootControl,
}

/// Shared by entry and guard. Both parts bound themselves.
#[derive(Debug, Default)]
pub(super) struct RootAdmission {
    learnt: Mutex<Learnt>,
}

impl RootAdmission {
    /// Takes in what an answer of a service said; `is_root` when the call was a caller's own.
    pub(super) fn note_answer(
        &self,
        now: TimeMs,
        service: &Name,
        route: &str,
        pressure: Option<&Pressure>,
        is_root: bool,
    ) {
        let mut learnt = self.lock();
        learnt.pressures.note(now, service, route, pressure);
        if !is_root {
            return;
        }
        match pressure {
            Some(pressure) => {
                let (service, permille) = (&pressure.service, pressure.permille);
                learnt.control.note(now, service, permille);
            }
            None => {
                if let Some(service) = learnt.pressures.overloaded_service(service, route).cloned()
                {
                    learnt.control.note(now, &service, 0);
                }
            }
        }
    }

    /// Notes a call of the local backend server: each of the routes that run there may have led to
    /// it.
    pub(super) fn note_child(
        &self,
        now: TimeMs,
        parents: &[Name],
        service: &Name,
        child_route: &str,
    ) {
        let mut learnt = self.lock();
        for parent in parents {
            learnt
                .pressures
                .note_child(now, parent, service, child_route);
        }
    }

    /// Whether a caller's own request is let in.
    pub(super) fn may_pass(
        &self,
        now: TimeMs,
        service: &Name,
        route: &str,
        priority: Priority,
    ) -> bool {
        let mut learnt = self.lock();
        let Some(pressed) = learnt.pressures.overloaded_service(service, route).cloned() else {
            return true;
        };
        learnt.control.may_pass(now, &pressed, priority)
    }

    /// The service for whose sake requests on a route are refused; `None` while all are let in.
    pub(super) fn pressed_behind(&self, service: &str, route: &str) -> Option<OverloadedService> {
        let learnt = self.lock();
        let behind = learnt.pressures.overloaded_service(service, route)?;
        let mut pressed = learnt.control.overloaded();
        pressed.find(|pressed| pressed.service == *behind)
    }

    /// All services for whose sake requests are refused.
    pub(super) fn pressed(&self) -> Vec<OverloadedService> {
        self.lock().control.overloaded().collect()
    }

    /// The pressure to tell with an answer on `route` of the local service.
    pub(super) fn on_answer(&self, now: TimeMs, route: &str, own: Pressure) -> Option<Pressure> {
        self.lock().pressures.for_answer(now, route, own)
    }

    /// The services that work on `route` of the local service may call.
    pub(super) fn services_behind(&self, now: TimeMs, route: &str) -> Vec<Name> {
        self.lock().pressures.downstream_services(now, route)
    }

    /// The highest pressure behind any of these routes of the local service.
    pub(super) fn deepest_permille(&self, now: TimeMs, routes: &[Name]) -> u32 {
        self.lock().pressures.max_downstream_permille(now, routes)
    }

    /// Logs for whose sake requests are refused at present.
    pub(super) fn log_closed(&self) {
        for pressed in self.pressed() {
            log::info!(
                "entry: refuses roots, service={} pressure_permille={} admitted_percent={}",
                pressed.service,
                pressed.pressure_permille,
                pressed.admitted_percent
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, Learnt> {
        self.learnt.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
