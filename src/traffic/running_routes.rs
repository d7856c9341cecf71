//! Which routes run at the local backend server, so that its own calls can be tied to them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::FastMap;
use crate::core::Name;

/// Requests that run, by route. Bounded by what runs.
///
/// A backend server passes on nothing that would tie its calls to the request they are made for.
/// When all that runs is of one route, that route makes the call; otherwise nothing is concluded.
/// A route that never makes calls is therefore never charged with those of others.
#[derive(Debug, Default)]
pub(super) struct RunningRoutes {
    counts: Mutex<FastMap<Name, u32>>,
}

impl RunningRoutes {
    /// Counts a request as running until the returned value is dropped.
    pub(super) fn enter(self: &Arc<Self>, route: &str) -> RunningRoute {
        let mut counts = self.lock();
        let name = match counts.get_key_value(route) {
            Some((name, _)) => name.clone(),
            None => Name::from(route),
        };
        *counts.entry(name.clone()).or_default() += 1;
        RunningRoute {
            routes: self.clone(),
            name,
        }
    }

    /// The route of everything that runs, if it is only one.
    pub(super) fn only(&self) -> Option<Name> {
        let counts = self.lock();
        let mut names = counts.keys();
        match (names.next(), names.next()) {
            (Some(only), None) => Some(only.clone()),
            _ => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<Name, u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that runs.
pub(super) struct RunningRoute {
    routes: Arc<RunningRoutes>,
    name: Name,
}

impl Drop for RunningRoute {
    fn drop(&mut self) {
        let mut counts = self.routes.lock();
        let Some(count) = counts.get_mut(&self.name) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.remove(&self.name);
        }
    }
}
