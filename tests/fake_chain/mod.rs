//! A simulated chain of services in virtual time that drives the pure admission code.
//!
//! It replaces everything outside the decisions: callers that resend, backend servers with slots
//! and service times, and the delay between nodes. It makes no decisions itself.

#![allow(dead_code)]

mod chain;
mod report;
mod scenario;

pub use chain::run;
pub use report::Report;
pub use scenario::Control;
pub use scenario::Order;
pub use scenario::Scenario;
