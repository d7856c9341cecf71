//! Stated outcomes of a replay, as written in YAML beside a trace, and their check.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::LoadError;
use crate::load::ClassFigures;
use crate::load::Report;

/// What a run must reach. What is left out is not checked.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Outcomes {
    /// The least share of good whole requests, by class.
    pub min_goodput_share: BTreeMap<String, f64>,
    /// The longest p99 of good whole requests, by class.
    pub max_p99_ms: BTreeMap<String, f64>,
    pub max_recovery_ms: Option<u64>,
    pub max_duplicates: Option<u64>,
    pub max_losses: Option<u64>,
    pub max_false_not_run: Option<u64>,
    pub max_wrong_answers: Option<u64>,
    pub max_wasted_share: Option<f64>,
}

/// An outcome that was not met.
#[derive(Clone, Debug, PartialEq)]
pub struct Unmet {
    pub outcome: String,
    pub wanted: f64,
    /// Nothing when it was not measured.
    pub measured: Option<f64>,
}

impl fmt::Display for Unmet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            outcome, wanted, ..
        } = self;
        match self.measured {
            Some(measured) => write!(f, "{outcome}: wanted {wanted}, measured {measured}"),
            None => write!(f, "{outcome}: wanted {wanted}, not measured"),
        }
    }
}

impl Outcomes {
    /// Reads outcomes.
    ///
    /// # Errors
    /// When the file cannot be read or parsed.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let text = fs::read_to_string(path).map_err(|source| LoadError::read(path, source))?;
        serde_yaml_ng::from_str(&text).map_err(|source| LoadError::Yaml {
            path: path.to_owned(),
            source,
        })
    }

    /// Every outcome that a report does not meet. What was not measured is not met.
    pub fn unmet(&self, report: &Report) -> Vec<Unmet> {
        let mut checks = Checks::default();
        for (class, wanted) in &self.min_goodput_share {
            let measured = report.class(class).map(|figures| figures.goodput_share);
            checks.at_least(format!("min_goodput_share.{class}"), *wanted, measured);
        }
        let p99_ms = |figures: &ClassFigures| figures.latency.p99_ms;
        for (class, wanted) in &self.max_p99_ms {
            let measured = report.class(class).map(p99_ms);
            checks.at_most(format!("max_p99_ms.{class}"), Some(*wanted), measured);
        }
        let recovery = report.recovery.and_then(|recovery| recovery.recovery_ms);
        checks.at_most_count("max_recovery_ms", self.max_recovery_ms, recovery);
        self.check_audit(report, &mut checks);
        checks.unmet
    }

    fn check_audit(&self, report: &Report, checks: &mut Checks) {
        let audit = report.audit.as_ref();
        let duplicates = audit.map(|audit| audit.duplicates);
        checks.at_most_count("max_duplicates", self.max_duplicates, duplicates);
        let losses = audit.map(|audit| audit.losses);
        checks.at_most_count("max_losses", self.max_losses, losses);
        let false_not_run = audit.map(|audit| audit.false_not_run);
        checks.at_most_count("max_false_not_run", self.max_false_not_run, false_not_run);
        let wrong_answers = audit.map(|audit| audit.wrong_answers);
        checks.at_most_count("max_wrong_answers", self.max_wrong_answers, wrong_answers);
        let wasted_share = audit.map(|audit| audit.wasted_share);
        checks.at_most(
            "max_wasted_share".into(),
            self.max_wasted_share,
            wasted_share,
        );
    }
}

#[derive(Default)]
struct Checks {
    unmet: Vec<Unmet>,
}

impl Checks {
    fn at_least(&mut self, outcome: String, wanted: f64, measured: Option<f64>) {
        if measured.is_none_or(|measured| measured < wanted) {
            self.unmet.push(Unmet {
                outcome,
                wanted,
                measured,
            });
        }
    }

    fn at_most(&mut self, outcome: String, wanted: Option<f64>, measured: Option<f64>) {
        let Some(wanted) = wanted else {
            return;
        };
        if measured.is_none_or(|measured| measured > wanted) {
            self.unmet.push(Unmet {
                outcome,
                wanted,
                measured,
            });
        }
    }

    fn at_most_count(&mut self, outcome: &str, wanted: Option<u64>, measured: Option<u64>) {
        let as_float = |count: u64| count as f64;
        self.at_most(outcome.into(), wanted.map(as_float), measured.map(as_float));
    }
}
