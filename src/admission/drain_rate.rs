//! The rate of completions, from which the Retry-After of a refusal is computed.

use crate::core::TimeMs;

/// The span over which completions are counted.
const SPAN_MS: u64 = 200;
/// Weight of a new span: one part in this.
const WEIGHT: u64 = 2;

/// Completions per second, in thousandths, smoothed over a few spans.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainRate {
    milli_per_second: u64,
    count: u64,
    since: TimeMs,
}

impl DrainRate {
    pub fn record(&mut self, now: TimeMs) {
        self.roll(now);
        self.count += 1;
    }

    /// The time in which `calls` more calls complete.
    pub fn time_for_ms(&mut self, calls: u64, now: TimeMs) -> u64 {
        self.roll(now);
        calls * 1_000_000 / self.milli_per_second.max(1_000)
    }

    fn roll(&mut self, now: TimeMs) {
        let span_ms = now.since(self.since);
        if span_ms < SPAN_MS {
            return;
        }
        let rate = self.count * 1_000_000 / span_ms;
        self.milli_per_second = (self.milli_per_second * (WEIGHT - 1) + rate) / WEIGHT;
        self.count = 0;
        self.since = now;
    }
}
