//! This node's statistics of one target.

use crate::core::Name;
use crate::core::TimeMs;
use crate::routing::TargetPressure;
use crate::routing::smoothed;
use crate::wire::LoadReport;

/// Consecutive failures after which a target is ejected for a while.
const EJECT_AFTER_FAILURES: u32 = 3;
/// The duration of the first ejection. It doubles with each further one.
const FIRST_EJECT_MS: u64 = 500;
/// The longest ejection.
const MAX_EJECT_MS: u64 = 8_000;
/// Weight of a new latency in the smoothed one: one part in this.
const LATENCY_SHARE: u64 = 8;
/// Weight of a new ratio of run time to the route's usual run time in the smoothed one: one part in
/// this.
const SLOWNESS_SHARE: u64 = 12;
/// Upper bound of that ratio, in thousandths.
const MAX_SLOWNESS_PERMILLE: u64 = 5_000;
/// The greatest age at which a piggybacked report counts.
const REPORT_FRESH_MS: u64 = 1_000;
/// The same for pressure, which affects more than one call.
const PRESSURE_FRESH_MS: u64 = 500;
/// The greatest age at which a reported failure rate counts, in milliseconds: about as long as the
/// target's guard counts failures ([`crate::routing::FailureRate`]).
const FAILING_FRESH_MS: u64 = 2_000;

/// Calls in flight from here, the latest report of the target, and its consecutive failures.
#[derive(Clone, Debug, Default)]
pub struct TargetStats {
    pub in_flight: u32,
    pub first_seen: TimeMs,
    /// The target's failure domain, if it is not this node's own.
    pub remote_domain: Option<Name>,
    latency_us: u64,
    /// Run time relative to what is usual for the routes, in thousandths; 0 while unknown.
    slowness_permille: u64,
    report: LoadReport,
    reported_at: TimeMs,
    failures_in_row: u32,
    ejections: u32,
    ejected_until: TimeMs,
    pressure: TargetPressure,
    pressure_at: TimeMs,
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

    /// Records the load report piggybacked on an answer. The guard measures it and not the backend
    /// server, so it is trusted while it is fresh.
    pub fn record_report(&mut self, report: LoadReport, now: TimeMs) {
        self.report = report;
        self.reported_at = now;
    }

    /// Records an answer that came after `took_ms`. The target is alive.
    pub fn record_success(&mut self, took_ms: u64) {
        self.latency_us = smoothed(self.latency_us, took_ms * 1_000, LATENCY_SHARE);
        self.failures_in_row = 0;
        self.ejections = 0;
    }

    /// Records that the target could not be reached, or was lost before it answered.
    pub fn record_failure(&mut self, now: TimeMs) {
        self.failures_in_row += 1;
        if self.failures_in_row < EJECT_AFTER_FAILURES {
            return;
        }
        let wait_ms = FIRST_EJECT_MS << self.ejections.min(8);
        self.ejected_until = now + wait_ms.min(MAX_EJECT_MS);
        self.ejections += 1;
        self.failures_in_row = 0;
    }

    /// The smoothed latency of the target's answers.
    pub fn latency_ms(&self) -> u64 {
        self.latency_us / 1_000
    }

    /// Records a call that succeeded in `took_us`, when calls of its route usually take `usual_us`.
    pub fn record_run(&mut self, took_us: u64, usual_us: u64) {
        let ratio = took_us * 1_000 / usual_us.max(1);
        let ratio = ratio.clamp(1, MAX_SLOWNESS_PERMILLE);
        self.slowness_permille = smoothed(self.slowness_permille, ratio, SLOWNESS_SHARE);
    }

    /// Run time relative to what is usual, in thousandths; `None` while unknown.
    pub fn slowness_permille(&self) -> Option<u64> {
        (self.slowness_permille > 0).then_some(self.slowness_permille)
    }

    /// Records that the target itself refused to take work. It is ejected at once for a while.
    pub fn record_unavailable(&mut self, now: TimeMs) {
        self.ejected_until = now + FIRST_EJECT_MS;
    }

    /// Whether the target is excluded from selection for now.
    pub fn is_ejected(&self, now: TimeMs) -> bool {
        now < self.ejected_until
    }

    /// The expected queueing time of a call sent now, in milliseconds. Calls beyond the limit wait
    /// for those before them, each of which takes the usual latency. `limit_hint` is as for
    /// [`Self::load_permille`].
    pub fn wait_ms(&self, limit_hint: u32, now: TimeMs) -> u64 {
        let load_permille = self.load_permille(limit_hint, now);
        load_permille.saturating_sub(1_000) * self.latency_ms() / 1_000
    }

    /// Records the pressure on the target, as reported by its guard.
    pub fn record_pressure(&mut self, pressure: TargetPressure, now: TimeMs) {
        self.pressure = pressure;
        self.pressure_at = now;
    }

    /// The pressure on the target, if its guard has reported it recently.
    pub fn pressure(&self, now: TimeMs) -> Option<TargetPressure> {
        let is_fresh =
            self.pressure_at != TimeMs(0) && now.since(self.pressure_at) <= PRESSURE_FRESH_MS;
        is_fresh.then_some(self.pressure)
    }

    /// Records the failure rate at the target, as reported by its guard.
    pub fn record_failing(&mut self, permille: u32, now: TimeMs) {
        self.failing_permille = permille;
        self.failing_at = now;
    }

    /// The failure rate at the target; 0 if its guard has not reported it recently.
    pub fn failing_permille(&self, now: TimeMs) -> u32 {
        if now.since(self.failing_at) <= FAILING_FRESH_MS {
            self.failing_permille
        } else {
            0
        }
    }

    /// Load per slot in thousandths: the larger of the calls in flight from here and the reported
    /// load. `limit_hint` is the number of slots while there is no fresh report.
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
