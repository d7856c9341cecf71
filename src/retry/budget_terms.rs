//! What determines the retry budgets of a process.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::retry::BudgetShare;
use crate::retry::CountingStart;
use crate::retry::RetryBound;
use crate::retry::Sharers;
use crate::retry::Uncounted;
use crate::retry::WindowBudget;

/// The fraction of the allowed retry ratio that is used. Some is kept in reserve, because the
/// probability that a call's parent is a retry is known only as a mean, and because arrivals are
/// counted a little later than sends.
const USED_RATIO_FRACTION: f32 = 0.9;
/// The fraction of the fixed retry allowance that is used: a node may know of fewer nodes than
/// exist.
const USED_SLACK_FRACTION: f32 = 0.5;

/// This node's part of the system-wide bound, and what a predecessor may have used of it.
#[derive(Clone, Debug)]
pub(super) struct BudgetTerms {
    /// The bound of the whole system.
    pub bound: RetryBound,
    /// Unknown until the first members are known; none of the fixed allowance is used until then.
    pub sharers: Option<Sharers>,
    /// When the budgets began to count. Except at the first start of the system, retries before that may
    /// be missing in them.
    pub counting: CountingStart,
    /// How many those are by service, if known. Services without any are left out.
    pub predecessor_retries: Option<FastMap<Name, u32>>,
}

impl BudgetTerms {
    /// This node's share of the bound.
    pub fn share(&self) -> BudgetShare {
        let slack = self.bound.slack * USED_SLACK_FRACTION;
        let of_node = |sharers: Sharers| {
            slack / sharers.domains.max(1) as f32 / sharers.domain_nodes.max(1) as f32
        };
        BudgetShare {
            ratio: self.bound.ratio * USED_RATIO_FRACTION,
            reserve_ratio: self.bound.ratio * (1.0 - USED_RATIO_FRACTION),
            slack: self.sharers.map_or(0.0, of_node),
            window_ms: self.bound.window_ms,
        }
    }

    /// The retries to a service that its budget has not counted.
    pub fn uncounted(&self, service: &Name) -> Option<Uncounted> {
        let until = self.uncounted_until()?;
        let retries = self.predecessor_retries.as_ref();
        Some(Uncounted {
            until,
            retries: retries.map(|known| known.get(service).copied().unwrap_or(0) as f32),
        })
    }

    /// When the last uncounted retry leaves the window.
    pub fn uncounted_until(&self) -> Option<TimeMs> {
        let counted_ms = WindowBudget::counted_ms(self.bound.window_ms);
        (!self.counting.is_first_start).then(|| self.counting.at + counted_ms)
    }
}
