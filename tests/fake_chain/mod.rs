//! A fake chain of services in virtual time that drives the pure admission code.
//!
//! It stands in for what is outside the decisions: callers that resend, backend servers with slots
//! and service times, and the delay between nodes. It decides nothing itself.

#![allow(dead_code)]

mod chain;
mod report;
mod scenario;

pub use chain::run;
pub use report::Report;
pub use scenario::Control;
pub use scenario::Order;
pub use scenario::Scenario;
