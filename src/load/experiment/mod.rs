//! Experiments: meshes of real processes under load, variants interleaved and repeated, so that
//! every figure is a ratio within one run (docs/MEASUREMENTS.md).

mod chain;
mod cost;
mod overload;
mod overload_rows;
mod process_usage;
mod rate_limit;
mod spread;
mod switching;
mod variant;

pub use chain::Chain;
pub use chain::service_at;
pub use cost::CostExperiment;
pub use cost::CostRow;
pub use cost::render_cost;
pub use overload::OverloadExperiment;
pub use overload_rows::OverloadRow;
pub use overload_rows::OverloadRun;
pub use overload_rows::overload_rows;
pub use overload_rows::render_overload;
pub use process_usage::ProcessUsage;
pub use rate_limit::RateLimitExperiment;
pub use rate_limit::RateLimitReport;
pub use rate_limit::render_rate_limit;
pub use spread::Spread;
pub use switching::SwitchingExperiment;
pub use switching::SwitchingRow;
pub use switching::render_switching;
pub use variant::Variant;
