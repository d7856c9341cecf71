//! The retry budgets of this node, shared by all calls of the entry.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::core::View;
use crate::retry::BudgetUse;
use crate::retry::ServiceBudgets;
use crate::retry::Sharers;
use crate::traffic::LiveSettings;
use crate::traffic::TrafficSettings;

/// Maximum number of budgets; beyond it those of services that are not in the view are dropped.
const MAX_SERVICES: usize = 1_024;
/// Budgets of which less than this is spent are not logged.
const MIN_LOGGED_SPENT: f32 = 1.0;

#[derive(Debug)]
pub(super) struct RetryBudgets {
    domain: Name,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    budgets: ServiceBudgets,
    configured_domains: usize,
    /// The changes of the view from which the sharers were counted.
    counted_changes: Option<u64>,
}

impl RetryBudgets {
    /// See [`ServiceBudgets::new`].
    pub(super) fn new(settings: &TrafficSettings, now: TimeMs) -> Self {
        let live = &settings.live;
        Self {
            domain: settings.domain.clone(),
            state: Mutex::new(State {
                budgets: ServiceBudgets::new(live.retry_bound, settings.is_first_start, now),
                configured_domains: live.configured_domains,
                counted_changes: None,
            }),
        }
    }

    /// Applies changed settings; see [`ServiceBudgets::set_bound`].
    pub(super) fn set_live(&self, now: TimeMs, live: &LiveSettings) {
        let mut state = self.lock();
        state.budgets.set_bound(now, live.retry_bound);
        state.configured_domains = live.configured_domains;
        state.counted_changes = None;
    }

    /// Records the first attempt of a call, of which the fraction `retried` counts as a retry.
    pub(super) fn record_first_attempt(
        &self,
        now: TimeMs,
        view: &View,
        service: &Name,
        retried: f32,
    ) {
        let mut state = self.lock();
        if state.counted_changes != Some(view.changes) {
            let sharers = Sharers::of(view, &self.domain, state.configured_domains);
            state.budgets.set_sharers(sharers);
            state.counted_changes = Some(view.changes);
        }
        if state.budgets.len() > MAX_SERVICES {
            let is_known = |service: &Name| view.services.contains_key(service);
            state.budgets.retain(now, is_known);
        }
        state.budgets.record_first_attempt(now, service, retried);
    }

    /// Takes a retry from the budget; returns false if the budget is spent.
    pub(super) fn try_retry(&self, now: TimeMs, service: &Name) -> bool {
        self.lock().budgets.try_retry(now, service)
    }

    /// Whether a retried request that makes calls to the service may start; see
    /// [`crate::retry::WindowBudget::has_remaining`].
    pub(super) fn has_remaining(&self, now: TimeMs, service: &Name) -> bool {
        self.lock().budgets.has_remaining(now, service)
    }

    /// Ends the budgets, and returns what the successor has to know; see [`ServiceBudgets::close`].
    pub(super) fn close(&self, now: TimeMs) -> Option<FastMap<Name, u32>> {
        self.lock().budgets.close(now)
    }

    /// Applies what the predecessor has spent; see [`ServiceBudgets::set_predecessor`].
    pub(super) fn set_predecessor(&self, retries: FastMap<Name, u32>) {
        self.lock().budgets.set_predecessor(retries);
    }

    /// How much of each service's budget is used.
    pub(super) fn uses(&self, now: TimeMs) -> Vec<(Name, BudgetUse)> {
        let state = self.lock();
        let uses = state.budgets.uses(now);
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
