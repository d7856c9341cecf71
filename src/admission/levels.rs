//! Admission levels of services, learnt from piggybacked answers.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::Priority;
use crate::core::TimeMs;

/// A level that has not been reported for this long is ignored.
const FRESH_MS: u64 = 500;
/// How often one call is sent to probe a route whose calls are all shed.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// The most services and routes that are tracked. Beyond it, stale ones are evicted, or all if none
/// is stale.
const MAX_ENTRIES: usize = 4_096;

/// The part of a path by which levels are kept: its first segment. Calls with the same first
/// segment are assumed to depend on the same services.
pub fn route_of(path: &str) -> &str {
    let rest = path.strip_prefix('/').unwrap_or(path);
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    &rest[..end]
}

#[derive(Clone, Copy, Debug)]
struct KnownLevel {
    level: Priority,
    reported_at: TimeMs,
    probed_at: TimeMs,
}

/// The admission level of each service and route, kept where calls are sent: at entries for
/// callers' requests, and at guards for the calls of their backend server.
///
/// Guards against work that is done at every hop and discarded at the last. A call that would be
/// shed deeper is refused here before any work is done for it. A level expires unless it is
/// renewed, so a wrong or old one does harm for half a second at most.
#[derive(Clone, Debug, Default)]
pub struct Levels {
    reported: FastMap<Name, FastMap<Name, KnownLevel>>,
    entries: usize,
}

impl Levels {
    /// Records the level piggybacked on an answer of `service` to a call on `route`.
    pub fn record(&mut self, now: TimeMs, service: &Name, route: &str, level: Priority) {
        let reported = KnownLevel {
            level,
            reported_at: now,
            probed_at: now,
        };
        let routes = self.reported.entry(service.clone()).or_default();
        if let Some(known) = routes.get_mut(route) {
            *known = reported;
            return;
        }
        routes.insert(Name::from(route), reported);
        self.entries += 1;
        if self.entries > MAX_ENTRIES {
            self.evict(now);
        }
    }

    /// Whether a call may be sent. If not, the service or one downstream would shed it. If the
    /// route has had no recent report, one call per interval is sent to probe it.
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
        let reported = self
            .reported
            .get_mut(service)
            .and_then(|routes| routes.get_mut(route));
        match reported {
            Some(reported)
                if now.since(reported.reported_at.max(reported.probed_at)) > PROBE_INTERVAL_MS =>
            {
                reported.probed_at = now;
                true
            }
            _ => false,
        }
    }

    /// The lowest priority that the service and its downstream services on this route admit.
    ///
    /// Guards against a class with a route of its own that is admitted by all nodes at once. While
    /// the class is shed, no answer renews the level of its route, so the level expires. Recent
    /// levels of the same service on other routes are then used instead. The most lenient one is
    /// taken, because this route's downstream services may be less loaded than those of the others.
    pub fn level(&self, now: TimeMs, service: &str, route: &str) -> Priority {
        let Some(routes) = self.reported.get(service) else {
            return Priority::LOWEST;
        };
        let is_fresh = |reported: &&KnownLevel| now.since(reported.reported_at) <= FRESH_MS;
        if let Some(reported) = routes.get(route).filter(is_fresh) {
            return reported.level;
        }
        let fresh = routes.values().filter(is_fresh);
        fresh
            .map(|reported| reported.level)
            .max()
            .unwrap_or(Priority::LOWEST)
    }

    fn evict(&mut self, now: TimeMs) {
        for routes in self.reported.values_mut() {
            routes.retain(|_, reported| now.since(reported.reported_at) <= FRESH_MS);
        }
        self.reported.retain(|_, routes| !routes.is_empty());
        self.entries = self.reported.values().map(FastMap::len).sum();
        if self.entries > MAX_ENTRIES {
            self.reported.clear();
            self.entries = 0;
        }
    }
}
