//! Who uses a route, judged by the calls of the guard's own failure domain if there are enough of
//! them.

use crate::admission::CallingService;
use crate::admission::RouteOrigins;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::RouteOrigin;

/// A route is judged by the calls of the own domain while these are at least one in this of all
/// calls. Requests of callers stay in their domain, so a route with hardly any call from the own
/// domain has no callers there.
const OWN_DOMAIN_PART: f32 = 12.0;
/// The share of calls from the own domain is not evaluated before this many calls.
const MIN_CALLS: f32 = 64.0;
/// Counts are halved when they reach this, so that old calls lose weight.
const MAX_COUNT: f32 = 1_024.0;
/// The most routes that are tracked. Beyond it, all are dropped and learnt anew.
const MAX_ROUTES: usize = 4_096;

/// A call as the guard sees it.
#[derive(Clone, Copy, Debug)]
pub struct ObservedCall<'a> {
    pub route: &'a Name,
    /// The service of the node that sent the call.
    pub caller_service: &'a Name,
    /// The call comes from the guard's own failure domain.
    pub same_domain: bool,
    /// Who uses the route, as far as the sender knows.
    pub reported_origin: Option<RouteOrigin>,
}

/// The services whose nodes may send calls.
#[derive(Clone, Copy, Debug)]
pub struct CallingServices<'a> {
    /// Those of the guard's own failure domain.
    pub own_domain: &'a [CallingService],
    /// Those of all failure domains.
    pub all: &'a [CallingService],
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    own_domain: f32,
    all: f32,
}

/// Two classifications of each route: by the calls of the own failure domain, and by all calls.
///
/// Guards against a route that is used by backend servers and is never classified as such. The only
/// target of a deep service may be in a domain without a node of the service that calls it, so no
/// call comes from the own domain. Callers' requests are then not refused on behalf of that
/// service, and fail deep in the chain. A route with hardly any call from the own domain is
/// therefore classified by all calls.
#[derive(Clone, Debug, Default)]
pub struct OriginsByDomain {
    own_domain: RouteOrigins,
    all: RouteOrigins,
    counts: FastMap<Name, Counts>,
}

impl OriginsByDomain {
    /// Counts a call, and returns what is known of its route.
    pub fn record(
        &mut self,
        call: ObservedCall<'_>,
        services: CallingServices<'_>,
    ) -> Option<RouteOrigin> {
        let (route, service) = (call.route, call.caller_service);
        self.all
            .record(route, service, call.reported_origin, services.all);
        if call.same_domain {
            self.own_domain
                .record(route, service, call.reported_origin, services.own_domain);
        }
        let origins = if self.is_mostly_remote(call) {
            &self.all
        } else {
            &self.own_domain
        };
        origins.of(route).or(call.reported_origin)
    }

    /// Counts the call, and returns whether hardly any call on its route comes from the own domain.
    fn is_mostly_remote(&mut self, call: ObservedCall<'_>) -> bool {
        if self.counts.len() >= MAX_ROUTES && !self.counts.contains_key(call.route) {
            self.counts.clear();
        }
        let counts = self.counts.entry(call.route.clone()).or_default();
        counts.all += 1.0;
        counts.own_domain += f32::from(u8::from(call.same_domain));
        if counts.all >= MAX_COUNT {
            counts.all /= 2.0;
            counts.own_domain /= 2.0;
        }
        counts.all >= MIN_CALLS && counts.own_domain * OWN_DOMAIN_PART < counts.all
    }
}
