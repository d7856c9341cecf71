//! The figures of one class of calls over one stretch of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::load::AttemptEnd;
use crate::load::CallRecord;
use crate::load::Told;
use crate::load::latencies::histogram_of;

/// Percentiles of the latency of good whole requests, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LatencyFigures {
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub max_ms: f64,
}

/// What became of the whole requests of a class.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClassFigures {
    pub offered: u64,
    /// Complete, correct answers within the deadline.
    pub good: u64,
    /// Complete, correct answers after the deadline.
    pub late: u64,
    /// Cut short, or meant for another request.
    pub wrong: u64,
    /// By the reason of the last refusal.
    pub refused: BTreeMap<String, u64>,
    /// Answers of another status, by status.
    pub failed: BTreeMap<u16, u64>,
    /// No whole answer: the connection broke.
    pub broken: u64,
    /// No whole answer in time.
    pub timed_out: u64,
    /// Of those that are not good, the ones whose caller cannot know whether it ran.
    pub unknown: u64,
    /// Sendings beyond the first.
    pub resent: u64,
    pub goodput_per_s: f64,
    /// Good of offered.
    pub goodput_share: f64,
    pub latency: LatencyFigures,
}

impl ClassFigures {
    /// Sums up records over a stretch of `duration_ms`.
    pub fn of<'a>(records: impl Iterator<Item = &'a CallRecord>, duration_ms: u64) -> Self {
        let mut figures = Self::default();
        let mut latencies_us = Vec::new();
        for record in records {
            figures.count(record);
            if record.is_good() {
                latencies_us.push(record.latency_us);
            }
        }
        let latencies = histogram_of(latencies_us.into_iter());
        figures.goodput_per_s = per_second(figures.good, duration_ms);
        figures.goodput_share = share(figures.good, figures.offered);
        figures.latency = latency_of(&latencies);
        figures
    }

    /// All refusals together.
    pub fn refused_sum(&self) -> u64 {
        self.refused.values().sum()
    }

    fn count(&mut self, record: &CallRecord) {
        self.offered += 1;
        self.resent += record.attempts.len() as u64 - 1;
        match record.end() {
            AttemptEnd::Good if record.is_late() => self.late += 1,
            AttemptEnd::Good => self.good += 1,
            AttemptEnd::Wrong => self.wrong += 1,
            AttemptEnd::Refused { reason } => {
                *self.refused.entry(reason.to_string()).or_default() += 1;
            }
            AttemptEnd::Failed { status } => *self.failed.entry(*status).or_default() += 1,
            AttemptEnd::Broken => self.broken += 1,
            AttemptEnd::TimedOut => self.timed_out += 1,
        }
        self.unknown += u64::from(!record.is_good() && leaves_unknown(record));
    }
}

/// The caller cannot know when any sending may have run and none is known to have ended.
fn leaves_unknown(record: &CallRecord) -> bool {
    let told = |wanted| record.attempts.iter().any(|attempt| attempt.told == wanted);
    !told(Told::Ran) && (told(Told::Unknown) || told(Told::Nothing))
}

/// The rate of `count` events over a stretch.
pub fn per_second(count: u64, duration_ms: u64) -> f64 {
    if duration_ms == 0 {
        return 0.0;
    }
    count as f64 * 1_000.0 / duration_ms as f64
}

/// `part` of `whole`, 0 when there is nothing.
pub fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

fn latency_of(latencies: &Histogram<u64>) -> LatencyFigures {
    let at = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    LatencyFigures {
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        max_ms: latencies.max() as f64 / 1_000.0,
    }
}
