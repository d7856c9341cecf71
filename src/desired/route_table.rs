//! Looks up the route of a request.

use std::sync::Arc;

use crate::core::FastMap;
use crate::core::Name;
use crate::desired::DesiredState;
use crate::desired::Route;
use crate::desired::Split;

/// A route and the weighted distribution of its requests.
#[derive(Debug)]
pub struct RouteInForce {
    pub route: Route,
    pub split: Split,
}

/// The routes of one desired state, found by host and longest prefix.
///
/// Prefixes end with a slash, so a path has as many candidates as slashes. A look-up takes as long
/// with thousands of routes as with one.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: FastMap<Name, FastMap<Name, Arc<RouteInForce>>>,
}

impl RouteTable {
    /// Indexes the routes of a desired state.
    pub fn new(state: &DesiredState) -> Self {
        let mut by_host: FastMap<Name, FastMap<Name, Arc<RouteInForce>>> = FastMap::default();
        for route in &state.routes {
            let in_force = RouteInForce {
                split: Split::new(route.destinations.clone()),
                route: route.clone(),
            };
            by_host
                .entry(route.host.clone())
                .or_default()
                .insert(route.prefix.clone(), Arc::new(in_force));
        }
        Self { by_host }
    }

    /// The route with the longest prefix of the path. `host` may include a port; `path` has no
    /// query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteInForce>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&*name.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(found) = routes.get(&path[..=slash]) {
                return Some(found);
            }
            end = slash;
        }
        None
    }
}
