//! Detection of requests that crash backend servers: which are suspected, cleared or refused
//! ([docs/POISON.md](../../docs/POISON.md)).

mod broken_calls;
mod crash_history;
mod crash_report;
mod suspects;

pub use broken_calls::BrokenCalls;
pub use crash_report::Clearance;
pub use crash_report::CrashId;
pub use crash_report::CrashReport;
pub use crash_report::RunningRequest;
pub use suspects::PoisonSettings;
pub use suspects::Suspects;
pub use suspects::Verdict;
