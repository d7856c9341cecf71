//! What services admit, as learnt from the answers that come by.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::Priority;
use crate::core::TimeMs;

/// A level that has not been heard of for this long no longer holds.
const FRESH_MS: u64 = 500;
/// How often a call passes to ask for the level of a route that is shed as a whole.
const ASK_MS: u64 = 1_000;
/// Services and routes remembered at most; beyond it those not heard of for longest go.
const MOST_ENTRIES: usize = 4_096;

/// The part of a path by which levels are told apart: its first segment. Calls under one first
/// segment are taken to depend on the same services.
pub fn route_of(path: &str) -> &str {
    let rest = path.strip_prefix('/').unwrap_or(path);
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    &rest[..end]
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    level: Priority,
    at: TimeMs,
    asked_at: TimeMs,
}

/// The admission level of each service and route, held where calls are sent from: at entries for
/// callers' requests, and at guards for the calls of their backend server.
///
/// Guards against work that is done at every hop only to be thrown away at the last: what would be
/// shed deeper is refused here, before anything has been done for it. A level that nobody renews
/// lapses, so a wrong or old one does harm for half a second at most.
#[derive(Clone, Debug, Default)]
pub struct Levels {
    heard: FastMap<Name, FastMap<Name, Heard>>,
    entries: usize,
}

impl Levels {
    /// Takes in the level that an answer of `service` to a call on `route` brought.
    pub fn note(&mut self, now: TimeMs, service: &Name, route: &str, level: Priority) {
        let heard = Heard {
            level,
            at: now,
            asked_at: now,
        };
        let routes = self.heard.entry(service.clone()).or_default();
        if let Some(known) = routes.get_mut(route) {
            *known = heard;
            return;
        }
        routes.insert(Name::from(route), heard);
        self.entries += 1;
        if self.entries > MOST_ENTRIES {
            self.evict(now);
        }
    }

    /// Whether a call may be sent; when not, it would be shed by the service or behind it. Where the
    /// route has not been heard of lately, one call now and then passes all the same, to ask.
    pub fn may_pass(
        &mut self,
        now: TimeMs,
        service: &str,
        route: &str,
        priority: Priority,
    ) -> bool {
        if priority <= self.level(now, service, route) {
            return true;
        }
        let heard = self
            .heard
            .get_mut(service)
            .and_then(|routes| routes.get_mut(route));
        match heard {
            Some(heard) if now.since(heard.at.max(heard.asked_at)) > ASK_MS => {
                heard.asked_at = now;
                true
            }
            _ => false,
        }
    }

    /// The lowest priority that the service, and those behind it on this route, admit.
    ///
    /// Guards against a class with a route of its own being let in at once by all nodes whenever
    /// the route's level grows old: since the class is shed, no answer renews it. What answers on
    /// other routes say of the same service holds for it meanwhile, the most lenient of them, for
    /// what is behind this route may be less loaded than what is behind others.
    pub fn level(&self, now: TimeMs, service: &str, route: &str) -> Priority {
        let Some(routes) = self.heard.get(service) else {
            return Priority::LOWEST;
        };
        let is_fresh = |heard: &&Heard| now.since(heard.at) <= FRESH_MS;
        if let Some(heard) = routes.get(route).filter(is_fresh) {
            return heard.level;
        }
        let fresh = routes.values().filter(is_fresh);
        fresh
            .map(|heard| heard.level)
            .max()
            .unwrap_or(Priority::LOWEST)
    }

    fn evict(&mut self, now: TimeMs) {
        for routes in self.heard.values_mut() {
            routes.retain(|_, heard| now.since(heard.at) <= FRESH_MS);
        }
        self.heard.retain(|_, routes| !routes.is_empty());
        self.entries = self.heard.values().map(FastMap::len).sum();
        if self.entries > MOST_ENTRIES {
            self.heard.clear();
            self.entries = 0;
        }
    }
}
