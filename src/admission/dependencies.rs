//! Which services the local backend server calls while it works on a route.

use crate::admission::Levels;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::Priority;
use crate::core::TimeMs;

/// A dependency that was not used for this long is forgotten.
const FORGET_AFTER_MS: u64 = 10_000;
/// Routes remembered at most.
const MOST_ROUTES: usize = 512;
/// Services and routes remembered for one route at most.
const MOST_CHILDREN: usize = 32;

#[derive(Clone, Debug)]
struct Child {
    service: Name,
    route: Name,
    last_used: TimeMs,
}

/// Learnt from the calls that the backend server makes on behalf of live calls, so that the level
/// of a deep service reaches the entry with the answers of those in between.
#[derive(Clone, Debug, Default)]
pub struct Dependencies {
    children: FastMap<Name, Vec<Child>>,
}

impl Dependencies {
    /// Notes that a call on `route` of the local service led to one on `child_route` of `service`.
    pub fn note(&mut self, now: TimeMs, route: &str, service: &Name, child_route: &str) {
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
        if children.len() < MOST_CHILDREN {
            children.push(Child {
                service: service.clone(),
                route: Name::from(child_route),
                last_used: now,
            });
        }
    }

    /// The level to piggyback on an answer to a call on `route`: what the guard itself admits, or
    /// less where a service behind it admits less.
    pub fn level(&self, now: TimeMs, route: &str, own: Priority, levels: &Levels) -> Priority {
        let children = self.children.get(route).map_or(&[][..], Vec::as_slice);
        children
            .iter()
            .filter(|child| now.since(child.last_used) <= FORGET_AFTER_MS)
            .map(|child| levels.level(now, &child.service, &child.route))
            .fold(own, Priority::min)
    }

    /// The service and route of every call that work on `route` has lately led to.
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
        if self.children.len() < MOST_ROUTES {
            return;
        }
        self.children.retain(|_, children| {
            children
                .iter()
                .any(|child| now.since(child.last_used) <= FORGET_AFTER_MS)
        });
        if self.children.len() >= MOST_ROUTES {
            self.children.clear();
        }
    }
}
