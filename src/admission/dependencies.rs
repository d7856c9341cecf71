//! Which services the local backend server calls while it handles a route.

use crate::admission::Levels;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::Priority;
use crate::core::TimeMs;

/// A dependency that has not been used for this long is ignored.
const FORGET_AFTER_MS: u64 = 10_000;
/// The most routes that are tracked. Beyond it, unused ones are evicted, or all if none is unused.
const MAX_ROUTES: usize = 512;
/// The most child services and routes that are tracked per route. Further ones are ignored.
const MAX_CHILDREN: usize = 32;

#[derive(Clone, Debug)]
struct Child {
    service: Name,
    route: Name,
    last_used: TimeMs,
}

/// Dependencies of routes on other services, learnt from the calls that the backend server makes on
/// behalf of running calls. They carry the level of a deep service to the entry, on the answers of
/// the services in between.
#[derive(Clone, Debug, Default)]
pub struct Dependencies {
    children: FastMap<Name, Vec<Child>>,
}

impl Dependencies {
    /// Records that a call on `route` of the local service led to a call on `child_route` of
    /// `service`.
    pub fn record(&mut self, now: TimeMs, route: &str, service: &Name, child_route: &str) {
        if !self.children.contains_key(route) {
            self.make_room(now);
            self.children.insert(Name::from(route), Vec::new());
        }
        let Some(children) = self.children.get_mut(route) else {
            return;
        };
        let same = |child: &&mut Child| child.service == *service && &*child.route == child_route;
        if let Some(child) = children.iter_mut().find(same) {
            child.last_used = now;
            return;
        }
        children.retain(|child| now.since(child.last_used) <= FORGET_AFTER_MS);
        if children.len() < MAX_CHILDREN {
            children.push(Child {
                service: service.clone(),
                route: Name::from(child_route),
                last_used: now,
            });
        }
    }

    /// The level to piggyback on an answer to a call on `route`: the strictest of the guard's own
    /// level and those of the downstream services.
    pub fn level(&self, now: TimeMs, route: &str, own: Priority, levels: &Levels) -> Priority {
        let children = self.children.get(route).map_or(&[][..], Vec::as_slice);
        children
            .iter()
            .filter(|child| now.since(child.last_used) <= FORGET_AFTER_MS)
            .map(|child| levels.level(now, &child.service, &child.route))
            .fold(own, Priority::min)
    }

    /// The service and route of every call that `route` has recently led to.
    pub fn children<'a>(
        &'a self,
        now: TimeMs,
        route: &str,
    ) -> impl Iterator<Item = (&'a Name, &'a Name)> + use<'a> {
        let children = self.children.get(route).map_or(&[][..], Vec::as_slice);
        children
            .iter()
            .filter(move |child| now.since(child.last_used) <= FORGET_AFTER_MS)
            .map(|child| (&child.service, &child.route))
    }

    fn make_room(&mut self, now: TimeMs) {
        if self.children.len() < MAX_ROUTES {
            return;
        }
        self.children.retain(|_, children| {
            children
                .iter()
                .any(|child| now.since(child.last_used) <= FORGET_AFTER_MS)
        });
        if self.children.len() >= MAX_ROUTES {
            self.children.clear();
        }
    }
}
