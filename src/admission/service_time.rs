//! How long the backend server takes, learnt first hand for each class.

use crate::core::TimeMs;

/// Classes that are told apart; higher ones share the last place.
const CLASSES: usize = 16;
/// The weight of a new sample is one in this.
const WEIGHT: u64 = 8;
/// After this long without a sample an estimate is halved.
const FORGET_AFTER_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean_us: u64,
    updated: TimeMs,
}

/// Smoothed service times by class, children included: a caller waits for those as well.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTime {
    by_class: [Estimate; CLASSES],
}

impl ServiceTime {
    pub fn note(&mut self, class: u8, service_us: u64, now: TimeMs) {
        let estimate = &mut self.by_class[place(class)];
        estimate.mean_us = if estimate.mean_us == 0 {
            service_us
        } else {
            (estimate.mean_us * (WEIGHT - 1) + service_us) / WEIGHT
        };
        estimate.updated = now;
    }

    /// The shortest time in which a call of the class may hope to be answered.
    ///
    /// It is half of the mean, for calls of one class differ. Guards against a class that is
    /// refused for good after one slow spell, because nothing runs any more from which a shorter
    /// time could be learnt: the estimate is halved for every second without a sample.
    pub fn at_least_ms(&self, class: u8, now: TimeMs) -> u64 {
        let estimate = &self.by_class[place(class)];
        let idle_seconds = now.since(estimate.updated) / FORGET_AFTER_MS;
        (estimate.mean_us / 2_000) >> idle_seconds.min(32)
    }
}

fn place(class: u8) -> usize {
    usize::from(class).min(CLASSES - 1)
}
