//! The operator's desired state: which request goes to which service, and under which limits.
//!
//! Pure data and pure look-ups. An adapter decodes a deployment's own format into these types;
//! nothing here depends on that format. See [docs/PLATFORM.md](../../docs/PLATFORM.md).

mod client_limits;
mod desired_state;
mod route;
mod route_table;
mod split;
mod store_watch;

pub use client_limits::ClientLimits;
pub use desired_state::DesiredState;
pub use desired_state::ServiceConf;
pub use route::Repeatability;
pub use route::Route;
pub use route::WeightedService;
pub use route_table::RouteInForce;
pub use route_table::RouteTable;
pub use split::Split;
pub use store_watch::StateFreshness;
pub use store_watch::WATCH_CHECK_INTERVAL_MS;
pub use store_watch::WATCH_LONG_POLL_MS;
pub use store_watch::WATCH_MAX_BACKOFF_MS;
pub use store_watch::is_watcher;
pub use store_watch::should_fetch_across_domains;
pub use store_watch::should_query_store;
