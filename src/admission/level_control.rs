//! The lowest priority that a guard admits, worked out anew for each window.

use crate::admission::AdmissionConf;
use crate::core::Priority;
use crate::core::TimeMs;

/// Classes that are told apart; higher ones share the last place.
pub(super) const CLASSES: usize = 16;
/// Ranks of a class are counted in this many buckets.
const BUCKETS: usize = 256;
/// Bits of a rank below a bucket.
const BUCKET_BITS: u32 = 8;
/// The weight of what earlier windows offered, against one for the present one.
const MEMORY: f32 = 0.7;
/// What is admitted after overload, as a share of what was run.
const FIT: f32 = 1.0;
/// Fewer calls than this standing in the queue are chance, however slowly they are run.
const LOWER_QUEUED: usize = 3;
/// The level rises whatever they wait for while fewer than this stand in the queue.
const RAISE_QUEUED: usize = 1;
/// By which share of what is run the level is raised in a window.
const CAUTIOUS_STEP: f32 = 0.02;
/// The most by which it is raised in a window.
const LONGEST_STEP: f32 = 2.0;
/// The share of calls that were started at once from which there is room to spare.
const SPARE_SHARE: f32 = 0.9;

/// A window that has seen fewer starts lasts longer, for it says little.
const ENOUGH_STARTS: u32 = 12;
/// The longest window, in ordinary ones.
const LONGEST: u64 = 1;

/// What a window has shown.
#[derive(Clone, Copy, Debug)]
struct Window {
    standing: usize,
    at_once: u32,
    started: u32,
}

impl Window {
    const NEW: Self = Self {
        standing: usize::MAX,
        at_once: 0,
        started: 0,
    };
}

/// Counts offered calls by priority and moves the level so that what is admitted fits what can be
/// run. It falls at once to where the offered calls fit, and rises in steps that double only while
/// there is room to spare.
#[derive(Clone, Debug)]
pub(super) struct LevelControl {
    window_ms: u64,
    wait_target_ms: u64,
    since: TimeMs,
    /// Offered calls per window and bucket, smoothed.
    demand: Vec<f32>,
    fresh: Vec<f32>,
    window: Window,
    run_per_window: f32,
    /// Buckets below this index are admitted.
    open: usize,
    end: usize,
    step: f32,
}

impl LevelControl {
    pub fn new(conf: &AdmissionConf) -> Self {
        let total = CLASSES * BUCKETS;
        Self {
            window_ms: conf.window_ms,
            wait_target_ms: conf.wait_target_ms,
            since: TimeMs(0),
            demand: vec![0.0; total],
            fresh: vec![0.0; total],
            window: Window::NEW,
            run_per_window: 0.0,
            open: total,
            end: total,
            step: CAUTIOUS_STEP,
        }
    }

    /// Bounds the level by the number of classes of the preset in force.
    pub fn set_classes(&mut self, classes: usize) {
        let was_open = self.open >= self.end;
        self.end = classes.clamp(1, CLASSES) * BUCKETS;
        self.open = if was_open {
            self.end
        } else {
            self.open.min(self.end)
        };
    }

    /// The lowest priority admitted at present.
    pub fn level(&self) -> Priority {
        if self.open >= self.end {
            return Priority::LOWEST;
        }
        let first_shed = ((self.open / BUCKETS) << 16) | ((self.open % BUCKETS) << BUCKET_BITS);
        Priority((first_shed as u32).saturating_sub(1))
    }

    pub fn note_offer(&mut self, priority: Priority) {
        self.fresh[bucket(priority)] += 1.0;
    }

    pub fn note_start(&mut self, at_once: bool) {
        self.window.started += 1;
        self.window.at_once += u32::from(at_once);
    }

    /// The shortest queue seen in this window.
    pub fn standing(&self) -> usize {
        self.window.standing
    }

    /// Notes how many calls wait that the present level admits: those above it are left over from
    /// before it fell and say nothing about it. At the end of a window the level moves.
    pub fn note_queue(&mut self, now: TimeMs, queued: usize) {
        self.window.standing = self.window.standing.min(queued);
        let span_ms = now.since(self.since);
        let enough = self.window.started >= ENOUGH_STARTS || span_ms >= self.window_ms * LONGEST;
        if span_ms >= self.window_ms && enough {
            self.roll(now);
        }
    }

    fn roll(&mut self, now: TimeMs) {
        let queued = self.window.standing;
        let span = now.since(self.since) as f32 / self.window_ms as f32;
        self.since = now;
        let started = self.window.started as f32 / span;
        self.run_per_window = if queued > 0 {
            self.run_per_window * MEMORY + started * (1.0 - MEMORY)
        } else {
            self.run_per_window.max(started)
        };
        self.remember();
        let wait_ms = queued as f32 * self.window_ms as f32 / self.run_per_window.max(0.1);
        let target_ms = self.wait_target_ms as f32;
        if wait_ms > target_ms * 2.0 && queued >= LOWER_QUEUED {
            self.lower();
        } else if wait_ms < target_ms || queued < RAISE_QUEUED {
            self.raise();
        }
        self.window = Window::NEW;
    }

    fn remember(&mut self) {
        for (demand, fresh) in self.demand.iter_mut().zip(&mut self.fresh) {
            *demand = *demand * MEMORY + *fresh * (1.0 - MEMORY);
            *fresh = 0.0;
        }
    }

    fn lower(&mut self) {
        let room = self.run_per_window * FIT;
        let mut sum = 0.0;
        let mut open = 0;
        while open < self.open && sum + self.demand[open] <= room {
            sum += self.demand[open];
            open += 1;
        }
        self.open = open.max(1);
        self.step = CAUTIOUS_STEP;
    }

    fn raise(&mut self) {
        let window = &self.window;
        let spare = window.at_once as f32 >= window.started as f32 * SPARE_SHARE;
        self.step = if spare {
            (self.step * 2.0).min(LONGEST_STEP)
        } else {
            CAUTIOUS_STEP
        };
        let most_buckets = (self.step * BUCKETS as f32).max(1.0) as usize;
        let added = self.run_per_window * self.step;
        let mut sum = 0.0;
        let end = self.end.min(self.open + most_buckets);
        while self.open < end && sum <= added {
            sum += self.demand[self.open];
            self.open += 1;
        }
    }
}

fn bucket(priority: Priority) -> usize {
    let class = usize::from(priority.class()).min(CLASSES - 1);
    class * BUCKETS + usize::from(priority.rank() >> BUCKET_BITS)
}
