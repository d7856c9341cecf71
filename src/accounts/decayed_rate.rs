//! An exponentially decaying event rate.

use crate::core::TimeMs;

/// Events per second. An event counts for less the older it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedRate {
    per_s: f32,
    at: TimeMs,
}

impl DecayedRate {
    /// Records `count` events. `time_constant_ms` is the time in which their weight falls to 1/e.
    pub fn record(&mut self, now: TimeMs, count: f32, time_constant_ms: f32) {
        self.per_s = self.per_s(now, time_constant_ms) + count * 1_000.0 / time_constant_ms;
        self.at = now;
    }

    /// The rate at this moment, with the same time constant.
    pub fn per_s(&self, now: TimeMs, time_constant_ms: f32) -> f32 {
        self.per_s * (-(now.since(self.at) as f32) / time_constant_ms).exp()
    }
}
