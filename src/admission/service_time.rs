//! Service times of the backend server per class, as measured by the guard.

use crate::core::TimeMs;

/// The number of classes that are distinguished. Higher ones share the last index.
const CLASSES: usize = 16;
/// Weight of a new sample: one part in this.
const WEIGHT: u64 = 8;
/// An estimate is halved for every period of this length without a sample.
const HALVE_AFTER_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean_us: u64,
    updated: TimeMs,
}

/// Smoothed service times by class. Child calls are included, because a caller waits for them as
/// well.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTime {
    by_class: [Estimate; CLASSES],
}

impl ServiceTime {
    pub fn record(&mut self, class: u8, service_us: u64, now: TimeMs) {
        let estimate = &mut self.by_class[index_of(class)];
        estimate.mean_us = if estimate.mean_us == 0 {
            service_us
        } else {
            (estimate.mean_us * (WEIGHT - 1) + service_us) / WEIGHT
        };
        estimate.updated = now;
    }

    /// The shortest time in which a call of the class can be expected to be answered.
    ///
    /// It is half of the mean, because calls of one class differ. Guards against a class that is
    /// refused for good after one slow period, because no call runs any more that could lower the
    /// estimate. The estimate is therefore halved for every second without a sample.
    pub fn at_least_ms(&self, class: u8, now: TimeMs) -> u64 {
        let estimate = &self.by_class[index_of(class)];
        let halvings = now.since(estimate.updated) / HALVE_AFTER_MS;
        (estimate.mean_us / 2_000) >> halvings.min(32)
    }
}

fn index_of(class: u8) -> usize {
    usize::from(class).min(CLASSES - 1)
}
