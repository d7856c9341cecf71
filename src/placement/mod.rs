//! Placement of a service's calls across failure domains: who offers how much, who can run how much,
//! and which share of a domain's calls goes where. See docs/design/uneven-load.md.
//!
//! Each node reports to the load coordinator of its failure domain for each service, which exchanges
//! loads with the coordinators of the other domains and replies with the split of its domain's calls.

mod coordinator;
mod coordinator_choice;
mod coordinator_context;
mod demand_change;
mod domain_load;
mod domain_split;
mod load_exchange;
mod load_message;
mod placement_conf;
mod placement_table;
mod report_timer;
mod reporter;
mod service_coordinator;
mod smoothed_value;
mod split_log;

pub use coordinator_choice::CoordinatorChoice;
pub use demand_change::demand_change;
pub use domain_load::DomainLoad;
pub use domain_split::DomainShare;
pub use domain_split::DomainSplit;
pub use domain_split::WHOLE_PERMILLE;
pub use domain_split::split;
pub use load_exchange::ExchangeStep;
pub use load_exchange::KnownFleet;
pub use load_exchange::LoadExchange;
pub use load_exchange::LocalLoad;
pub use load_exchange::PeerLoadMessage;
pub use load_message::DomainFigures;
pub use load_message::LoadFigures;
pub use load_message::LoadMessage;
pub use load_message::ServiceLoad;
pub use load_message::ServiceReply;
pub use load_message::ServiceReport;
pub use load_message::TargetFigures;
pub use placement_conf::PlacementConf;
pub use placement_conf::STAY_PERMILLE_RANGE;
pub use placement_table::PlacementTable;
pub use placement_table::ServicePlacement;
pub use reporter::FirstAttempts;
pub use reporter::LocalTarget;
pub use split_log::SplitLog;
