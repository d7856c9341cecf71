//! A plan: phases of load and the mix of calls, as written in YAML.

use std::fs;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::errors::LoadError;
use crate::errors::PlanProblem;
use crate::load::CallKind;
use crate::load::Phase;
use crate::load::ResendPolicy;

/// What callers do over the whole run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The same seed and plan give the same trace.
    #[serde(default)]
    pub seed: u64,
    pub phases: Vec<Phase>,
    pub calls: Vec<CallKind>,
    #[serde(default)]
    pub resend: ResendPolicy,
}

impl Plan {
    /// Reads and checks a plan.
    ///
    /// # Errors
    /// When the file cannot be read or parsed, or when values make no sense: all problems at once.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let text = fs::read_to_string(path).map_err(|source| LoadError::read(path, source))?;
        let plan: Self = serde_yaml_ng::from_str(&text).map_err(|source| LoadError::Yaml {
            path: path.to_owned(),
            source,
        })?;
        plan.check().map_err(|problems| LoadError::Plan {
            path: path.to_owned(),
            problems,
        })?;
        Ok(plan)
    }

    /// Checks the plan as a whole.
    ///
    /// # Errors
    /// Every problem, not the first alone.
    pub fn check(&self) -> Result<(), Vec<PlanProblem>> {
        let mut problems = Vec::new();
        if self.phases.is_empty() {
            problems.push(PlanProblem::Empty { field: "phases" });
        }
        if self.calls.is_empty() {
            problems.push(PlanProblem::Empty { field: "calls" });
        }
        for (index, phase) in self.phases.iter().enumerate() {
            check_phase(index, phase, &mut problems);
        }
        for (index, kind) in self.calls.iter().enumerate() {
            check_kind(index, kind, &mut problems);
        }
        if problems.is_empty() {
            return Ok(());
        }
        Err(problems)
    }

    /// The classes in the order in which the calls name them.
    pub fn classes(&self) -> Vec<Name> {
        let mut classes: Vec<Name> = Vec::new();
        for kind in &self.calls {
            if !classes.contains(&kind.class) {
                classes.push(kind.class.clone());
            }
        }
        classes
    }
}

fn check_phase(index: usize, phase: &Phase, problems: &mut Vec<PlanProblem>) {
    let mut expect_positive = |field: &str, value: f64| {
        if !(value.is_finite() && value > 0.0) {
            let field = format!("phases[{index}].{field}");
            problems.push(PlanProblem::NotPositive { field, value });
        }
    };
    expect_positive("duration_ms", phase.duration_ms as f64);
    expect_positive("rate_per_s", phase.rate_per_s);
    if let Some(rate) = phase.end_rate_per_s {
        expect_positive("end_rate_per_s", rate);
    }
}

fn check_kind(index: usize, kind: &CallKind, problems: &mut Vec<PlanProblem>) {
    if !(kind.weight.is_finite() && kind.weight > 0.0) {
        let field = format!("calls[{index}].weight");
        let value = kind.weight;
        problems.push(PlanProblem::NotPositive { field, value });
    }
    if kind.deadline_ms == 0 {
        let field = format!("calls[{index}].deadline_ms");
        problems.push(PlanProblem::NotPositive { field, value: 0.0 });
    }
    if http::Method::from_bytes(kind.method.as_bytes()).is_err() {
        let field = format!("calls[{index}].method");
        let value = kind.method.clone();
        problems.push(PlanProblem::Method { field, value });
    }
    let names_service = kind
        .path
        .strip_prefix('/')
        .is_some_and(|rest| !rest.is_empty());
    if !names_service || kind.path.parse::<http::Uri>().is_err() {
        let field = format!("calls[{index}].path");
        let value = kind.path.clone();
        problems.push(PlanProblem::Path { field, value });
    }
}
