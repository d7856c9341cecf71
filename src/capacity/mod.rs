//! The experiment behind [docs/CAPACITY.md](../../docs/CAPACITY.md): real nodes at several sizes,
//! and the slopes that lead from there to the full size.

pub mod assumptions;
pub mod layout;

mod calls;
mod changes;
mod experiment;
mod fleet;
mod gossip_cost;
mod member_state;
mod outage;
mod plot;
mod process_usage;
mod protocol_sizes;
mod report;
mod samples;
mod slope;
mod spread;
mod steady;
mod switch;

pub use calls::CallFigures;
pub use calls::KindFigures;
pub use calls::RateFigures;
pub use changes::ChangeFigures;
pub use experiment::ExperimentPlan;
pub use experiment::run;
pub use fleet::Fleet;
pub use fleet::PRESETS;
pub use fleet::preset;
pub use gossip_cost::GossipCost;
pub use member_state::MemberState;
pub use outage::OutageFigures;
pub use plot::draw_slopes;
pub use process_usage::ProcessUsage;
pub use protocol_sizes::ProtocolSizes;
pub use report::CapacityReport;
pub use report::SizeFigures;
pub use report::SlopeFigure;
pub use samples::Samples;
pub use slope::Slope;
pub use spread::Spread;
pub use steady::Snapshot;
pub use steady::SteadyFigures;
pub use steady::StoreUse;
pub use switch::SwitchFigures;
