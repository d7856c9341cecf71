//! Whether more calls arrive than come to their end.

use crate::core::TimeMs;

/// The span over which calls are counted, in milliseconds.
const SPAN_MS: u64 = 100;
/// The part of a span's figures that is taken over into the smoothed ones.
const WEIGHT: f32 = 0.4;
/// Between these the ratio is told; beyond, it says nothing more.
const LEAST_RATIO: f32 = 0.2;
const MOST_RATIO: f32 = 3.0;

/// Arrivals and ends of calls, counted over short spans and smoothed.
#[derive(Clone, Debug, Default)]
pub(super) struct Flow {
    since: TimeMs,
    arrived: u32,
    ended: u32,
    arriving: f32,
    ending: f32,
}

impl Flow {
    pub fn arrive(&mut self, now: TimeMs) {
        self.roll(now);
        self.arrived += 1;
    }

    pub fn end(&mut self, now: TimeMs) {
        self.roll(now);
        self.ended += 1;
    }

    /// Arrivals for each end. While calls always wait, it is the demand against the capacity.
    pub fn ratio(&self) -> f32 {
        if self.ending < 1.0 {
            return 1.0;
        }
        (self.arriving / self.ending).clamp(LEAST_RATIO, MOST_RATIO)
    }

    fn roll(&mut self, now: TimeMs) {
        let span_ms = now.since(self.since);
        if span_ms < SPAN_MS {
            return;
        }
        let spans = span_ms as f32 / SPAN_MS as f32;
        let kept = (1.0 - WEIGHT).powf(spans);
        self.arriving = self.arriving * kept + self.arrived as f32 / spans * (1.0 - kept);
        self.ending = self.ending * kept + self.ended as f32 / spans * (1.0 - kept);
        self.arrived = 0;
        self.ended = 0;
        self.since = now;
    }
}
