//! Goodput and latency over time, by the moment at which requests were due.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::load::CallRecord;
use crate::load::latencies::quantile_ms;

/// The width of a step, fine enough for recovery times of a few hundred milliseconds.
pub const STEP_MS: u64 = 100;

/// One step of a timeline.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Step {
    pub at_ms: u64,
    pub offered: u64,
    /// Good whole requests by class, in the order of [`Timeline::classes`].
    pub good_by_class: Vec<u64>,
    /// Latencies of good whole requests.
    pub p50_ms: f64,
    pub p99_ms: f64,
}

impl Step {
    /// Good whole requests of all classes.
    pub fn good(&self) -> u64 {
        self.good_by_class.iter().sum()
    }
}

/// A run in steps of [`STEP_MS`].
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Timeline {
    pub classes: Vec<Name>,
    pub steps: Vec<Step>,
}

impl Timeline {
    /// Sorts records into steps.
    pub fn of(records: &[CallRecord], classes: &[Name], duration_ms: u64) -> Self {
        let count = duration_ms.div_ceil(STEP_MS).max(1) as usize;
        let mut steps: Vec<Step> = (0..count)
            .map(|index| empty_step(index, classes.len()))
            .collect();
        let mut latencies_us: Vec<Vec<u64>> = vec![Vec::new(); count];
        for record in records {
            let index = ((record.at_ms / STEP_MS) as usize).min(count - 1);
            steps[index].offered += 1;
            if !record.is_good() {
                continue;
            }
            latencies_us[index].push(record.latency_us);
            if let Some(class) = classes.iter().position(|name| *name == record.class) {
                steps[index].good_by_class[class] += 1;
            }
        }
        for (step, latencies_us) in steps.iter_mut().zip(&mut latencies_us) {
            step.p50_ms = quantile_ms(latencies_us, 0.5);
            step.p99_ms = quantile_ms(latencies_us, 0.99);
        }
        Self {
            classes: classes.to_vec(),
            steps,
        }
    }
}

fn empty_step(index: usize, classes: usize) -> Step {
    Step {
        at_ms: index as u64 * STEP_MS,
        good_by_class: vec![0; classes],
        ..Step::default()
    }
}
