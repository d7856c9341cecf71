//! The Prometheus metrics of a node. Each metric has a row in
//! [docs/OPERATIONS.md](../../docs/OPERATIONS.md).

mod by_reason;
mod by_route;
mod metrics;
mod placement_metrics;
mod retry_metrics;

pub use by_reason::ByReason;
pub use by_route::ByRoute;
pub use metrics::Metrics;
pub use placement_metrics::PlacementMetrics;
pub use retry_metrics::RetryMetrics;
