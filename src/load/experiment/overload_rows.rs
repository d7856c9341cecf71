//! The figures of an overload experiment: one run a cell and round, and rows over rounds.

use std::fmt;
use std::fmt::Write;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::load::Audit;
use crate::load::Report;
use crate::load::experiment::Spread;
use crate::load::experiment::spread::show;

/// The share of good whole requests of a class in the surge.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClassShare {
    pub class: Name,
    pub share: f64,
}

/// One run of one cell.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OverloadRun {
    pub depth: usize,
    pub factor: f64,
    pub variant: String,
    pub round: usize,
    pub ordinary_goodput_per_s: f64,
    pub ordinary_p99_ms: f64,
    /// Whole requests due in the surge that were good, per second.
    pub surge_goodput_per_s: f64,
    pub surge_shares: Vec<ClassShare>,
    pub surge_p99_ms: f64,
    /// Runs started in the surge whose whole request was not good, of all started in it.
    pub wasted_share: f64,
    /// The same by the time that runs took.
    pub wasted_time_share: f64,
    pub recovery_ms: Option<u64>,
    pub relapsed_windows: u64,
    pub duplicates: u64,
    pub losses: u64,
    pub false_not_run: u64,
    pub wrong_answers: u64,
    pub generator_behind_p99_ms: f64,
}

impl OverloadRun {
    /// A run without figures.
    pub fn of(depth: usize, factor: f64, variant: &str, round: usize) -> Self {
        Self {
            depth,
            factor,
            variant: variant.to_owned(),
            round,
            ..Self::default()
        }
    }

    /// Takes the figures out of a report and the audit of the surge alone.
    pub fn with_figures(mut self, report: &Report, surge_audit: &Audit, surge: &str) -> Self {
        if let Some(phase) = report.phase(surge) {
            self.surge_goodput_per_s = phase.all.goodput_per_s;
            self.surge_p99_ms = phase.all.latency.p99_ms;
            let shares = phase.classes.iter().map(|row| ClassShare {
                class: row.class.clone(),
                share: row.figures.goodput_share,
            });
            self.surge_shares = shares.collect();
        }
        if let Some(recovery) = report.recovery {
            self.ordinary_goodput_per_s = recovery.ordinary_goodput_per_s;
            self.ordinary_p99_ms = recovery.ordinary_p99_ms;
            self.recovery_ms = recovery.recovery_ms;
            self.relapsed_windows = recovery.relapsed_windows;
        }
        self.wasted_share = surge_audit.wasted_share;
        self.wasted_time_share = surge_audit.wasted_time_share;
        if let Some(audit) = &report.audit {
            self.duplicates = audit.duplicates;
            self.losses = audit.losses;
            self.false_not_run = audit.false_not_run;
            self.wrong_answers = audit.wrong_answers;
        }
        self.generator_behind_p99_ms = report.generator.behind_p99_ms;
        self
    }

    fn faults(&self) -> u64 {
        self.duplicates + self.losses + self.false_not_run + self.wrong_answers
    }
}

impl fmt::Display for OverloadRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "depth {} load {}x {} round {}: goodput {:.1}/s (ordinary {:.1}/s)",
            self.depth,
            self.factor,
            self.variant,
            self.round,
            self.surge_goodput_per_s,
            self.ordinary_goodput_per_s,
        )?;
        for class in &self.surge_shares {
            write!(f, " {} {:.0}%", class.class, class.share * 100.0)?;
        }
        let recovery = self
            .recovery_ms
            .map_or_else(|| "none".into(), |recovery_ms| recovery_ms.to_string());
        write!(
            f,
            " wasted {:.1}% of runs {:.1}% of time, recovery {recovery} ms, relapsed {}, \
             duplicates {} losses {} false not_run {} wrong {}, behind {:.1} ms",
            self.wasted_share * 100.0,
            self.wasted_time_share * 100.0,
            self.relapsed_windows,
            self.duplicates,
            self.losses,
            self.false_not_run,
            self.wrong_answers,
            self.generator_behind_p99_ms,
        )
    }
}

