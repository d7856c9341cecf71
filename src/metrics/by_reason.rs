//! A counter for each reason, looked up by index and not by label.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

/// One counter for each reason of a kind; every reason is listed from the start, at 0, so that
/// a first refusal shows as a rise and not as a new series.
pub struct ByReason {
    counters: Vec<IntCounter>,
}

impl ByReason {
    /// Registers a counter family with one series for each word, labelled `reason`.
    ///
    /// # Panics
    /// When the name is taken or malformed, which is a mistake in the program.
    pub fn register(registry: &Registry, name: &str, help: &str, words: &[&str]) -> Self {
        let family = IntCounterVec::new(Opts::new(name, help), &["reason"])
            .expect("the name of a counter is valid");
        registry
            .register(Box::new(family.clone()))
            .expect("the name of a counter is free");
        let counters = words.iter().map(|word| family.with_label_values(&[word]));
        Self {
            counters: counters.collect(),
        }
    }

    /// Counts one more of the reason with this place in the list.
    pub fn inc(&self, place: usize) {
        self.counters[place].inc();
    }

    /// The count so far of the reason with this place in the list.
    pub fn get(&self, place: usize) -> u64 {
        self.counters[place].get()
    }
}
