//! How many calls the backend server is given at once, learnt first hand.

use crate::admission::AdmissionConf;
use crate::admission::Completion;
use crate::admission::Verdict;
use crate::core::TimeMs;

/// Own service time may grow to this, in percent of the floor, before the limit falls.
const TOLERANCE_PERCENT: u64 = 1_000;
/// The floor drifts up by one part in this for each window, so that it follows a backend server
/// that has become slower for good.
const FLOOR_DRIFT: u64 = 32;
/// Fewer samples than this say nothing.
const LEAST_SAMPLES: u64 = 5;

/// A limit that follows the ratio of the least own service time to the present one.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    limit: u32,
    cap: u32,
    least: u32,
    window_ms: u64,
    since: TimeMs,
    samples: u64,
    sum_us: u64,
    floor_us: u64,
    was_full: bool,
    shed: bool,
}

impl Limit {
    pub fn new(conf: &AdmissionConf) -> Self {
        Self {
            limit: conf.first_limit,
            cap: conf.most_limit,
            least: conf.least_limit,
            window_ms: conf.window_ms,
            since: TimeMs(0),
            samples: 0,
            sum_us: 0,
            floor_us: u64::MAX,
            was_full: false,
            shed: false,
        }
    }

    pub fn get(&self) -> u32 {
        self.limit
    }

    /// Caps the limit by what the backend server announces. It cannot raise the limit: that takes
    /// calls that were answered in time.
    pub fn set_cap(&mut self, cap: u32) {
        self.cap = cap.max(1);
        self.limit = self.limit.min(self.cap);
    }

    pub fn note_full(&mut self) {
        self.was_full = true;
    }

    pub fn note(&mut self, completion: &Completion, now: TimeMs) {
        match completion.verdict {
            Verdict::Ok => {
                self.samples += 1;
                self.sum_us += completion.service_us.saturating_sub(completion.child_us);
            }
            Verdict::Shed => self.shed = true,
            Verdict::Failed | Verdict::Cancelled => {}
        }
        if now.since(self.since) >= self.window_ms && (self.shed || self.samples >= LEAST_SAMPLES) {
            self.adjust();
            self.since = now;
        }
    }

    fn adjust(&mut self) {
        if self.shed {
            self.limit -= self.limit / 4;
        } else {
            self.follow_gradient();
        }
        self.limit = self.limit.max(self.least).min(self.cap);
        self.samples = 0;
        self.sum_us = 0;
        self.was_full = false;
        self.shed = false;
    }

    fn follow_gradient(&mut self) {
        let mean_us = (self.sum_us / self.samples).max(1);
        let drifted = self.floor_us.saturating_add(self.floor_us / FLOOR_DRIFT);
        self.floor_us = drifted.min(mean_us);
        let ratio_percent = self.floor_us * TOLERANCE_PERCENT / mean_us;
        if ratio_percent < 100 {
            let lowered = u64::from(self.limit) * ratio_percent.max(50) / 100;
            self.limit = lowered as u32;
        } else if self.was_full {
            self.limit += (self.limit / 4).max(1);
        }
    }
}
