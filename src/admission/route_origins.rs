//! Whether a route is used by callers or by backend servers, learnt from where its calls come from.

use serde::Deserialize;
use serde::Serialize;

use crate::core::FastMap;
use crate::core::Name;

/// Calls from a service that ought to have come by now if callers used the route, so that none
/// having come proves that they do not: by chance that happens once in some 3,000 times.
const PROOF: f32 = 8.0;
/// Counts are halved when they reach this, so that old calls are forgotten.
const MOST_COUNTED: f32 = 4_000.0;
/// The verdict is worked out anew after so many calls.
const JUDGE_EVERY: u32 = 16;
/// Routes remembered at most; beyond it all are forgotten and learnt anew.
const MOST_ROUTES: usize = 4_096;

/// Who uses a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RouteOrigin {
    /// Callers: their requests begin beside backend servers of every service.
    Callers,
    /// Backend servers of some services, on behalf of requests that run there.
    Backends,
}

#[derive(Clone, Debug, Default)]
struct Seen {
    by_service: FastMap<Name, f32>,
    total: f32,
    since_judged: u32,
    verdict: Option<RouteOrigin>,
}

/// Calls by route and by the service beside which they began.
///
/// Backend servers pass nothing on, and their calls reach the node over the same listener as those
/// of callers. But callers are beside every backend server, whatever its service, while calls of
/// backend servers come only from services that make them; and a service that makes no calls
/// exists in every chain.
#[derive(Clone, Debug, Default)]
pub struct RouteOrigins {
    routes: FastMap<Name, Seen>,
}

impl RouteOrigins {
    /// Counts a call. `shares` are the services of the deployment, each with its share of nodes.
    pub fn note<'a>(
        &mut self,
        route: &Name,
        caller_service: &Name,
        shares: impl Fn() -> Vec<(&'a Name, f32)>,
    ) -> Option<RouteOrigin> {
        if self.routes.len() >= MOST_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let seen = self.routes.entry(route.clone()).or_default();
        seen.count(caller_service);
        seen.since_judged += 1;
        if seen.since_judged >= JUDGE_EVERY || seen.total < PROOF {
            seen.since_judged = 0;
            seen.judge(&shares());
        }
        seen.verdict
    }
}

impl Seen {
    fn count(&mut self, caller_service: &Name) {
        *self.by_service.entry(caller_service.clone()).or_default() += 1.0;
        self.total += 1.0;
        if self.total >= MOST_COUNTED {
            self.total /= 2.0;
            for count in self.by_service.values_mut() {
                *count /= 2.0;
            }
        }
    }

    /// Only a service from which calls would certainly have come by now says anything by its
    /// silence.
    fn judge(&mut self, shares: &[(&Name, f32)]) {
        let is_missing = |(service, share): &&(&Name, f32)| {
            let heard = self.by_service.get(*service).copied().unwrap_or(0.0);
            self.total * share >= PROOF && heard < 0.5
        };
        if shares.iter().any(|each| is_missing(&each)) {
            self.verdict = Some(RouteOrigin::Backends);
            return;
        }
        let is_heard = |(service, _): &(&Name, f32)| self.by_service.contains_key(*service);
        if shares.len() > 1 && shares.iter().all(is_heard) {
            self.verdict = Some(RouteOrigin::Callers);
        }
    }
}
