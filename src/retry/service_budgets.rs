//! A node's share of the system-wide retry bound, for each service.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::retry::BudgetUse;
use crate::retry::RetryBound;
use crate::retry::Uncounted;
use crate::retry::WindowBudget;

/// The fraction of the allowed retry ratio that is used. Some is kept in reserve, because the
/// probability that a call's parent is a retry is known only as a mean, and because arrivals are
/// counted a little later than sends.
const USED_RATIO_FRACTION: f32 = 0.9;
/// The fraction of the fixed retry allowance that is used: a node may know of fewer nodes than
/// exist.
const USED_SLACK_FRACTION: f32 = 0.5;

/// The retry budgets of one process, by service.
#[derive(Clone, Debug)]
pub struct ServiceBudgets {
    /// The bound of the whole system.
    bound: RetryBound,
    /// The number of nodes that share the fixed allowance.
    nodes: usize,
    /// Retries before this time may be missing in budgets that are created from now on.
    uncounted_before: Option<TimeMs>,
    budgets: FastMap<Name, WindowBudget>,
}

impl ServiceBudgets {
    /// Creates the budgets of a process that starts now. Unless the whole system starts for the first
    /// time, the node may have had a predecessor.
    pub fn new(bound: RetryBound, is_first_start: bool, now: TimeMs) -> Self {
        Self {
            bound,
            nodes: usize::MAX,
            uncounted_before: (!is_first_start).then_some(now),
            budgets: FastMap::default(),
        }
    }

    /// Changes the bound of the whole system. Counts in windows of another length are lost.
    pub fn set_bound(&mut self, now: TimeMs, bound: RetryBound) {
        if bound.window_ms != self.bound.window_ms {
            self.budgets.clear();
            self.uncounted_before = Some(now);
        }
        self.bound = bound;
        self.update_shares();
    }

    /// Changes the number of nodes that share the fixed allowance.
    pub fn set_nodes(&mut self, nodes: usize) {
        let nodes = nodes.max(1);
        if nodes != self.nodes {
            self.nodes = nodes;
            self.update_shares();
        }
    }

    /// Records the first attempt of a call; see [`WindowBudget::record_first_attempt`].
    pub fn record_first_attempt(&mut self, now: TimeMs, service: &Name, retried: f32) {
        self.budget_of(service).record_first_attempt(now, retried);
    }

    /// Takes a retry from the budget; returns false if the budget is spent.
    pub fn try_retry(&mut self, now: TimeMs, service: &Name) -> bool {
        self.budget_of(service).try_retry(now)
    }

    /// Whether a retried request that makes calls to the service may start; see
    /// [`WindowBudget::has_remaining`].
    pub fn has_remaining(&mut self, now: TimeMs, service: &Name) -> bool {
        self.budget_of(service).has_remaining(now)
    }

    /// How much of each service's budget is used.
    pub fn uses(&self, now: TimeMs) -> impl Iterator<Item = (&Name, BudgetUse)> {
        let budgets = self.budgets.iter();
        budgets.map(move |(service, budget)| (service, budget.used(now)))
    }

    /// The number of services with a budget.
    pub fn len(&self) -> usize {
        self.budgets.len()
    }

    /// Whether no service has a budget yet.
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }

    /// Drops the budgets of all other services, with their counts.
    pub fn retain(&mut self, now: TimeMs, is_kept: impl Fn(&Name) -> bool) {
        let services = self.len();
        self.budgets.retain(|service, _| is_kept(service));
        if self.len() < services {
            self.uncounted_before = Some(now);
        }
    }

    /// This node's share of the bound.
    fn share(&self) -> RetryBound {
        RetryBound {
            ratio: self.bound.ratio * USED_RATIO_FRACTION,
            slack: self.bound.slack * USED_SLACK_FRACTION / self.nodes as f32,
            window_ms: self.bound.window_ms,
        }
    }

    fn update_shares(&mut self) {
        let share = self.share();
        for budget in self.budgets.values_mut() {
            budget.set_share(share);
        }
    }

    fn budget_of(&mut self, service: &Name) -> &mut WindowBudget {
        let share = self.share();
        let uncounted = self.uncounted_before.map(|before| Uncounted {
            before,
            reserve_ratio: self.bound.ratio * (1.0 - USED_RATIO_FRACTION),
        });
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| match uncounted {
                Some(uncounted) => WindowBudget::with_uncounted(share, uncounted),
                None => WindowBudget::new(share),
            })
    }
}
