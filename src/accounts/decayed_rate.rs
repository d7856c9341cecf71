//! How often something happens lately.

use crate::core::TimeMs;

/// Events a second, where each counts for less the longer it is ago.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedRate {
    per_s: f32,
    at: TimeMs,
}

impl DecayedRate {
    /// Notes that `count` events have happened by now, with this memory.
    pub fn note(&mut self, now: TimeMs, count: f32, memory_ms: f32) {
        self.per_s = self.per_s(now, memory_ms) + count * 1_000.0 / memory_ms;
        self.at = now;
    }

    /// The rate at this moment.
    pub fn per_s(&self, now: TimeMs, memory_ms: f32) -> f32 {
        self.per_s * (-(now.since(self.at) as f32) / memory_ms).exp()
    }
}
