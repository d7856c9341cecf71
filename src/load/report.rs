//! The report of a run.

use serde::Deserialize;
use serde::Serialize;

use crate::backend::RunRecord;
use crate::core::Name;
use crate::load::Audit;
use crate::load::CallRecord;
use crate::load::ClassFigures;
use crate::load::PhaseSpan;
use crate::load::Recovery;
use crate::load::Timeline;
use crate::load::latencies::quantile_ms;

/// A generator that is later than this for one call in a hundred measures itself.
const BEHIND_LIMIT_MS: f64 = 10.0;

/// Whether the generator kept to its schedule.
///
/// Latencies are counted from the moment at which a call was due, so a generator that falls behind
/// makes them longer instead of hiding the wait (coordinated omission).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GeneratorFigures {
    pub behind_p50_ms: f64,
    pub behind_p99_ms: f64,
    pub behind_max_ms: f64,
    pub fell_behind: bool,
}

/// The figures of a class within a phase, or within the whole run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClassRow {
    pub class: Name,
    pub figures: ClassFigures,
}

/// The figures of a phase.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PhaseReport {
    pub span: PhaseSpan,
    pub all: ClassFigures,
    pub classes: Vec<ClassRow>,
}

/// Everything that is known of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    pub duration_ms: u64,
    pub all: ClassFigures,
    pub classes: Vec<ClassRow>,
    pub phases: Vec<PhaseReport>,
    pub recovery: Option<Recovery>,
    /// Nothing when no backend servers were asked.
    pub audit: Option<Audit>,
    pub generator: GeneratorFigures,
    pub timeline: Timeline,
}

impl Report {
    /// Makes the report of a run. `classes` gives the order; `runs` is what backend servers ran.
    pub fn of(
        records: &[CallRecord],
        phases: &[PhaseSpan],
        classes: &[Name],
        runs: Option<&[RunRecord]>,
    ) -> Self {
        let duration_ms = phases.last().map_or(0, |phase| phase.end_ms);
        Self {
            duration_ms,
            all: ClassFigures::of(records.iter(), duration_ms),
            classes: class_rows(records, classes, duration_ms, |_| true),
            phases: phases
                .iter()
                .map(|span| phase_report(records, span, classes))
                .collect(),
            recovery: Recovery::of(records, phases),
            audit: runs.map(|runs| Audit::of(records, runs)),
            generator: GeneratorFigures::of(records),
            timeline: Timeline::of(records, classes, duration_ms),
        }
    }

    /// The figures of a class over the whole run.
    pub fn class(&self, name: &str) -> Option<&ClassFigures> {
        let row = self.classes.iter().find(|row| &*row.class == name)?;
        Some(&row.figures)
    }

    /// The figures of a phase by its name.
    pub fn phase(&self, name: &str) -> Option<&PhaseReport> {
        self.phases.iter().find(|phase| &*phase.span.name == name)
    }
}

impl GeneratorFigures {
    fn of(records: &[CallRecord]) -> Self {
        let behind_us: Vec<u64> = records.iter().map(|record| record.behind_us).collect();
        let behind_p99_ms = quantile_ms(&behind_us, 0.99);
        Self {
            behind_p50_ms: quantile_ms(&behind_us, 0.5),
            behind_p99_ms,
            behind_max_ms: quantile_ms(&behind_us, 1.0),
            fell_behind: behind_p99_ms > BEHIND_LIMIT_MS,
        }
    }
}

fn phase_report(records: &[CallRecord], span: &PhaseSpan, classes: &[Name]) -> PhaseReport {
    let within = |record: &CallRecord| span.contains(record.at_ms);
    let records_within = records.iter().filter(|record| within(record));
    PhaseReport {
        span: span.clone(),
        all: ClassFigures::of(records_within, span.duration_ms()),
        classes: class_rows(records, classes, span.duration_ms(), within),
    }
}

fn class_rows(
    records: &[CallRecord],
    classes: &[Name],
    duration_ms: u64,
    within: impl Fn(&CallRecord) -> bool,
) -> Vec<ClassRow> {
    let row = |class: &Name| {
        let of_class = records
            .iter()
            .filter(|record| record.class == *class && within(record));
        ClassRow {
            class: class.clone(),
            figures: ClassFigures::of(of_class, duration_ms),
        }
    };
    classes.iter().map(row).collect()
}
