//! The configuration in force: operators publish and switch it through the platform's table, nodes
//! pass it on to each other, and its version never falls
//! ([docs/CONFIGURATION.md](../../docs/CONFIGURATION.md)).

mod change;
mod config_metrics;
mod config_ports;
mod config_publish;
mod config_shared;
mod config_state;
mod config_store;
mod config_switch;
mod config_task;
mod confirmation;
mod document_hash;
mod poll_schedule;
mod pollers;
mod rows;

pub use change::Change;
pub use config_metrics::ConfigMetrics;
pub use config_ports::ConfigPorts;
pub use config_ports::PeerAnswer;
pub use config_publish::Publication;
pub use config_shared::ConfigShared;
pub use config_shared::NewerConfig;
pub use config_state::ConfigState;
pub use config_state::IgnoreReason;
pub use config_state::OfferOutcome;
pub use config_state::Source;
pub use config_store::ConfigStore;
pub use config_store::PublishedPreset;
pub use config_switch::SwitchOutcome;
pub use config_task::ConfigTask;
pub use confirmation::DomainConfirmation;
pub use confirmation::NodeVersion;
pub use confirmation::confirmations;
pub use document_hash::document_hash;
pub use poll_schedule::PollOutcome;
pub use poll_schedule::PollSchedule;
pub use pollers::is_poller;
pub use rows::ChangeLog;
pub use rows::InForceRow;
pub use rows::LatestRow;
pub use rows::PastChange;
