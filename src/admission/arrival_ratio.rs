//! The ratio of call arrivals to completions.

use crate::core::TimeMs;

/// The span over which calls are counted, in milliseconds.
const SPAN_MS: u64 = 100;
/// Weight of a new span in the smoothed figures.
const WEIGHT: f32 = 0.4;
/// Bounds of the reported ratio. Values beyond them add no information.
const MIN_RATIO: f32 = 0.2;
const MAX_RATIO: f32 = 3.0;

/// Arrivals and completions of calls, counted over short spans and smoothed.
#[derive(Clone, Debug, Default)]
pub(super) struct ArrivalRatio {
    since: TimeMs,
    arrived: u32,
    completed: u32,
    /// Smoothed over the earlier spans.
    arrivals_per_span: f32,
    completions_per_span: f32,
}

impl ArrivalRatio {
    pub fn record_arrival(&mut self, now: TimeMs) {
        self.roll(now);
        self.arrived += 1;
    }

    pub fn record_completion(&mut self, now: TimeMs) {
        self.roll(now);
        self.completed += 1;
    }

    /// Arrivals per completion. While calls are always queued, this is the ratio of demand to
    /// capacity.
    pub fn ratio(&self) -> f32 {
        if self.completions_per_span < 1.0 {
            return 1.0;
        }
        (self.arrivals_per_span / self.completions_per_span).clamp(MIN_RATIO, MAX_RATIO)
    }

    fn roll(&mut self, now: TimeMs) {
        let span_ms = now.since(self.since);
        if span_ms < SPAN_MS {
            return;
        }
        let spans = span_ms as f32 / SPAN_MS as f32;
        let kept = (1.0 - WEIGHT).powf(spans);
        self.arrivals_per_span =
            self.arrivals_per_span * kept + self.arrived as f32 / spans * (1.0 - kept);
        self.completions_per_span =
            self.completions_per_span * kept + self.completed as f32 / spans * (1.0 - kept);
        self.arrived = 0;
        self.completed = 0;
        self.since = now;
    }
}
