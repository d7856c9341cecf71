//! Who uses a route, judged by the calls of the own failure domain where those tell.

use crate::admission::CallingService;
use crate::admission::RouteOrigins;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::RouteOrigin;

/// A route is judged by the calls of the own domain while these are one in so many of all: requests of
/// callers stay in their domain, so where hardly any call comes from it nobody uses the route there.
const NEAR_PART: f32 = 12.0;
/// Before so many calls have come it is not said that few come from the own domain.
const ENOUGH_CALLS: f32 = 64.0;
/// Counts are halved when they reach this, so that old calls are forgotten.
const MOST_COUNTED: f32 = 1_024.0;
/// Routes remembered at most; beyond it all are forgotten and learnt anew.
const MOST_ROUTES: usize = 4_096;

/// A call as the guard sees it.
#[derive(Clone, Copy, Debug)]
pub struct ObservedCall<'a> {
    pub route: &'a Name,
    /// The service beside which it began.
    pub caller_service: &'a Name,
    /// It comes from the guard's own failure domain.
    pub same_domain: bool,
    /// Who uses the route, as far as the sender knows.
    pub reported_origin: Option<RouteOrigin>,
}

/// The services beside which calls may begin.
#[derive(Clone, Copy, Debug)]
pub struct CallingServices<'a> {
    /// Those of the own domain.
    pub own_domain: &'a [CallingService],
    /// Those of all domains.
    pub all: &'a [CallingService],
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    own_domain: f32,
    all: f32,
}

/// Two judgements of each route, by the calls of the own domain and by all.
///
/// Guards against a route that is never learnt to be backend servers' own: the only target of a deep
/// service stands in a domain without a node of the service that calls it, so no call comes from the
/// own domain. It shows as callers' requests that are not refused for the sake of that service and fail
/// at depth. It holds because which calls count follows from where calls come from.
#[derive(Clone, Debug, Default)]
pub struct OriginsByDomain {
    own_domain: RouteOrigins,
    all: RouteOrigins,
    counts: FastMap<Name, Counts>,
}

impl OriginsByDomain {
    /// Counts a call, and answers what is known of its route.
    pub fn note(
        &mut self,
        call: ObservedCall<'_>,
        services: CallingServices<'_>,
    ) -> Option<RouteOrigin> {
        let (route, service) = (call.route, call.caller_service);
        self.all.note(route, service, call.reported_origin, services.all);
        if call.same_domain {
            self.own_domain.note(route, service, call.reported_origin, services.own_domain);
        }
        let origins = if self.comes_from_afar(call) {
            &self.all
        } else {
            &self.own_domain
        };
        origins.of(route).or(call.reported_origin)
    }

    /// Counts the call, and answers whether hardly any call on its route comes from the own domain.
    fn comes_from_afar(&mut self, call: ObservedCall<'_>) -> bool {
        if self.counts.len() >= MOST_ROUTES && !self.counts.contains_key(call.route) {
            self.counts.clear();
        }
        let counts = self.counts.entry(call.route.clone()).or_default();
        counts.all += 1.0;
        counts.own_domain += f32::from(u8::from(call.same_domain));
        if counts.all >= MOST_COUNTED {
            counts.all /= 2.0;
            counts.own_domain /= 2.0;
        }
        counts.all >= ENOUGH_CALLS && counts.own_domain * NEAR_PART < counts.all
    }
}
