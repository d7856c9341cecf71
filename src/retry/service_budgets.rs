//! A node's share of the system-wide retry bound, for each service.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::retry::BudgetUse;
use crate::retry::CountingStart;
use crate::retry::RetryBound;
use crate::retry::Sharers;
use crate::retry::WindowBudget;
use crate::retry::budget_terms::BudgetTerms;

/// The retry budgets of one process, by service.
#[derive(Clone, Debug)]
pub struct ServiceBudgets {
    terms: BudgetTerms,
    /// When the process started.
    started: CountingStart,
    /// No more retries are granted.
    is_closed: bool,
    budgets: FastMap<Name, WindowBudget>,
}

impl ServiceBudgets {
    /// Creates the budgets of a process that starts now. Unless the whole system starts for the first
    /// time, the node may have had a predecessor.
    pub fn new(bound: RetryBound, is_first_start: bool, now: TimeMs) -> Self {
        let counting = CountingStart {
            at: now,
            is_first_start,
        };
        Self {
            terms: BudgetTerms {
                bound,
                sharers: None,
                counting,
                predecessor_retries: None,
            },
            started: counting,
            is_closed: false,
            budgets: FastMap::default(),
        }
    }

    /// Changes the bound of the whole system. Counts in windows of another length are lost.
    pub fn set_bound(&mut self, now: TimeMs, bound: RetryBound) {
        if bound.window_ms != self.terms.bound.window_ms {
            self.budgets.clear();
            self.lose_counts(now);
        }
        self.terms.bound = bound;
        self.update_shares();
    }

    /// Changes the nodes that share the fixed allowance.
    pub fn set_sharers(&mut self, sharers: Sharers) {
        if self.terms.sharers != Some(sharers) {
            self.terms.sharers = Some(sharers);
            self.update_shares();
        }
    }

    /// Records the first attempt of a call; see [`WindowBudget::record_first_attempt`].
    pub fn record_first_attempt(&mut self, now: TimeMs, service: &Name, retried: f32) {
        self.budget_of(service).record_first_attempt(now, retried);
    }

    /// Takes a retry from the budget; returns false if the budget is spent.
    pub fn try_retry(&mut self, now: TimeMs, service: &Name) -> bool {
        !self.is_closed && self.budget_of(service).try_retry(now)
    }

    /// Whether a retried request that makes calls to the service may start; see
    /// [`WindowBudget::has_remaining`].
    pub fn has_remaining(&mut self, now: TimeMs, service: &Name) -> bool {
        !self.is_closed && self.budget_of(service).has_remaining(now)
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
            self.lose_counts(now);
        }
    }

    /// Grants no more retries, and returns how many are in the window that ends now, by service, for
    /// the successor of this process. `None` if that is unknown.
    pub fn close(&mut self, now: TimeMs) -> Option<FastMap<Name, u32>> {
        self.is_closed = true;
        let mut retries = match self.terms.uncounted_until().filter(|until| now < *until) {
            Some(_) => self.terms.predecessor_retries.clone()?,
            None => FastMap::default(),
        };
        for (service, used) in self.uses(now) {
            let counted = used.spent.ceil() as u32;
            if counted > 0 {
                *retries.entry(service.clone()).or_default() += counted;
            }
        }
        Some(retries)
    }

    /// Applies what the predecessor returned from [`Self::close`].
    pub fn set_predecessor(&mut self, retries: FastMap<Name, u32>) {
        if self.terms.counting == self.started && !self.started.is_first_start {
            self.terms.predecessor_retries = Some(retries);
            for (service, budget) in &mut self.budgets {
                budget.set_uncounted(self.terms.uncounted(service));
            }
        }
    }

    fn lose_counts(&mut self, now: TimeMs) {
        self.terms.counting = CountingStart {
            at: now,
            is_first_start: false,
        };
        self.terms.predecessor_retries = None;
    }

    fn update_shares(&mut self) {
        let share = self.terms.share();
        for budget in self.budgets.values_mut() {
            budget.set_share(share);
        }
    }

    fn budget_of(&mut self, service: &Name) -> &mut WindowBudget {
        let terms = &self.terms;
        self.budgets.entry(service.clone()).or_insert_with(|| {
            WindowBudget::new(terms.share(), terms.counting, terms.uncounted(service))
        })
    }
}
