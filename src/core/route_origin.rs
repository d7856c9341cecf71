//! Who uses a route.

use serde::Deserialize;
use serde::Serialize;

/// Who uses a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RouteOrigin {
    /// Callers: their requests begin beside backend servers of every service.
    Callers,
    /// Backend servers of some services, on behalf of requests that run there.
    Backends,
}
