//! Whether a route is used by callers or by backend servers, learnt from where its calls come from.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::RouteOrigin;

/// Calls from a service that ought to have come by now if callers used the route, so that none
/// having come proves that they do not: by chance that happens once in some 160,000 times, and every
/// guard judges every route anew after each start.
const PROOF: f32 = 12.0;
/// The same where the route is known to be callers': an entry that refuses nearly all of them is silent
/// as well, for as long as an overload lasts.
const FIRM_PROOF: f32 = 200.0;
/// Before so many calls have come, a route that is known to be backend servers' stays so: a guard that
/// has just started may not know of all services yet.
const FIRM_CALLS: f32 = 200.0;
/// Counts are halved when they reach this, so that old calls are forgotten.
const MOST_COUNTED: f32 = 4_000.0;
/// The verdict is worked out anew after so many calls.
const JUDGE_EVERY: u32 = 16;
/// Routes remembered at most; beyond it all are forgotten and learnt anew.
const MOST_ROUTES: usize = 4_096;

/// A service beside whose backend servers calls may begin.
#[derive(Clone, Debug, PartialEq)]
pub struct CallingService {
    pub service: Name,
    /// Its part of the nodes whose calls are counted.
    pub share: f32,
    /// All its nodes serve callers at present, so that its silence says something.
    pub all_serving: bool,
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
    /// Counts a call. `services` are those of the nodes whose calls are counted.
    ///
    /// Guards against taking the silence of a service for proof when none of its callers could be
    /// heard: its nodes in this failure domain are gone or restart, and calls stay in their domain.
    /// It shows as a route that is said to be callers' and backend servers' by turns, and callers'
    /// requests that are let in without bound. So calls of the guard's own domain are counted by
    /// themselves ([`crate::admission::OriginsByDomain`]), with the services of that domain, and a service
    /// of which a node is missing is not judged by. What
    /// the sender believes already is taken over by a guard that knows nothing yet, and what is
    /// reported_origin takes far more to change than to find out.
    pub fn note(
        &mut self,
        route: &Name,
        caller_service: &Name,
        reported_origin: Option<RouteOrigin>,
        services: &[CallingService],
    ) -> Option<RouteOrigin> {
        if self.routes.len() >= MOST_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let seen = self.routes.entry(route.clone()).or_default();
        seen.verdict = seen.verdict.or(reported_origin);
        seen.count(caller_service);
        seen.since_judged += 1;
        if seen.since_judged >= JUDGE_EVERY || seen.total < PROOF {
            seen.since_judged = 0;
            seen.judge(services);
        }
        seen.verdict
    }

    /// Who uses a route, if that is known.
    pub fn of(&self, route: &Name) -> Option<RouteOrigin> {
        self.routes.get(route)?.verdict
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
    fn judge(&mut self, services: &[CallingService]) {
        let proof = match self.verdict {
            Some(RouteOrigin::Callers) => FIRM_PROOF,
            _ => PROOF,
        };
        let is_missing = |each: &CallingService| {
            let heard = self.by_service.get(&each.service).copied().unwrap_or(0.0);
            each.all_serving && self.total * each.share >= proof && heard < 0.5
        };
        if services.iter().any(is_missing) {
            self.verdict = Some(RouteOrigin::Backends);
            return;
        }
        if self.verdict == Some(RouteOrigin::Backends) && self.total < FIRM_CALLS {
            return;
        }
        let is_heard = |each: &CallingService| self.by_service.contains_key(&each.service);
        if services.len() > 1 && services.iter().all(is_heard) {
            self.verdict = Some(RouteOrigin::Callers);
        }
    }
}
