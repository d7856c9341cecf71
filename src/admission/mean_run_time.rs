//! The mean run time of recent calls at the backend server.

use crate::core::TimeMs;

/// The weight of a call falls to 1/e in this time, in milliseconds. Calls of different routes take
/// different times, and a mean over a few of them follows their order and not the backend server.
const TIME_CONSTANT_MS: f64 = 1_000.0;

/// A mean in which a call weighs less the older it is. Without new calls it stays as it is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MeanRunTime {
    total_us: f64,
    calls: f64,
    at: TimeMs,
}

impl MeanRunTime {
    pub fn record(&mut self, now: TimeMs, run_us: u64) {
        let elapsed_ms = now.since(self.at) as f64;
        let kept = (-elapsed_ms / TIME_CONSTANT_MS).exp();
        self.total_us = self.total_us * kept + run_us as f64;
        self.calls = self.calls * kept + 1.0;
        self.at = now;
    }

    /// The mean in microseconds; `None` before the first call.
    pub fn mean_us(&self) -> Option<u64> {
        (self.calls > 0.0).then(|| (self.total_us / self.calls) as u64)
    }
}
