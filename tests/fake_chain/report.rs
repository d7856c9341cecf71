//! The outcome of a run.

use super::scenario::Scenario;

const BIN_MS: u64 = 100;
const SPAN_MS: u64 = 500;

/// A root request that was completed in time.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    pub at_ms: u64,
    pub first_sent_ms: u64,
    pub latency_us: u64,
    pub class: usize,
}

/// A root request that its caller abandoned.
#[derive(Clone, Copy, Debug)]
pub struct Lost {
    pub first_sent_ms: u64,
    pub class: usize,
}

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub done: Vec<Done>,
    pub lost: Vec<Lost>,
    pub work_us: u64,
    pub wasted_us: u64,
    /// Attempts that the entries admitted.
    pub entered: u64,
    /// Calls that backend servers ran.
    pub runs: u64,
    pub not_run_after_start: u64,
    pub failed_at_ms: Vec<u64>,
    pub events: u64,
}

impl Report {
    /// Completed root requests per second between two times.
    pub fn goodput(&self, from_ms: u64, to_ms: u64) -> f64 {
        let count = self.done_between(from_ms, to_ms).count();
        count as f64 * 1e3 / (to_ms - from_ms) as f64
    }

    /// Goodput of the surge without its first second.
    pub fn surge_goodput(&self, scenario: &Scenario) -> f64 {
        self.goodput(scenario.surge_from_ms + 1_000, scenario.surge_to_ms)
    }

    /// Work done for attempts that failed, in percent of all work.
    pub fn wasted_percent(&self) -> f64 {
        self.wasted_us as f64 * 100.0 / self.work_us.max(1) as f64
    }

    /// Calls that backend servers ran for attempts that failed, in percent of all that they ran.
    pub fn wasted_runs_percent(&self, scenario: &Scenario) -> f64 {
        let useful = (self.done.len() * scenario.depth) as f64;
        (self.runs as f64 - useful) * 100.0 / self.runs as f64
    }

    /// The share of lost requests among the root requests of a class that were first sent in the
    /// surge, in percent.
    pub fn lost_percent(&self, class: usize, scenario: &Scenario) -> f64 {
        let from = scenario.surge_from_ms;
        let to = scenario.surge_to_ms;
        let sent = |at: u64| (from..to).contains(&at);
        let done = self
            .done
            .iter()
            .filter(|d| d.class == class && sent(d.first_sent_ms));
        let lost = self
            .lost
            .iter()
            .filter(|l| l.class == class && sent(l.first_sent_ms));
        let lost = lost.count() as f64;
        lost * 100.0 / (done.count() as f64 + lost).max(1.0)
    }

    /// A percentile of the latency of requests completed between two times.
    pub fn latency_us(&self, percentile: usize, from_ms: u64, to_ms: u64) -> u64 {
        let mut all: Vec<u64> = self
            .done_between(from_ms, to_ms)
            .map(|d| d.latency_us)
            .collect();
        all.sort_unstable();
        let index = (all.len() * percentile / 100).min(all.len().saturating_sub(1));
        all.get(index).copied().unwrap_or(0)
    }

    /// The time from the end of the surge to the first half second in which goodput is 95% of that
    /// before the surge and the 99th percentile is at most twice the ordinary one.
    pub fn recovery_ms(&self, scenario: &Scenario) -> u64 {
        let mut at = scenario.surge_to_ms;
        while at + SPAN_MS < scenario.end_ms && !self.is_ordinary(at, scenario, 95, 2) {
            at += BIN_MS;
        }
        at - scenario.surge_to_ms
    }

    /// The number of half seconds, from two seconds after the surge on, that are degraded again.
    pub fn relapses(&self, scenario: &Scenario) -> usize {
        let from = scenario.surge_to_ms + 2_000;
        let starts = (from..scenario.end_ms - SPAN_MS).step_by(SPAN_MS as usize);
        starts
            .filter(|&at| !self.is_ordinary(at, scenario, 80, 3))
            .count()
    }

    fn is_ordinary(&self, from_ms: u64, scenario: &Scenario, percent: u64, times: u64) -> bool {
        let ordinary_p99 = self.latency_us(99, scenario.settled_ms, scenario.surge_from_ms);
        let ordinary = self.goodput(scenario.settled_ms, scenario.surge_from_ms);
        let to_ms = from_ms + SPAN_MS;
        let enough = self.goodput(from_ms, to_ms) >= ordinary * percent as f64 / 100.0;
        enough && self.latency_us(99, from_ms, to_ms) <= times * ordinary_p99
    }

    /// Attempts of root requests that failed under ordinary load, in percent of completed requests.
    pub fn ordinary_failures_percent(&self, scenario: &Scenario) -> f64 {
        let ordinary = |at: &&u64| (scenario.settled_ms..scenario.surge_from_ms).contains(*at);
        let failed = self.failed_at_ms.iter().filter(ordinary).count();
        let done = self
            .done_between(scenario.settled_ms, scenario.surge_from_ms)
            .count();
        failed as f64 * 100.0 / done.max(1) as f64
    }

    fn done_between(&self, from_ms: u64, to_ms: u64) -> impl Iterator<Item = &Done> {
        self.done
            .iter()
            .filter(move |done| (from_ms..to_ms).contains(&done.at_ms))
    }
}
