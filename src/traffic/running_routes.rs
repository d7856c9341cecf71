//! Tracks which routes run at the local backend server, to attribute its own calls to them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::FastMap;
use crate::core::Name;

/// Running requests, by route. Its size is limited by the number of running requests.
///
/// A backend server forwards nothing that would link its calls to the request that made them. So
/// any route that is running may have made a call.
#[derive(Debug, Default)]
pub(super) struct RunningRoutes {
    running: Mutex<Running>,
}

#[derive(Debug, Default)]
struct Running {
    counts: FastMap<Name, u32>,
    requests: u32,
    /// The sum of the requests' retry probabilities, in thousandths.
    repeated_permille: u32,
}

impl RunningRoutes {
    /// Counts a request as running until the returned value is dropped.
    ///
    /// `repeated_permille` is the probability that it is a retry, in thousandths.
    pub(super) fn enter(self: &Arc<Self>, route: &Name, repeated_permille: u16) -> RunningRoute {
        let mut running = self.lock();
        *running.counts.entry(route.clone()).or_default() += 1;
        running.requests += 1;
        running.repeated_permille += u32::from(repeated_permille);
        RunningRoute {
            routes: self.clone(),
            name: route.clone(),
            repeated_permille,
        }
    }

    /// The routes of all running requests.
    pub(super) fn all(&self) -> Vec<Name> {
        self.lock().counts.keys().cloned().collect()
    }

    /// The probability that a call made now is made by a retry, in thousandths: any running request
    /// may make it.
    pub(super) fn repeated_permille(&self) -> u16 {
        let running = self.lock();
        let mean = running.repeated_permille / running.requests.max(1);
        u16::try_from(mean).unwrap_or(u16::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, Running> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running request.
pub(super) struct RunningRoute {
    routes: Arc<RunningRoutes>,
    name: Name,
    repeated_permille: u16,
}

impl Drop for RunningRoute {
    fn drop(&mut self) {
        let mut running = self.routes.lock();
        running.requests -= 1;
        running.repeated_permille -= u32::from(self.repeated_permille);
        let Some(count) = running.counts.get_mut(&self.name) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            running.counts.remove(&self.name);
        }
    }
}
