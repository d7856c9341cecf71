//! The number of calls in flight at a backend server while a service that it calls is the
//! bottleneck.

use crate::core::TimeMs;

/// How often the limit is recomputed, in milliseconds.
const SPAN_MS: u64 = 250;
/// The percentage of the latency objective that a run may take. The rest is for the time before and
/// after it.
const RUN_PERCENT: u64 = 40;
/// The factor by which the limit is raised in one span, in percent.
const RAISE_PERCENT: u64 = 150;
/// The limit never falls below the concurrency limit divided by this. A stall with another cause
/// must not shut off the backend server.
const MIN_PART: u32 = 8;
/// Weight of one call in the smoothed latency objective: one part in this.
const WEIGHT: u64 = 32;
/// Weight of one span in the usual run time: one part in this.
const USUAL_WEIGHT: u64 = 8;
/// The limit falls only while runs take longer than this percentage of their usual time. Below it
/// the time is not spent in queues, and fewer calls in flight do not shorten it.
const QUEUEING_PERCENT: u64 = 125;

/// A limit on calls in flight that keeps their run time within the latency objective.
///
/// Guards against congestion that spreads up a call chain. When a deep service is the bottleneck,
/// calls queue there and hold their slots in all services above, which then seem to be full as
/// well. All answers are late although the bottleneck works at full speed, and this lasts long
/// after the load has gone.
///
/// By Little's law the time in the chain is the number of calls in flight divided by the
/// completions per second. The calls in flight are therefore limited to that rate multiplied by the
/// time they may take. Further calls wait or are refused before any work is done for them.
///
/// A backend server that is itself slow needs all its slots, so the limit falls only while a
/// downstream service is overloaded. A downstream service that is slow without a queue needs its
/// calls as well: runs are therefore compared with the time that they take while nothing downstream
/// is overloaded. Without that, the limit of a failure domain whose deep target is slow falls to its
/// lower bound whenever that target is busy, calls queue in front of it, and the services above
/// see an overload that is not there.
#[derive(Clone, Debug)]
pub(super) struct LatencyLimit {
    limit: u32,
    since: TimeMs,
    ended: u64,
    total_run_us: u64,
    was_full: bool,
    objective_ms: u64,
    /// Run time while no downstream service is overloaded, smoothed; 0 while unknown.
    usual_run_ms: u64,
    is_downstream_overloaded: bool,
}

impl LatencyLimit {
    pub fn new() -> Self {
        Self {
            limit: u32::MAX,
            since: TimeMs(0),
            ended: 0,
            total_run_us: 0,
            was_full: false,
            objective_ms: 0,
            usual_run_ms: 0,
            is_downstream_overloaded: false,
        }
    }

    pub fn get(&self) -> u32 {
        self.limit
    }

    /// Sets whether a service that the backend server calls is the bottleneck.
    pub fn set_downstream_overloaded(&mut self, is_overloaded: bool) {
        self.is_downstream_overloaded = is_overloaded;
    }

    /// Records the latency objective of a call that arrives.
    pub fn record_objective(&mut self, objective_ms: u64) {
        self.objective_ms = if self.objective_ms == 0 {
            objective_ms
        } else {
            (self.objective_ms * (WEIGHT - 1) + objective_ms) / WEIGHT
        };
    }

    /// Records that a call had to wait for room.
    pub fn record_full(&mut self) {
        self.was_full = true;
    }

    /// Records a call that ran to its end. `cap` is the concurrency limit.
    pub fn record_end(&mut self, now: TimeMs, run_us: u64, cap: u32) {
        self.ended += 1;
        self.total_run_us += run_us;
        let span_ms = now.since(self.since);
        if span_ms >= SPAN_MS {
            self.roll(now, span_ms, cap);
        }
    }

    fn roll(&mut self, now: TimeMs, span_ms: u64, cap: u32) {
        let mean_ms = self.total_run_us / self.ended.max(1) / 1_000;
        self.record_usual_run(mean_ms, cap);
        let target_ms = self.target_run_ms();
        let in_force = self.limit.min(cap);
        if mean_ms > target_ms && self.is_downstream_overloaded {
            let by_rate = self.ended * target_ms / span_ms;
            let lowered = u32::try_from(by_rate).unwrap_or(u32::MAX);
            let floor = (cap / MIN_PART).max(1);
            self.limit = lowered.clamp(floor, in_force.max(floor));
        } else if self.was_full || self.limit < cap {
            let raised = u64::from(in_force) * RAISE_PERCENT / 100 + 1;
            self.limit = u32::try_from(raised).unwrap_or(u32::MAX);
        }
        if self.limit >= cap {
            self.limit = u32::MAX;
        }
        self.since = now;
        self.ended = 0;
        self.total_run_us = 0;
        self.was_full = false;
    }

    /// The run time that the limit aims at: the part of the objective that is left for it, or the
    /// usual run time if that is longer.
    fn target_run_ms(&self) -> u64 {
        let by_objective = self.objective_ms * RUN_PERCENT / 100;
        let by_usual = self.usual_run_ms * QUEUEING_PERCENT / 100;
        by_objective.max(by_usual).max(1)
    }

    fn record_usual_run(&mut self, mean_ms: u64, cap: u32) {
        if self.is_downstream_overloaded || self.limit < cap {
            return;
        }
        self.usual_run_ms = match self.usual_run_ms {
            0 => mean_ms,
            usual_ms => (usual_ms * (USUAL_WEIGHT - 1) + mean_ms) / USUAL_WEIGHT,
        };
    }
}
