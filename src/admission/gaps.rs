//! How far apart events usually are.

use crate::core::TimeMs;

/// The usual time between events of one kind.
///
/// Guards against figures that hold for busy entries only. At hundreds of nodes an entry sees a few requests
/// in a second, and in most windows not one report comes back; taken for silence that let everything in
/// just when the deep service was full, and each of its levels was forgotten again and again. It holds because what
/// counts as silence follows from what is usual here.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gaps {
    last: TimeMs,
    pub usual_ms: f32,
}

impl Gaps {
    /// The weight of a new gap.
    const WEIGHT: f32 = 0.125;

    pub fn new(now: TimeMs) -> Self {
        Self {
            last: now,
            usual_ms: 0.0,
        }
    }

    pub fn note(&mut self, now: TimeMs) {
        let gap_ms = now.since(self.last) as f32;
        self.usual_ms += (gap_ms - self.usual_ms) * Self::WEIGHT;
        self.last = now;
    }

    pub fn since_last_ms(&self, now: TimeMs) -> f32 {
        now.since(self.last) as f32
    }
}
