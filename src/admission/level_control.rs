//! The lowest priority that a guard admits, recomputed for each window.

use crate::admission::AdmissionConf;
use crate::core::Priority;
use crate::core::TimeMs;

/// The number of classes that are distinguished. Higher ones share the last index.
pub(super) const CLASSES: usize = 16;
/// The number of buckets in which the ranks of a class are counted.
const BUCKETS: usize = 256;
/// The number of rank bits below a bucket.
const BUCKET_BITS: u32 = 8;
/// The weight of earlier windows in the smoothed demand. The present window has the rest.
const DEMAND_MEMORY: f32 = 0.7;
/// When the level is lowered, this share of the calls that were run is admitted of the demand.
const ADMITTED_SHARE: f32 = 1.0;
/// The level is not lowered for fewer queued calls than this, however slowly they run: they can be
/// a chance burst.
const MIN_QUEUED_TO_LOWER: usize = 3;
/// The level rises while fewer calls than this are queued, however long they wait.
const MIN_QUEUED_TO_HOLD: usize = 1;
/// The share of the calls run by which the level is raised in a window.
const MIN_STEP: f32 = 0.02;
/// The largest such share.
const MAX_STEP: f32 = 2.0;
/// There is spare capacity if at least this share of calls was started without waiting.
const MIN_AT_ONCE_SHARE: f32 = 0.9;

/// A window with fewer starts holds too little data and is extended, up to [`MAX_WINDOWS`].
const MIN_STARTS: u32 = 12;
/// The longest extended window, in ordinary windows. At 1 no window is extended.
const MAX_WINDOWS: u64 = 1;

/// Figures of one window.
#[derive(Clone, Copy, Debug)]
struct Window {
    min_queued: usize,
    at_once: u32,
    started: u32,
}

impl Window {
    const NEW: Self = Self {
        min_queued: usize::MAX,
        at_once: 0,
        started: 0,
    };
}

/// Counts offered calls by priority, and moves the level so that the admitted calls fit what can be
/// run. A lower level admits fewer calls. The level falls at once to where the offered calls fit.
/// It rises in steps, which double only while there is spare capacity.
#[derive(Clone, Debug)]
pub(super) struct LevelControl {
    window_ms: u64,
    wait_target_ms: u64,
    since: TimeMs,
    /// Offered calls per window and bucket, smoothed.
    demand: Vec<f32>,
    new_demand: Vec<f32>,
    window: Window,
    run_per_window: f32,
    /// Buckets below this index are admitted.
    admitted_buckets: usize,
    /// Buckets below this index belong to a class of the preset in force.
    total_buckets: usize,
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
            new_demand: vec![0.0; total],
            window: Window::NEW,
            run_per_window: 0.0,
            admitted_buckets: total,
            total_buckets: total,
            step: MIN_STEP,
        }
    }

    /// Bounds the level by the number of classes of the preset in force.
    pub fn set_classes(&mut self, classes: usize) {
        let admitted_all = self.admitted_buckets >= self.total_buckets;
        self.total_buckets = classes.clamp(1, CLASSES) * BUCKETS;
        self.admitted_buckets = if admitted_all {
            self.total_buckets
        } else {
            self.admitted_buckets.min(self.total_buckets)
        };
    }

    /// The lowest priority admitted at present.
    pub fn level(&self) -> Priority {
        if self.admitted_buckets >= self.total_buckets {
            return Priority::LOWEST;
        }
        let first_shed = ((self.admitted_buckets / BUCKETS) << 16)
            | ((self.admitted_buckets % BUCKETS) << BUCKET_BITS);
        Priority((first_shed as u32).saturating_sub(1))
    }

    pub fn record_offer(&mut self, priority: Priority) {
        self.new_demand[bucket(priority)] += 1.0;
    }

    pub fn record_start(&mut self, at_once: bool) {
        self.window.started += 1;
        self.window.at_once += u32::from(at_once);
    }

    /// The shortest queue of this window.
    pub fn min_queued(&self) -> usize {
        self.window.min_queued
    }

    /// Records how many calls wait that the present level admits. Calls above the level are left
    /// over from before it fell and are not counted. The level is recomputed at the end of a
    /// window.
    pub fn record_queue(&mut self, now: TimeMs, queued: usize) {
        self.window.min_queued = self.window.min_queued.min(queued);
        let span_ms = now.since(self.since);
        let enough = self.window.started >= MIN_STARTS || span_ms >= self.window_ms * MAX_WINDOWS;
        if span_ms >= self.window_ms && enough {
            self.roll(now);
        }
    }

    fn roll(&mut self, now: TimeMs) {
        let queued = self.window.min_queued;
        let span = now.since(self.since) as f32 / self.window_ms as f32;
        self.since = now;
        let started = self.window.started as f32 / span;
        self.run_per_window = if queued > 0 {
            self.run_per_window * DEMAND_MEMORY + started * (1.0 - DEMAND_MEMORY)
        } else {
            self.run_per_window.max(started)
        };
        self.update_demand();
        let wait_ms = queued as f32 * self.window_ms as f32 / self.run_per_window.max(0.1);
        let target_ms = self.wait_target_ms as f32;
        if wait_ms > target_ms * 2.0 && queued >= MIN_QUEUED_TO_LOWER {
            self.lower();
        } else if wait_ms < target_ms || queued < MIN_QUEUED_TO_HOLD {
            self.raise();
        }
        self.window = Window::NEW;
    }

    fn update_demand(&mut self) {
        for (demand, new_demand) in self.demand.iter_mut().zip(&mut self.new_demand) {
            *demand = *demand * DEMAND_MEMORY + *new_demand * (1.0 - DEMAND_MEMORY);
            *new_demand = 0.0;
        }
    }

    fn lower(&mut self) {
        let room = self.run_per_window * ADMITTED_SHARE;
        let mut sum = 0.0;
        let mut admitted = 0;
        while admitted < self.admitted_buckets && sum + self.demand[admitted] <= room {
            sum += self.demand[admitted];
            admitted += 1;
        }
        self.admitted_buckets = admitted.max(1);
        self.step = MIN_STEP;
    }

    fn raise(&mut self) {
        let window = &self.window;
        let spare = window.at_once as f32 >= window.started as f32 * MIN_AT_ONCE_SHARE;
        self.step = if spare {
            (self.step * 2.0).min(MAX_STEP)
        } else {
            MIN_STEP
        };
        let most_buckets = (self.step * BUCKETS as f32).max(1.0) as usize;
        let added = self.run_per_window * self.step;
        let mut sum = 0.0;
        let end = self.total_buckets.min(self.admitted_buckets + most_buckets);
        while self.admitted_buckets < end && sum <= added {
            sum += self.demand[self.admitted_buckets];
            self.admitted_buckets += 1;
        }
    }
}

fn bucket(priority: Priority) -> usize {
    let class = usize::from(priority.class()).min(CLASSES - 1);
    class * BUCKETS + usize::from(priority.rank() >> BUCKET_BITS)
}
