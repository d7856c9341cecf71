//! Limits on retries: per call tree, and over all calls to a service.

mod allotment;
mod bucket_sums;
mod budget;
mod budget_share;
mod budget_terms;
mod budget_use;
mod counting_start;
mod decision;
mod retry_bound;
mod service_budgets;
mod sharers;
mod uncounted;
mod window_budget;

pub use allotment::Allotment;
pub use budget::RetryBudget;
pub use budget_share::BudgetShare;
pub use budget_use::BudgetUse;
pub use counting_start::CountingStart;
pub use decision::AttemptFailure;
pub use decision::RetryContext;
pub use decision::retry_reason;
pub use retry_bound::RetryBound;
pub use service_budgets::ServiceBudgets;
pub use sharers::Sharers;
pub use uncounted::Uncounted;
pub use window_budget::WindowBudget;
