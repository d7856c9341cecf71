//! What this node knows first hand about one target.

use crate::core::Name;
use crate::core::TimeMs;
use crate::routing::TargetPressure;
use crate::routing::smoothed;
use crate::wire::LoadReport;

/// Failures in a row after which a target is ejected for a while.
const EJECT_AFTER_FAILURES: u32 = 3;
/// How long the first ejection lasts; it doubles with each further one.
const EJECT_FIRST_MS: u64 = 500;
/// The longest ejection.
const EJECT_LONGEST_MS: u64 = 8_000;
/// One part in this of each new latency goes into the smoothed one.
const LATENCY_SHARE: u64 = 8;
/// One part in this of each new ratio of a run's time to its route's usual one goes into the smoothed one.
const SLOWNESS_SHARE: u64 = 12;
/// A run that took more times its route's usual time than this, in thousandths, counts as this.
const MOST_SLOWNESS_PERMILLE: u64 = 5_000;
/// How old a piggybacked report may be and still count.
const REPORT_FRESH_MS: u64 = 1_000;
/// The same for pressure, which decides about more than one call.
const PRESSURE_FRESH_MS: u64 = 500;
/// How long a target's word on its failures counts, in milliseconds: about as long as its guard
/// itself remembers them.
const FAILING_FRESH_MS: u64 = 2_000;

/// Calls in flight from here, the latest report heard from the target, and its failures in a row.
#[derive(Clone, Debug, Default)]
pub struct TargetStats {
    pub in_flight: u32,
    pub first_seen: TimeMs,
    /// Its failure domain, where that is not this node's own.
    pub remote_domain: Option<Name>,
    latency_us: u64,
    /// How long its runs take, in thousandths of what runs of their routes usually take; 0 while unknown.
    slowness_permille: u64,
    report: LoadReport,
    reported_at: TimeMs,
    failures_in_row: u32,
    ejections: u32,
    ejected_until: TimeMs,
    pressure: TargetPressure,
    pressed_at: TimeMs,
    failing_permille: u32,
    failing_at: TimeMs,
}

impl TargetStats {
    /// Statistics of a target first seen at `now`.
    pub fn new(now: TimeMs) -> Self {
        Self {
            first_seen: now,
            ..Self::default()
        }
    }

    /// Takes in what an answer piggybacked. It is first-hand news of the guard, not of the
    /// backend server, so it may be believed while it is fresh.
    pub fn note_report(&mut self, report: LoadReport, now: TimeMs) {
        self.report = report;
        self.reported_at = now;
    }

    /// An answer came after `took_ms`: the target lives.
    pub fn note_success(&mut self, took_ms: u64) {
        self.latency_us = smoothed(self.latency_us, took_ms * 1_000, LATENCY_SHARE);
        self.failures_in_row = 0;
        self.ejections = 0;
    }

    /// The target could not be reached, or was lost before it answered.
    pub fn note_failure(&mut self, now: TimeMs) {
        self.failures_in_row += 1;
        if self.failures_in_row < EJECT_AFTER_FAILURES {
            return;
        }
        let wait_ms = EJECT_FIRST_MS << self.ejections.min(8);
        self.ejected_until = now + wait_ms.min(EJECT_LONGEST_MS);
        self.ejections += 1;
        self.failures_in_row = 0;
    }

    /// How long answers of the target take, smoothed.
    pub fn latency_ms(&self) -> u64 {
        self.latency_us / 1_000
    }

    /// A call ran well there and took so long, where calls of its route usually take `usual_us`.
    pub fn note_run(&mut self, took_us: u64, usual_us: u64) {
        let ratio = took_us * 1_000 / usual_us.max(1);
        let ratio = ratio.clamp(1, MOST_SLOWNESS_PERMILLE);
        self.slowness_permille = smoothed(self.slowness_permille, ratio, SLOWNESS_SHARE);
    }

    /// How long its runs take, in thousandths of what is usual; `None` while unknown.
    pub fn slowness_permille(&self) -> Option<u64> {
        (self.slowness_permille > 0).then_some(self.slowness_permille)
    }

    /// The target said itself that it takes no work: it is left out for a while at once.
    pub fn note_unavailable(&mut self, now: TimeMs) {
        self.ejected_until = now + EJECT_FIRST_MS;
    }

    /// Whether the target is left out of the choice for now.
    pub fn is_ejected(&self, now: TimeMs) -> bool {
        now < self.ejected_until
    }

    /// How long a call that is sent now may expect to wait there, in milliseconds. What is beyond the
    /// limit waits for those before it, each of which takes as long as calls usually do.
    pub fn wait_ms(&self, limit_hint: u32, now: TimeMs) -> u64 {
        let load_permille = self.load_permille(limit_hint, now);
        load_permille.saturating_sub(1_000) * self.latency_ms() / 1_000
    }

    /// Takes in how hard calls press on the target, as its guard said.
    pub fn note_pressure(&mut self, pressure: TargetPressure, now: TimeMs) {
        self.pressure = pressure;
        self.pressed_at = now;
    }

    /// How hard calls press on the target, if its guard has said so lately.
    pub fn pressure(&self, now: TimeMs) -> Option<TargetPressure> {
        let is_fresh =
            self.pressed_at != TimeMs(0) && now.since(self.pressed_at) <= PRESSURE_FRESH_MS;
        is_fresh.then_some(self.pressure)
    }

    /// Takes in which share of its calls fails at the target, as its guard said.
    pub fn note_failing(&mut self, permille: u32, now: TimeMs) {
        self.failing_permille = permille;
        self.failing_at = now;
    }

    /// Which share of its calls fails at the target; 0 where its guard has not said so lately.
    pub fn failing_permille(&self, now: TimeMs) -> u32 {
        if now.since(self.failing_at) <= FAILING_FRESH_MS {
            self.failing_permille
        } else {
            0
        }
    }

    /// Load per slot in thousandths, the larger of what is known first hand and what was reported.
    pub fn load_permille(&self, limit_hint: u32, now: TimeMs) -> u64 {
        let fresh = now.since(self.reported_at) <= REPORT_FRESH_MS && self.report.limit > 0;
        let limit = if fresh { self.report.limit } else { limit_hint };
        let reported = if fresh {
            self.report.in_flight + self.report.queued
        } else {
            0
        };
        let running = u64::from(self.in_flight.max(reported));
        running * 1_000 / u64::from(limit.max(1))
    }
}
