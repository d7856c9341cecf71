//! Metrics of the retry budgets.

use prometheus::GaugeVec;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::core::Name;
use crate::metrics::metrics::counter_by;
use crate::retry::BudgetUse;

/// The retry budget of this node for each service.
pub struct RetryMetrics {
    allowed: GaugeVec,
    spent: GaugeVec,
    denied: IntCounterVec,
}

impl RetryMetrics {
    /// Registers the metrics.
    ///
    /// # Panics
    /// When a name is malformed or already registered, which is a bug in the program.
    pub fn register(registry: &Registry) -> Self {
        let gauge = |name, help| {
            let gauge = GaugeVec::new(Opts::new(name, help), &["service"])
                .expect("the name of a gauge is valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("the name of a gauge is free");
            gauge
        };
        Self {
            allowed: gauge(
                "sassafrasgap_retry_budget_allowed",
                "Retries to a service that this node's share of the bound allows in a window.",
            ),
            spent: gauge(
                "sassafrasgap_retry_budget_spent",
                "Retries to a service in the last window, including calls made by retries.",
            ),
            denied: counter_by(
                registry,
                "sassafrasgap_retries_denied_total",
                "Retries that this entry did not make because its budget was spent, by service.",
                &["service"],
            ),
        }
    }

    /// Sets the metrics of all budgets. The counter is raised to the budget's own count.
    pub fn set_budgets<'a>(&self, budgets: impl Iterator<Item = (&'a Name, BudgetUse)>) {
        self.allowed.reset();
        self.spent.reset();
        for (service, used) in budgets {
            let label = [&**service];
            self.allowed
                .with_label_values(&label)
                .set(f64::from(used.allowed));
            self.spent
                .with_label_values(&label)
                .set(f64::from(used.spent));
            let denied = self.denied.with_label_values(&label);
            denied.inc_by(used.denied.saturating_sub(denied.get()));
        }
    }
}
