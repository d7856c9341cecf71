//! Which routes callers use, as far as their keys have shown it here.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::core::FastSet;
use crate::core::Name;

/// Routes remembered at most; beyond it all are forgotten and seen anew.
const MAX_ROUTES: usize = 4_096;

/// Routes on which a request with a valid key was seen at this entry. Read by every request and seldom
/// changed.
#[derive(Debug, Default)]
pub(super) struct KeyedRoutes {
    routes: ArcSwap<FastSet<Name>>,
}

impl KeyedRoutes {
    /// Whether a valid key was seen on the route.
    pub(super) fn contains(&self, route: &Name) -> bool {
        self.routes.load().contains(route)
    }

    /// A valid key was seen on the route.
    pub(super) fn record(&self, route: &Name) {
        if self.contains(route) {
            return;
        }
        self.routes.rcu(|routes| {
            let mut routes = FastSet::clone(routes);
            if routes.len() >= MAX_ROUTES {
                routes.clear();
            }
            routes.insert(route.clone());
            Arc::new(routes)
        });
    }
}
