//! Overload control for service call graphs: one small process beside each backend server.
//!
//! Each module covers one concern. The decision modules (`accounts`, `admission`, `routing`,
//! `retry`, `poison`, `claims`, `membership`, `preset`) are pure: they take inputs and a time and
//! return actions. `adapters` does the I/O; `node` connects the two. See
//! [docs/DESIGN.md](../docs/DESIGN.md).

pub mod accounts;
pub mod adapters;
pub mod admission;
pub mod backend;
pub mod capacity;
pub mod claims;
pub mod conf;
pub mod configuration;
pub mod control;
pub mod core;
pub mod ctl;
pub mod demo;
pub mod desired;
pub mod errors;
pub mod load;
pub mod logging;
pub mod membership;
pub mod mesh;
pub mod metrics;
pub mod node;
pub mod placement;
pub mod poison;
pub mod preset;
pub mod retry;
pub mod routing;
pub mod store;
pub mod table_service;
pub mod traffic;
pub mod wire;
