//! An exponentially decaying event rate.

use crate::core::TimeMs;

/// Events per second. An event counts for less the older it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedRate {
    per_s: f32,
    at: TimeMs,
}

impl DecayedRate {
    /// Records that `count` events have happened by now. `memory_ms` is the time constant.
    pub fn record(&mut self, now: TimeMs, count: f32, memory_ms: f32) {
        self.per_s = self.per_s(now, memory_ms) + count * 1_000.0 / memory_ms;
        self.at = now;
    }

    /// The rate at this moment, with the same time constant.
    pub fn per_s(&self, now: TimeMs, memory_ms: f32) -> f32 {
        self.per_s * (-(now.since(self.at) as f32) / memory_ms).exp()
    }
}
