//! The node's part in the bounds on repeats, by service.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::core::View;
use crate::retry::RetryBound;
use crate::retry::WindowBudget;

/// The part of the bound that is used. How likely a call is a repeat of its parent's is known as a mean
/// only, and arrivals are counted a little later than sends.
const USED_PART: f32 = 0.9;
/// The part of the fixed allowance that is used: a node may know of fewer others than there are.
const USED_SLACK_PART: f32 = 0.5;
/// Services for which budgets are kept; beyond it those the view does not know go.
const MOST_SERVICES: usize = 1_024;

#[derive(Debug)]
struct Known {
    /// That of the whole system.
    bound: RetryBound,
    /// How many nodes share the fixed allowance.
    nodes: usize,
    budgets: FastMap<Name, WindowBudget>,
}

/// Shared by all calls of the entry.
#[derive(Debug)]
pub(super) struct RetryBudgets {
    known: Mutex<Known>,
}

impl RetryBudgets {
    /// Nothing is spent yet.
    pub(super) fn new(bound: RetryBound) -> Self {
        let known = Mutex::new(Known {
            bound,
            nodes: usize::MAX,
            budgets: FastMap::default(),
        });
        Self { known }
    }

    /// Changes the bound of the whole system; see [`WindowBudget::set_share`].
    pub(super) fn set_bound(&self, bound: RetryBound) {
        let mut known = self.lock();
        known.bound = bound;
        known.share_anew();
    }

    /// Notes a call that is sent for the first time; see [`WindowBudget::record_first_attempt`].
    pub(super) fn first_attempt(&self, now: TimeMs, view: &View, service: &Name, repeated: f32) {
        let mut known = self.lock();
        known.follow(view);
        known.budget_of(service).record_first_attempt(now, repeated);
    }

    /// Pays for a repeat; false when none is left.
    pub(super) fn try_retry(&self, now: TimeMs, service: &Name) -> bool {
        self.lock().budget_of(service).try_retry(now)
    }

    /// Whether a repeat may begin that makes calls to the service; see [`WindowBudget::has_remaining`].
    pub(super) fn has_left(&self, now: TimeMs, service: &Name) -> bool {
        self.lock().budget_of(service).has_remaining(now)
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    /// This node's part.
    fn share(&self) -> RetryBound {
        RetryBound {
            ratio: self.bound.ratio * USED_PART,
            slack: self.bound.slack * USED_SLACK_PART / self.nodes as f32,
            window_ms: self.bound.window_ms,
        }
    }

    fn follow(&mut self, view: &View) {
        let nodes = view.nodes.len().max(1);
        if nodes != self.nodes {
            self.nodes = nodes;
            self.share_anew();
        }
        if self.budgets.len() > MOST_SERVICES {
            self.budgets
                .retain(|service, _| view.services.contains_key(service));
        }
    }

    fn share_anew(&mut self) {
        let share = self.share();
        for budget in self.budgets.values_mut() {
            budget.set_share(share);
        }
    }

    fn budget_of(&mut self, service: &Name) -> &mut WindowBudget {
        let share = self.share();
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| WindowBudget::new(share))
    }
}
