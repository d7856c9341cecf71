//! A fake chain of services in virtual time that drives the pure admission code.
//!
//! It stands in for what is outside the decisions: callers that resend, backend servers with slots
//! and service times, and the delay between nodes. It decides nothing itself.

#![allow(dead_code)]

mod chain;
mod report;
mod story;

pub use chain::run;
pub use report::Report;
pub use story::Control;
pub use story::Order;
pub use story::Story;
