//! Whether callers or backend servers use a route.

use serde::Deserialize;
use serde::Serialize;

/// Whether callers or backend servers use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RouteOrigin {
    /// Callers. Their requests enter at nodes of every service.
    Callers,
    /// Backend servers of some services, which make child calls for the requests that they run.
    Backends,
}
