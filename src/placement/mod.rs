//! Placement of a service's calls across failure domains: who offers how much, who can run how much,
//! and which share of a domain's calls goes where. See docs/design/uneven-load.md.

mod domain_load;
mod domain_split;
mod placement_conf;
mod placement_table;
mod split_log;

pub use domain_load::DomainLoad;
pub use domain_split::DomainShare;
pub use domain_split::DomainSplit;
pub use domain_split::WHOLE_PERMILLE;
pub use domain_split::split;
pub use placement_conf::PlacementConf;
pub use placement_table::PlacementTable;
pub use placement_table::ServicePlacement;
pub use split_log::SplitLog;