/// A cell over all its rounds.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OverloadRow {
    pub depth: usize,
    pub factor: f64,
    pub variant: String,
    pub goodput_per_s: Option<Spread>,
    /// Goodput against the same variant at the least load of the same round.
    pub to_least_load: Option<Spread>,
    /// Goodput against the variant named `baseline` at the same load in the same round.
    pub to_baseline: Option<Spread>,
    pub class_shares: Vec<(Name, Option<Spread>)>,
    pub wasted_share: Option<Spread>,
    pub wasted_time_share: Option<Spread>,
    /// Over the rounds that recovered.
    pub recovery_ms: Option<Spread>,
    pub not_recovered: usize,
    pub relapsed_windows: u64,
    pub faults: u64,
}

/// Rows in the order of the first round.
pub fn overload_rows(runs: &[OverloadRun]) -> Vec<OverloadRow> {
    let first_round = runs.iter().filter(|run| run.round == 1);
    first_round.map(|first| row_of(first, runs)).collect()
}

fn row_of(first: &OverloadRun, runs: &[OverloadRun]) -> OverloadRow {
    let is_same = |run: &&OverloadRun| {
        run.depth == first.depth && run.factor == first.factor && run.variant == first.variant
    };
    let rounds: Vec<&OverloadRun> = runs.iter().filter(is_same).collect();
    let spread =
        |figure: &dyn Fn(&OverloadRun) -> f64| Spread::of(rounds.iter().map(|run| figure(run)));
    let share_of = |index: usize| spread(&|run| run.surge_shares[index].share);
    let classes = first.surge_shares.iter().enumerate();
    let recovered = rounds.iter().filter_map(|run| run.recovery_ms);
    OverloadRow {
        depth: first.depth,
        factor: first.factor,
        variant: first.variant.clone(),
        goodput_per_s: spread(&|run| run.surge_goodput_per_s),
        to_least_load: ratios(&rounds, |run| least_load(run, runs)),
        to_baseline: ratios(&rounds, |run| baseline(run, runs)),
        class_shares: classes
            .map(|(index, class)| (class.class.clone(), share_of(index)))
            .collect(),
        wasted_share: spread(&|run| run.wasted_share),
        wasted_time_share: spread(&|run| run.wasted_time_share),
        recovery_ms: Spread::of(recovered.map(|recovery_ms| recovery_ms as f64)),
        not_recovered: rounds
            .iter()
            .filter(|run| run.recovery_ms.is_none())
            .count(),
        relapsed_windows: rounds.iter().map(|run| run.relapsed_windows).sum(),
        faults: rounds.iter().map(|run| run.faults()).sum(),
    }
}

fn ratios<'a>(
    rounds: &[&'a OverloadRun],
    other: impl Fn(&'a OverloadRun) -> Option<&'a OverloadRun>,
) -> Option<Spread> {
    let ratio = |run: &&'a OverloadRun| {
        let other = other(run)?.surge_goodput_per_s;
        (other > 0.0).then(|| run.surge_goodput_per_s / other)
    };
    Spread::of(rounds.iter().filter_map(ratio))
}

fn least_load<'a>(run: &OverloadRun, runs: &'a [OverloadRun]) -> Option<&'a OverloadRun> {
    runs.iter()
        .filter(|other| {
            other.depth == run.depth && other.variant == run.variant && other.round == run.round
        })
        .min_by(|one, other| one.factor.total_cmp(&other.factor))
}

fn baseline<'a>(run: &OverloadRun, runs: &'a [OverloadRun]) -> Option<&'a OverloadRun> {
    runs.iter().find(|other| {
        other.variant == "baseline"
            && other.depth == run.depth
            && other.factor == run.factor
            && other.round == run.round
    })
}

/// Rows as a table for people; medians, and least and most in brackets.
pub fn render_overload(rows: &[OverloadRow]) -> String {
    let mut out = String::new();
    for row in rows {
        let _ = writeln!(
            out,
            "depth {} load {}x {}: goodput/s {}, to least load {}, to baseline {}",
            row.depth,
            row.factor,
            row.variant,
            show(row.goodput_per_s, 1),
            show(row.to_least_load, 2),
            show(row.to_baseline, 2),
        );
        for (class, share) in &row.class_shares {
            let _ = write!(out, "    {class} {}", show(*share, 2));
        }
        let _ = writeln!(
            out,
            "\n    wasted runs {}, wasted time {}, recovery ms {} ({} of the rounds never), \
             relapsed windows {}, faults {}",
            show(row.wasted_share, 3),
            show(row.wasted_time_share, 3),
            show(row.recovery_ms, 0),
            row.not_recovered,
            row.relapsed_windows,
            row.faults,
        );
    }
    out
}
