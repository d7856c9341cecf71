//! How often a call may be attempted, over the whole call tree and over all calls to a service.

mod allotment;
mod budget;

pub use allotment::Allotment;
pub use budget::RetryBudget;
