//! The usual time between events.

use crate::core::TimeMs;

/// The smoothed interval between events of one kind.
///
/// Guards against fixed time-outs that suit only busy entries. With hundreds of nodes an entry sees
/// a few requests per second, and most windows bring no report at all. When every such window
/// counted as a missing report, entries admitted everything while the deep service was full, and
/// its levels were lost again and again. Time-outs are therefore derived from the usual interval.
#[derive(Clone, Copy, Debug)]
pub(super) struct EventInterval {
    last: TimeMs,
    pub mean_ms: f32,
}

impl EventInterval {
    /// The weight of a new interval.
    const WEIGHT: f32 = 0.125;

    pub fn new(now: TimeMs) -> Self {
        Self {
            last: now,
            mean_ms: 0.0,
        }
    }

    pub fn record(&mut self, now: TimeMs) {
        let interval_ms = now.since(self.last) as f32;
        self.mean_ms += (interval_ms - self.mean_ms) * Self::WEIGHT;
        self.last = now;
    }

    pub fn since_last_ms(&self, now: TimeMs) -> f32 {
        now.since(self.last) as f32
    }
}
