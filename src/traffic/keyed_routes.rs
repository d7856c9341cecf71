//! The routes that are known to be used by callers, because of their account keys.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::core::FastSet;
use crate::core::Name;

/// Maximum number of routes; beyond it the set is cleared and fills again.
const MAX_ROUTES: usize = 4_096;

/// Routes on which this entry has received a request with a valid key. Read by every request and
/// rarely changed.
#[derive(Debug, Default)]
pub(super) struct KeyedRoutes {
    routes: ArcSwap<FastSet<Name>>,
}

impl KeyedRoutes {
    /// Whether a request with a valid key was received on the route.
    pub(super) fn contains(&self, route: &Name) -> bool {
        self.routes.load().contains(route)
    }

    /// Records a request with a valid key on the route.
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
