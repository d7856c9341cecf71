//! Which share of the calls that a backend server is sent fails lately.

use crate::core::TimeMs;

/// What happened this long ago counts half, in milliseconds.
const HALF_LIFE_MS: f32 = 1_500.0;
/// With fewer calls than this remembered nothing is said: chance would say it.
const ENOUGH_CALLS: f32 = 6.0;

/// Calls and failures, both fading with time: a backend server that is left alone is forgotten to be
/// a failing one within seconds, and is tried again.
#[derive(Clone, Debug, Default)]
pub struct FailureRate {
    calls: f32,
    failed: f32,
    at: TimeMs,
}

impl FailureRate {
    /// Notes the end of a call.
    pub fn note(&mut self, now: TimeMs, has_failed: bool) {
        let kept = self.kept(now);
        self.calls = self.calls * kept + 1.0;
        self.failed = self.failed * kept + f32::from(u8::from(has_failed));
        self.at = now;
    }

    /// The share in thousandths; 0 while too little is known.
    pub fn permille(&self, now: TimeMs) -> u32 {
        if self.calls * self.kept(now) < ENOUGH_CALLS {
            return 0;
        }
        (self.failed / self.calls * 1_000.0) as u32
    }

    fn kept(&self, now: TimeMs) -> f32 {
        let age_ms = now.since(self.at) as f32;
        0.5_f32.powf(age_ms / HALF_LIFE_MS)
    }
}
