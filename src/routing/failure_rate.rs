//! The share of calls to a backend server that failed recently.

use crate::core::TimeMs;

/// Half-life of recorded calls, in milliseconds.
const HALF_LIFE_MS: f32 = 1_500.0;
/// With fewer remembered calls than this the rate is not reported, because chance would dominate
/// it.
const MIN_CALLS: f32 = 6.0;

/// Calls and failures, both decaying with time. A backend server that gets no calls stops counting
/// as a failing one within seconds, and is tried again.
#[derive(Clone, Debug, Default)]
pub struct FailureRate {
    calls: f32,
    failed: f32,
    at: TimeMs,
}

impl FailureRate {
    /// Records the end of a call.
    pub fn record(&mut self, now: TimeMs, has_failed: bool) {
        let kept = self.kept(now);
        self.calls = self.calls * kept + 1.0;
        self.failed = self.failed * kept + f32::from(u8::from(has_failed));
        self.at = now;
    }

    /// The failure rate in thousandths; 0 while there are too few calls.
    pub fn permille(&self, now: TimeMs) -> u32 {
        if self.calls * self.kept(now) < MIN_CALLS {
            return 0;
        }
        (self.failed / self.calls * 1_000.0) as u32
    }

    fn kept(&self, now: TimeMs) -> f32 {
        let age_ms = now.since(self.at) as f32;
        0.5_f32.powf(age_ms / HALF_LIFE_MS)
    }
}
