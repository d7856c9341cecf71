//! Counters by reason, looked up by index instead of by label.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

/// One counter for each reason. All series exist from the start with the value 0, so that the first
/// refusal shows as an increase and not as a new series.
pub struct ByReason {
    counters: Vec<IntCounter>,
}

impl ByReason {
    /// Registers a counter family with one series for each of `reasons`, labelled `reason`.
    ///
    /// # Panics
    /// When the name is malformed or already registered, which is a bug in the program.
    pub fn register(registry: &Registry, name: &str, help: &str, reasons: &[&str]) -> Self {
        let family = IntCounterVec::new(Opts::new(name, help), &["reason"])
            .expect("the name of a counter is valid");
        registry
            .register(Box::new(family.clone()))
            .expect("the name of a counter is free");
        let counters = reasons
            .iter()
            .map(|reason| family.with_label_values(&[reason]));
        Self {
            counters: counters.collect(),
        }
    }

    /// Increments the counter of the reason at `index`.
    pub fn inc(&self, index: usize) {
        self.counters[index].inc();
    }

    /// The count of the reason at `index`.
    pub fn get(&self, index: usize) -> u64 {
        self.counters[index].get()
    }
}
