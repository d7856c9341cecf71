//! This node's share of the system-wide retry limits, per service.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::core::View;
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
/// Maximum number of budgets; beyond it those of services that are not in the view are dropped.
const MAX_SERVICES: usize = 1_024;
/// Budgets of which less than this is spent are not logged.
const MIN_LOGGED_SPENT: f32 = 1.0;

#[derive(Debug)]
struct BudgetState {
    /// The bound of the whole system.
    bound: RetryBound,
    /// The number of nodes that share the fixed allowance.
    nodes: usize,
    /// Retries before this time may be missing in budgets that are created from now on.
    uncounted_before: Option<TimeMs>,
    budgets: FastMap<Name, WindowBudget>,
}

/// Shared by all calls of the entry.
#[derive(Debug)]
pub(super) struct RetryBudgets {
    state: Mutex<BudgetState>,
}

impl RetryBudgets {
    /// Creates the budgets of a process that starts now. Unless the whole system starts for the first
    /// time, the node may have had a predecessor.
    pub(super) fn new(bound: RetryBound, is_first_start: bool, now: TimeMs) -> Self {
        let state = Mutex::new(BudgetState {
            bound,
            nodes: usize::MAX,
            uncounted_before: (!is_first_start).then_some(now),
            budgets: FastMap::default(),
        });
        Self { state }
    }

    /// Changes the bound of the whole system. Counts in windows of another length are lost.
    pub(super) fn set_bound(&self, now: TimeMs, bound: RetryBound) {
        let mut state = self.lock();
        if bound.window_ms != state.bound.window_ms {
            state.budgets.clear();
            state.uncounted_before = Some(now);
        }
        state.bound = bound;
        state.update_shares();
    }

    /// Records the first attempt of a call; see [`WindowBudget::record_first_attempt`].
    pub(super) fn record_first_attempt(
        &self,
        now: TimeMs,
        view: &View,
        service: &Name,
        repeated: f32,
    ) {
        let mut state = self.lock();
        state.update_nodes(now, view);
        state.budget_of(service).record_first_attempt(now, repeated);
    }

    /// Takes a retry from the budget; returns false if the budget is spent.
    pub(super) fn try_retry(&self, now: TimeMs, service: &Name) -> bool {
        self.lock().budget_of(service).try_retry(now)
    }

    /// Whether a retried request that makes calls to the service may start; see
    /// [`WindowBudget::has_remaining`].
    pub(super) fn has_remaining(&self, now: TimeMs, service: &Name) -> bool {
        self.lock().budget_of(service).has_remaining(now)
    }

    /// How much of each service's budget is used.
    pub(super) fn uses(&self, now: TimeMs) -> Vec<(Name, BudgetUse)> {
        let state = self.lock();
        let budgets = state.budgets.iter();
        budgets
            .map(|(service, budget)| (service.clone(), budget.used(now)))
            .collect()
    }

    /// Logs the budgets of which something is spent.
    pub(super) fn log_used(&self, now: TimeMs) {
        for (service, used) in self.uses(now) {
            if used.spent >= MIN_LOGGED_SPENT {
                log::info!(
                    "retry: budget in use, service={service} allowed={:.1} spent={:.1} denied={}",
                    used.allowed,
                    used.spent,
                    used.denied
                );
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BudgetState {
    /// This node's share of the bound.
    fn share(&self) -> RetryBound {
        RetryBound {
            ratio: self.bound.ratio * USED_RATIO_FRACTION,
            slack: self.bound.slack * USED_SLACK_FRACTION / self.nodes as f32,
            window_ms: self.bound.window_ms,
        }
    }

    fn update_nodes(&mut self, now: TimeMs, view: &View) {
        let nodes = view.nodes.len().max(1);
        if nodes != self.nodes {
            self.nodes = nodes;
            self.update_shares();
        }
        let services = self.budgets.len();
        if services > MAX_SERVICES {
            self.budgets
                .retain(|service, _| view.services.contains_key(service));
            if self.budgets.len() < services {
                self.uncounted_before = Some(now);
            }
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
