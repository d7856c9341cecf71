//! What the node counts, for Prometheus. Each metric has a row in
//! [docs/OPERATIONS.md](../../docs/OPERATIONS.md).

mod by_reason;
mod metrics;

pub use by_reason::ByReason;
pub use metrics::Metrics;
