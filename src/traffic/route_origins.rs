//! Who uses each route: learnt at the guard, told with answers, remembered at the entry.

use std::sync::Mutex;
use std::sync::PoisonError;

use crate::admission::RouteOrigin;
use crate::admission::RouteOrigins;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::View;

/// Routes remembered at an entry at most; beyond it all are forgotten and told anew.
const MOST_ROUTES: usize = 4_096;

/// Both sides' knowledge.
#[derive(Debug, Default)]
pub(super) struct KnownOrigins {
    seen: Mutex<RouteOrigins>,
    told: Mutex<FastMap<Name, RouteOrigin>>,
}

impl KnownOrigins {
    /// Counts a call at the guard, and answers what is known of its route.
    pub(super) fn note(
        &self,
        view: &View,
        route: &Name,
        caller_service: &Name,
    ) -> Option<RouteOrigin> {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.note(route, caller_service, || shares(view))
    }

    /// Takes in what a guard said of a route.
    pub(super) fn take(&self, route: &Name, origin: Option<RouteOrigin>) {
        let Some(origin) = origin else {
            return;
        };
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        if told.get(route) == Some(&origin) {
            return;
        }
        if told.len() >= MOST_ROUTES {
            told.clear();
        }
        log::info!("entry: a route is used by, route={route} origin={origin:?}");
        told.insert(route.clone(), origin);
    }

    /// Who uses a route, if any guard has said so.
    pub(super) fn of(&self, route: &Name) -> Option<RouteOrigin> {
        let told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        told.get(route).copied()
    }
}

/// Each service's share of the nodes.
fn shares(view: &View) -> Vec<(&Name, f32)> {
    let nodes: usize = view.services.values().map(|targets| targets.len()).sum();
    let share = |targets: usize| targets as f32 / nodes.max(1) as f32;
    let services = view.services.iter();
    services
        .map(|(service, targets)| (service, share(targets.len())))
        .collect()
}
