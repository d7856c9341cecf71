//! Which routes run at the local backend server, so that its own calls can be tied to them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::FastMap;
use crate::core::Name;

/// Requests that run, by route. Bounded by what runs.
///
/// A backend server passes on nothing that would tie its calls to the request they are made for:
/// any route that runs may have made a call.
#[derive(Debug, Default)]
pub(super) struct RunningRoutes {
    counts: Mutex<FastMap<Name, u32>>,
}

impl RunningRoutes {
    /// Counts a request as running until the returned value is dropped.
    pub(super) fn enter(self: &Arc<Self>, route: &Name) -> RunningRoute {
        *self.lock().entry(route.clone()).or_default() += 1;
        RunningRoute {
            routes: self.clone(),
            name: route.clone(),
        }
    }

    /// The routes of everything that runs.
    pub(super) fn all(&self) -> Vec<Name> {
        self.lock().keys().cloned().collect()
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
