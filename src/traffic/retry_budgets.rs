//! The retry budgets of this node, shared by all calls of the entry.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::core::View;
use crate::retry::BudgetUse;
use crate::retry::RetryBound;
use crate::retry::ServiceBudgets;

/// Maximum number of budgets; beyond it those of services that are not in the view are dropped.
const MAX_SERVICES: usize = 1_024;
/// Budgets of which less than this is spent are not logged.
const MIN_LOGGED_SPENT: f32 = 1.0;

#[derive(Debug)]
pub(super) struct RetryBudgets {
    budgets: Mutex<ServiceBudgets>,
}

impl RetryBudgets {
    /// See [`ServiceBudgets::new`].
    pub(super) fn new(bound: RetryBound, is_first_start: bool, now: TimeMs) -> Self {
        let budgets = Mutex::new(ServiceBudgets::new(bound, is_first_start, now));
        Self { budgets }
    }

    /// Changes the bound of the whole system; see [`ServiceBudgets::set_bound`].
    pub(super) fn set_bound(&self, now: TimeMs, bound: RetryBound) {
        self.lock().set_bound(now, bound);
    }

    /// Records the first attempt of a call, of which the fraction `retried` counts as a retry.
    pub(super) fn record_first_attempt(
        &self,
        now: TimeMs,
        view: &View,
        service: &Name,
        retried: f32,
    ) {
        let mut budgets = self.lock();
        budgets.set_nodes(view.nodes.len());
        if budgets.len() > MAX_SERVICES {
            budgets.retain(now, |service| view.services.contains_key(service));
        }
        budgets.record_first_attempt(now, service, retried);
    }

    /// Takes a retry from the budget; returns false if the budget is spent.
    pub(super) fn try_retry(&self, now: TimeMs, service: &Name) -> bool {
        self.lock().try_retry(now, service)
    }

    /// Whether a retried request that makes calls to the service may start; see
    /// [`crate::retry::WindowBudget::has_remaining`].
    pub(super) fn has_remaining(&self, now: TimeMs, service: &Name) -> bool {
        self.lock().has_remaining(now, service)
    }

    /// Ends the budgets, and returns what the successor has to know; see [`ServiceBudgets::close`].
    pub(super) fn close(&self, now: TimeMs) -> Option<FastMap<Name, u32>> {
        self.lock().close(now)
    }

    /// Applies what the predecessor has spent; see [`ServiceBudgets::set_predecessor`].
    pub(super) fn set_predecessor(&self, retries: FastMap<Name, u32>) {
        self.lock().set_predecessor(retries);
    }

    /// How much of each service's budget is used.
    pub(super) fn uses(&self, now: TimeMs) -> Vec<(Name, BudgetUse)> {
        let budgets = self.lock();
        let uses = budgets.uses(now);
        uses.map(|(service, used)| (service.clone(), used))
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

    fn lock(&self) -> MutexGuard<'_, ServiceBudgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
