//! Exponential smoothing of a measured figure.

use crate::core::TimeMs;

/// The time constant, in milliseconds. Calls arrive and end by chance, and a figure of one tick
/// shows that chance more than the load. This one removes as much of it as a mean over 1 s, with
/// the same delay of half a second.
const TIME_CONSTANT_MS: f32 = 500.0;

/// A figure smoothed over about 1 s.
#[derive(Clone, Copy, Debug)]
pub(super) struct SmoothedValue {
    value: f32,
    at: TimeMs,
}

impl SmoothedValue {
    pub fn new(now: TimeMs, value: f32) -> Self {
        Self { value, at: now }
    }

    /// Records a sample that stands for the time since the one before.
    pub fn record(&mut self, now: TimeMs, sample: f32) {
        let elapsed_ms = now.since(self.at) as f32;
        let weight = 1.0 - (-elapsed_ms / TIME_CONSTANT_MS).exp();
        self.value += (sample - self.value) * weight;
        self.at = now;
    }

    /// Records a number of events since the sample before, as a rate per second.
    pub fn record_events(&mut self, now: TimeMs, events: u32) {
        let elapsed_ms = now.since(self.at);
        if elapsed_ms > 0 {
            self.record(now, events as f32 * 1_000.0 / elapsed_ms as f32);
        }
    }

    pub fn get(&self) -> f32 {
        self.value
    }
}
