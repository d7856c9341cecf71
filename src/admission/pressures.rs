//! Which services are overloaded downstream of each route, learnt from piggybacked answers.

use crate::admission::Dependencies;
use crate::admission::Pressure;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// Pressure that has not been reported for this long is ignored.
const FRESH_MS: u64 = 500;
/// The least weight of a new report, and the weight of the first one: one part in this. Single
/// reports vary with every queued call.
const WEIGHT: u64 = 8;
/// A new report replaces the smoothed value if the previous report is at least this old, in
/// milliseconds. Otherwise its weight is proportional to that age. Guards against pressure that
/// outlives its cause: with fewer requests admitted there are fewer answers, and a fixed weight per
/// answer would keep the old value for too long.
const FULL_WEIGHT_AGE_MS: u64 = 400;
/// The most routes that are tracked. Beyond it, stale ones are evicted, or all if none is stale.
const MAX_ROUTES: usize = 4_096;

#[derive(Clone, Debug)]
struct KnownPressure {
    service: Name,
    permille: u32,
    reported_at: TimeMs,
}

/// The most overloaded service downstream of each route. The routes are those of the services that
/// calls are sent to, and those of the local service.
///
/// Backend servers do not forward any context, so a deep call cannot be matched to its root
/// request. What can be learnt is which routes lead to which calls, and so which deep service a
/// root request on a route will load.
#[derive(Clone, Debug, Default)]
pub struct Pressures {
    reported: FastMap<Name, FastMap<Name, KnownPressure>>,
    routes: usize,
    dependencies: Dependencies,
}

impl Pressures {
    /// Records the pressure piggybacked on an answer of `service` on `route`. An answer without
    /// pressure counts as a report of 0.
    pub fn record(
        &mut self,
        now: TimeMs,
        service: &Name,
        route: &str,
        pressure: Option<&Pressure>,
    ) {
        let known = self
            .reported
            .get_mut(service)
            .and_then(|routes| routes.get_mut(route));
        match (known, pressure) {
            (Some(known), Some(pressure)) => known.update(now, pressure),
            (Some(known), None) => known.decay(now),
            (None, Some(pressure)) => self.insert(now, service, route, pressure),
            (None, None) => {}
        }
    }

    fn insert(&mut self, now: TimeMs, service: &Name, route: &str, pressure: &Pressure) {
        if self.routes >= MAX_ROUTES {
            self.evict(now);
        }
        let reported = KnownPressure {
            service: pressure.service.clone(),
            permille: pressure.permille / WEIGHT as u32,
            reported_at: now,
        };
        let routes = self.reported.entry(service.clone()).or_default();
        routes.insert(Name::from(route), reported);
        self.routes += 1;
    }

    /// Records that handling `route` of the local service may have led to a call.
    pub fn record_child(&mut self, now: TimeMs, route: &str, service: &Name, child_route: &str) {
        self.dependencies.record(now, route, service, child_route);
    }

    /// The most overloaded service downstream of calls to `service` on `route`.
    pub fn downstream(&self, now: TimeMs, service: &str, route: &str) -> Option<Pressure> {
        let reported = self.reported.get(service)?.get(route)?;
        let is_fresh = now.since(reported.reported_at) <= FRESH_MS && reported.permille > 0;
        is_fresh.then(|| Pressure {
            service: reported.service.clone(),
            permille: reported.permille,
        })
    }

    /// The service last reported as most overloaded downstream of calls to `service` on `route`, if
    /// there was one.
    pub fn overloaded_service(&self, service: &str, route: &str) -> Option<&Name> {
        let reported = self.reported.get(service)?.get(route)?;
        Some(&reported.service)
    }

    /// The pressure to piggyback on an answer on `route` of the local service, whose own pressure
    /// is `own`.
    pub fn for_answer(&self, now: TimeMs, route: &str, own: Pressure) -> Option<Pressure> {
        let children = self.dependencies.children(now, route);
        let downstream =
            children.filter_map(|(service, route)| self.downstream(now, service, route));
        downstream
            .chain([own])
            .filter(|pressure| pressure.permille > 0)
            .max_by_key(|pressure| pressure.permille)
    }

    /// The services that handling `route` of the local service may have called recently. A service
    /// may be listed more than once.
    pub fn downstream_services(&self, now: TimeMs, route: &str) -> Vec<Name> {
        let children = self.dependencies.children(now, route);
        children.map(|(service, _)| service.clone()).collect()
    }

    /// The highest pressure downstream of any of the given routes of the local service.
    pub fn max_downstream_permille(&self, now: TimeMs, routes: &[Name]) -> u32 {
        let children = routes
            .iter()
            .flat_map(|route| self.dependencies.children(now, route));
        let downstream =
            children.filter_map(|(service, route)| self.downstream(now, service, route));
        downstream
            .map(|pressure| pressure.permille)
            .max()
            .unwrap_or(0)
    }

    fn evict(&mut self, now: TimeMs) {
        for routes in self.reported.values_mut() {
            routes.retain(|_, reported| now.since(reported.reported_at) <= FRESH_MS);
        }
        self.reported.retain(|_, routes| !routes.is_empty());
        self.routes = self.reported.values().map(FastMap::len).sum();
        if self.routes >= MAX_ROUTES {
            self.reported.clear();
            self.routes = 0;
        }
    }
}

impl KnownPressure {
    /// Another service replaces the known one at once if its pressure is higher, or if the known
    /// one is stale. Otherwise its report counts as 0 for the known one.
    fn update(&mut self, now: TimeMs, pressure: &Pressure) {
        let is_stale = now.since(self.reported_at) > FRESH_MS;
        if self.service != pressure.service && (is_stale || pressure.permille > self.permille) {
            self.service = pressure.service.clone();
        }
        let value = if self.service == pressure.service {
            pressure.permille
        } else {
            0
        };
        self.smooth(now, value);
    }

    fn decay(&mut self, now: TimeMs) {
        self.smooth(now, 0);
    }

    fn smooth(&mut self, now: TimeMs, value: u32) {
        let by_age = now.since(self.reported_at).min(FULL_WEIGHT_AGE_MS);
        let weight = by_age.max(FULL_WEIGHT_AGE_MS / WEIGHT);
        let kept = u64::from(self.permille) * (FULL_WEIGHT_AGE_MS - weight);
        self.permille = ((kept + u64::from(value) * weight) / FULL_WEIGHT_AGE_MS) as u32;
        self.reported_at = now;
    }
}
