//! What services admit, as learnt from the answers that come by.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::Priority;
use crate::core::TimeMs;

/// A level that has not been heard of for this long no longer holds.
const FRESH_MS: u64 = 500;
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
        let heard = Heard { level, at: now };
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

    /// Whether a call may be sent; when not, it would be shed by the service or behind it.
    pub fn may_pass(&self, now: TimeMs, service: &str, route: &str, priority: Priority) -> bool {
        priority <= self.level(now, service, route)
    }

    /// The lowest priority that the service, and those behind it on this route, admit.
    pub fn level(&self, now: TimeMs, service: &str, route: &str) -> Priority {
        let heard = self.heard.get(service).and_then(|routes| routes.get(route));
        match heard {
            Some(heard) if now.since(heard.at) <= FRESH_MS => heard.level,
            _ => Priority::LOWEST,
        }
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
