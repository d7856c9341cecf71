//! The lowest priority that a guard admits, worked out anew for each window.

use crate::admission::AdmissionConf;
use crate::core::Priority;
use crate::core::TimeMs;

/// Classes that are told apart; higher ones share the last place.
const CLASSES: usize = 16;
/// Ranks of a class are counted in this many buckets.
const BUCKETS: usize = 64;
const TOTAL: usize = CLASSES * BUCKETS;
/// Bits of a rank below a bucket.
const BUCKET_BITS: u32 = 10;
/// The longest step by which the level rises, in buckets.
const LONGEST_STEP: usize = 2 * BUCKETS;

/// Counts offered calls by priority and moves the level so that what is admitted fits what can be
/// run. It falls at once to where the offered calls of the window fit, and rises in steps that
/// double while there is no overload.
#[derive(Clone, Debug)]
pub(super) struct LevelControl {
    window_ms: u64,
    wait_target_ms: u64,
    since: TimeMs,
    offered: Vec<u32>,
    started: u32,
    least_wait_ms: Option<u64>,
    refused: bool,
    /// Buckets below this index are admitted.
    open: usize,
    step: usize,
}

impl LevelControl {
    pub fn new(conf: &AdmissionConf) -> Self {
        Self {
            window_ms: conf.window_ms,
            wait_target_ms: conf.wait_target_ms,
            since: TimeMs(0),
            offered: vec![0; TOTAL],
            started: 0,
            least_wait_ms: None,
            refused: false,
            open: TOTAL,
            step: 1,
        }
    }

    /// The lowest priority admitted at present.
    pub fn level(&self) -> Priority {
        if self.open >= TOTAL {
            return Priority::LOWEST;
        }
        let first_shed = ((self.open / BUCKETS) << 16) | ((self.open % BUCKETS) << BUCKET_BITS);
        Priority((first_shed as u32).saturating_sub(1))
    }

    pub fn note_offer(&mut self, priority: Priority) {
        self.offered[bucket(priority)] += 1;
    }

    pub fn note_start(&mut self, waited_ms: u64) {
        self.started += 1;
        let least = self.least_wait_ms.unwrap_or(waited_ms);
        self.least_wait_ms = Some(least.min(waited_ms));
    }

    /// Notes that a call was refused for want of room.
    pub fn note_refusal(&mut self) {
        self.refused = true;
    }

    pub fn roll(&mut self, now: TimeMs, queued: usize) {
        if now.since(self.since) < self.window_ms {
            return;
        }
        let waited = self.least_wait_ms.unwrap_or(0) >= self.wait_target_ms;
        let stuck = self.started == 0 && queued > 0;
        if self.refused || waited || stuck {
            self.lower();
        } else {
            self.raise();
        }
        self.offered.fill(0);
        self.started = 0;
        self.least_wait_ms = None;
        self.refused = false;
        self.since = now;
    }

    fn lower(&mut self) {
        let room = self.started.max(1);
        let mut sum = 0;
        let mut open = 0;
        for (index, count) in self.offered.iter().enumerate() {
            sum += count;
            open = index + 1;
            if sum >= room {
                break;
            }
        }
        self.open = self.open.min(open).max(1);
        self.step = 1;
    }

    fn raise(&mut self) {
        self.open = (self.open + self.step).min(TOTAL);
        self.step = (self.step * 2).min(LONGEST_STEP);
    }
}

fn bucket(priority: Priority) -> usize {
    let class = usize::from(priority.class()).min(CLASSES - 1);
    class * BUCKETS + usize::from(priority.rank() >> BUCKET_BITS)
}
