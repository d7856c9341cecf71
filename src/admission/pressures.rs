//! Which services are pressed behind each route, as learnt from the answers that come by.

use crate::admission::Dependencies;
use crate::admission::Pressure;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// Pressure that has not been heard of for this long no longer holds.
const FRESH_MS: u64 = 500;
/// The weight of a new report is one in this: single answers jump with every call that waits.
const WEIGHT: u64 = 8;
/// A report replaces all before it when the last one is this old, in milliseconds, and has its part
/// of that weight when it is younger. Guards against pressure that outlives its cause: with less
/// let in, answers grow few, and counted by answers it would never be forgotten.
const RENEWED_MS: u64 = 400;
/// Routes remembered at most; beyond it those not heard of for longest go.
const MOST_ROUTES: usize = 4_096;

#[derive(Clone, Debug)]
struct Heard {
    service: Name,
    permille: u32,
    at: TimeMs,
}

/// The most pressed service behind each route of each service that calls are sent to, and behind
/// the routes of the local service.
///
/// Backend servers pass nothing on, so a deep call cannot be tied to its root. What can be learnt
/// is which routes lead to which calls, and so which deep service a root of a route will press on.
#[derive(Clone, Debug, Default)]
pub struct Pressures {
    heard: FastMap<Name, FastMap<Name, Heard>>,
    routes: usize,
    dependencies: Dependencies,
}

impl Pressures {
    /// Takes in what an answer of `service` on `route` brought.
    pub fn note(&mut self, now: TimeMs, service: &Name, route: &str, pressure: Option<&Pressure>) {
        let known = self
            .heard
            .get_mut(service)
            .and_then(|routes| routes.get_mut(route));
        match (known, pressure) {
            (Some(known), Some(pressure)) => known.take(now, pressure),
            (Some(known), None) => known.ease(now),
            (None, Some(pressure)) => self.insert(now, service, route, pressure),
            (None, None) => {}
        }
    }

    fn insert(&mut self, now: TimeMs, service: &Name, route: &str, pressure: &Pressure) {
        if self.routes >= MOST_ROUTES {
            self.evict(now);
        }
        let heard = Heard {
            service: pressure.service.clone(),
            permille: pressure.permille / WEIGHT as u32,
            at: now,
        };
        let routes = self.heard.entry(service.clone()).or_default();
        routes.insert(Name::from(route), heard);
        self.routes += 1;
    }

    /// Notes that work on `route` of the local service may have led to a call.
    pub fn note_child(&mut self, now: TimeMs, route: &str, service: &Name, child_route: &str) {
        self.dependencies.note(now, route, service, child_route);
    }

    /// The most pressed service behind calls to `service` on `route`.
    pub fn downstream(&self, now: TimeMs, service: &str, route: &str) -> Option<Pressure> {
        let heard = self.heard.get(service)?.get(route)?;
        let is_fresh = now.since(heard.at) <= FRESH_MS && heard.permille > 0;
        is_fresh.then(|| Pressure {
            service: heard.service.clone(),
            permille: heard.permille,
        })
    }

    /// The service that was last seen pressed behind calls to `service` on `route`, if one ever was.
    pub fn overloaded_service(&self, service: &str, route: &str) -> Option<&Name> {
        let heard = self.heard.get(service)?.get(route)?;
        Some(&heard.service)
    }

    /// What to tell with an answer on `route` of the local service, whose own pressure is `own`.
    pub fn for_answer(&self, now: TimeMs, route: &str, own: Pressure) -> Option<Pressure> {
        let children = self.dependencies.children(now, route);
        let downstream = children.filter_map(|(service, route)| self.downstream(now, service, route));
        downstream
            .chain([own])
            .filter(|pressure| pressure.permille > 0)
            .max_by_key(|pressure| pressure.permille)
    }

    /// The services that work on `route` of the local service lately may have called, each once or more.
    pub fn downstream_services(&self, now: TimeMs, route: &str) -> Vec<Name> {
        let children = self.dependencies.children(now, route);
        children.map(|(service, _)| service.clone()).collect()
    }

    /// The highest pressure behind any of the routes of the local service.
    pub fn max_downstream_permille(&self, now: TimeMs, routes: &[Name]) -> u32 {
        let children = routes
            .iter()
            .flat_map(|route| self.dependencies.children(now, route));
        let downstream = children.filter_map(|(service, route)| self.downstream(now, service, route));
        downstream.map(|pressure| pressure.permille).max().unwrap_or(0)
    }

    fn evict(&mut self, now: TimeMs) {
        for routes in self.heard.values_mut() {
            routes.retain(|_, heard| now.since(heard.at) <= FRESH_MS);
        }
        self.heard.retain(|_, routes| !routes.is_empty());
        self.routes = self.heard.values().map(FastMap::len).sum();
        if self.routes >= MOST_ROUTES {
            self.heard.clear();
            self.routes = 0;
        }
    }
}

impl Heard {
    /// Another service is taken over at once when it is pressed harder than the known one.
    fn take(&mut self, now: TimeMs, pressure: &Pressure) {
        let is_stale = now.since(self.at) > FRESH_MS;
        if self.service != pressure.service && (is_stale || pressure.permille > self.permille) {
            self.service = pressure.service.clone();
        }
        let toward = if self.service == pressure.service {
            pressure.permille
        } else {
            0
        };
        self.smooth(now, toward);
    }

    fn ease(&mut self, now: TimeMs) {
        self.smooth(now, 0);
    }

    fn smooth(&mut self, now: TimeMs, toward: u32) {
        let by_age = now.since(self.at).min(RENEWED_MS);
        let weight = by_age.max(RENEWED_MS / WEIGHT);
        let kept = u64::from(self.permille) * (RENEWED_MS - weight);
        self.permille = ((kept + u64::from(toward) * weight) / RENEWED_MS) as u32;
        self.at = now;
    }
}
