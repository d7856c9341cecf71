//! Target selection: statistics of each target and the choice among them.

mod domain_reachability;
mod failure_rate;
mod owner_search;
mod picker;
mod placement_reason;
mod smoothed;
mod target_pressure;
mod target_stats;

pub use domain_reachability::DomainReachability;
pub use failure_rate::FailureRate;
pub use owner_search::OwnerSearch;
pub use picker::Pick;
pub use picker::PickContext;
pub use picker::PickerConf;
pub use picker::SpillPolicy;
pub use picker::pick;
pub use picker::place;
pub use placement_reason::PlacementReason;
pub use smoothed::smoothed;
pub use target_pressure::TargetPressure;
pub use target_stats::TargetStats;
