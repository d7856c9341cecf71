//! How many calls may be under way at a backend server while what it calls is the bottleneck.

use crate::core::TimeMs;

/// How often the limit is worked out anew, in milliseconds.
const SPAN_MS: u64 = 250;
/// The part of the latency objective that a run may take, in percent; the rest is for what comes
/// before and after it.
const RUN_PERCENT: u64 = 40;
/// The limit rises by at most this in one span, in percent.
const RISE_PERCENT: u64 = 150;
/// It never falls below one part in this of the limit that holds otherwise: a stall that has other
/// reasons must not shut the backend server.
const LEAST_PART: u32 = 8;
/// The weight of one call in the usual objective is one in this.
const WEIGHT: u64 = 32;

/// A limit on calls under way that keeps the time they take within their objective.
///
/// Guards against a chain that fills up: when a service deep down is the bottleneck, calls wait
/// there for each other and hold their slots in all services above, which then seem to be full as
/// well. It shows as answers that are all late though the bottleneck works at its best, and it
/// lasts long after the load has gone. By Little's law the time in the chain is the calls under way
/// divided by those that end a second; so the calls under way are held to that rate times the time
/// they may take, and what is more waits or is refused before it has cost anything.
///
/// A backend server that is slow itself needs all its slots, so the limit only falls while what it
/// calls is pressed.
#[derive(Clone, Debug)]
pub(super) struct LatencyLimit {
    limit: u32,
    since: TimeMs,
    ended: u64,
    run_us: u64,
    was_full: bool,
    objective_ms: u64,
    is_downstream_overloaded: bool,
}

impl LatencyLimit {
    pub fn new() -> Self {
        Self {
            limit: u32::MAX,
            since: TimeMs(0),
            ended: 0,
            run_us: 0,
            was_full: false,
            objective_ms: 0,
            is_downstream_overloaded: false,
        }
    }

    pub fn get(&self) -> u32 {
        self.limit
    }

    /// Says whether a service that the backend server calls is the bottleneck.
    pub fn set_downstream_overloaded(&mut self, is_overloaded: bool) {
        self.is_downstream_overloaded = is_overloaded;
    }

    /// Notes a call's latency objective as it arrives.
    pub fn note_objective(&mut self, objective_ms: u64) {
        self.objective_ms = if self.objective_ms == 0 {
            objective_ms
        } else {
            (self.objective_ms * (WEIGHT - 1) + objective_ms) / WEIGHT
        };
    }

    /// Notes that a call had to wait for room.
    pub fn note_full(&mut self) {
        self.was_full = true;
    }

    /// Notes a call that ran to its end; `cap` is the limit that holds otherwise.
    pub fn note_end(&mut self, now: TimeMs, run_us: u64, cap: u32) {
        self.ended += 1;
        self.run_us += run_us;
        let span_ms = now.since(self.since);
        if span_ms >= SPAN_MS {
            self.roll(now, span_ms, cap);
        }
    }

    fn roll(&mut self, now: TimeMs, span_ms: u64, cap: u32) {
        let mean_ms = self.run_us / self.ended.max(1) / 1_000;
        let target_ms = (self.objective_ms * RUN_PERCENT / 100).max(1);
        let in_force = self.limit.min(cap);
        if mean_ms > target_ms && self.is_downstream_overloaded {
            let by_rate = self.ended * target_ms / span_ms;
            let fallen = u32::try_from(by_rate).unwrap_or(u32::MAX);
            let least = (cap / LEAST_PART).max(1);
            self.limit = fallen.clamp(least, in_force.max(least));
        } else if self.was_full || self.limit < cap {
            let risen = u64::from(in_force) * RISE_PERCENT / 100 + 1;
            self.limit = u32::try_from(risen).unwrap_or(u32::MAX);
        }
        if self.limit >= cap {
            self.limit = u32::MAX;
        }
        self.since = now;
        self.ended = 0;
        self.run_us = 0;
        self.was_full = false;
    }
}
