//! Whether a route is used by callers or by backend servers, learnt from where its calls come from.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::RouteOrigin;

/// If callers used the route, this many calls from a service would be expected by now. If none has
/// come, callers do not use the route. This conclusion is wrong by chance in one of some 160,000
/// cases. That has to be so rare, because every guard evaluates every route anew after each start.
const MIN_EXPECTED_CALLS: f32 = 12.0;
/// The same for a route that is known to be used by callers. An entry that refuses nearly all of
/// them sends no calls either, for as long as an overload lasts.
const MIN_EXPECTED_CALLS_TO_CHANGE: f32 = 200.0;
/// A route that is known to be used by backend servers stays so until this many calls have come. A
/// guard that has just started may not know all services yet.
const MIN_CALLS_TO_CHANGE: f32 = 200.0;
/// Counts are halved when they reach this, so that old calls lose weight.
const MAX_COUNT: f32 = 4_000.0;
/// The verdict is recomputed after this many calls.
const EVALUATE_EVERY_CALLS: u32 = 16;
/// The most routes that are tracked. Beyond it, all are dropped and learnt anew.
const MAX_ROUTES: usize = 4_096;

/// A service whose nodes may send calls.
#[derive(Clone, Debug, PartialEq)]
pub struct CallingService {
    pub service: Name,
    /// Its share of the nodes whose calls are counted.
    pub share: f32,
    /// All its nodes serve callers at present, so the absence of calls from it is meaningful.
    pub all_serving: bool,
}

#[derive(Clone, Debug, Default)]
struct RouteCalls {
    by_service: FastMap<Name, f32>,
    total: f32,
    since_evaluated: u32,
    verdict: Option<RouteOrigin>,
}

/// Calls by route and by the service of the node that sent them.
///
/// Backend servers do not forward any context, and their calls reach the node over the same
/// listener as those of callers. Requests of callers are sent by nodes of every service. Calls of
/// backend servers are sent only by nodes of services that make calls, and every chain has a
/// service that makes none.
#[derive(Clone, Debug, Default)]
pub struct RouteOrigins {
    routes: FastMap<Name, RouteCalls>,
}

impl RouteOrigins {
    /// Counts a call. `services` are those of the nodes whose calls are counted.
    ///
    /// Guards against a wrong verdict when a service sends no calls because its nodes in this
    /// failure domain are gone or restarting. Calls stay in their domain, so none of its callers
    /// are seen. The route is then classified by turns as used by callers and by backend servers,
    /// and callers' requests are admitted without bound. The calls of the guard's own domain are
    /// therefore counted separately ([`crate::admission::OriginsByDomain`]), against the services
    /// of that domain, and a service with a missing node is not used as evidence.
    ///
    /// A guard without a verdict adopts the origin that the sender reports. Changing a known origin
    /// takes far more evidence than a first verdict.
    pub fn record(
        &mut self,
        route: &Name,
        caller_service: &Name,
        reported_origin: Option<RouteOrigin>,
        services: &[CallingService],
    ) -> Option<RouteOrigin> {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let calls = self.routes.entry(route.clone()).or_default();
        calls.verdict = calls.verdict.or(reported_origin);
        calls.count(caller_service);
        calls.since_evaluated += 1;
        if calls.since_evaluated >= EVALUATE_EVERY_CALLS || calls.total < MIN_EXPECTED_CALLS {
            calls.since_evaluated = 0;
            calls.evaluate(services);
        }
        calls.verdict
    }

    /// Who uses a route, if known.
    pub fn of(&self, route: &Name) -> Option<RouteOrigin> {
        self.routes.get(route)?.verdict
    }
}

impl RouteCalls {
    fn count(&mut self, caller_service: &Name) {
        *self.by_service.entry(caller_service.clone()).or_default() += 1.0;
        self.total += 1.0;
        if self.total >= MAX_COUNT {
            self.total /= 2.0;
            for count in self.by_service.values_mut() {
                *count /= 2.0;
            }
        }
    }

    /// The absence of calls from a service is evidence only if calls from it would almost certainly
    /// have come by now.
    fn evaluate(&mut self, services: &[CallingService]) {
        let min_expected = match self.verdict {
            Some(RouteOrigin::Callers) => MIN_EXPECTED_CALLS_TO_CHANGE,
            _ => MIN_EXPECTED_CALLS,
        };
        let is_missing = |each: &CallingService| {
            let observed = self.by_service.get(&each.service).copied().unwrap_or(0.0);
            each.all_serving && self.total * each.share >= min_expected && observed < 0.5
        };
        if services.iter().any(is_missing) {
            self.verdict = Some(RouteOrigin::Backends);
            return;
        }
        if self.verdict == Some(RouteOrigin::Backends) && self.total < MIN_CALLS_TO_CHANGE {
            return;
        }
        let has_calls = |each: &CallingService| self.by_service.contains_key(&each.service);
        if services.len() > 1 && services.iter().all(has_calls) {
            self.verdict = Some(RouteOrigin::Callers);
        }
    }
}
