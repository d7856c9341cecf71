//! The schedule of faults, read from a YAML script or extended while the platform runs.

use serde::Deserialize;
use serde::Serialize;

use crate::core::TimeMs;
use crate::errors::FaultScriptError;
use crate::table_service::fault::AnswerLoss;
use crate::table_service::fault::Fault;

/// How many faults may be scheduled or active at a time.
const MAX_STEPS: usize = 256;

/// All scheduled and active faults.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultScript {
    pub steps: Vec<Fault>,
}

/// The combined effect of all active faults on one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Effects {
    /// The request is neither processed nor answered.
    pub silent: bool,
    pub down: bool,
    pub delay_ms: u64,
    pub error_share: f64,
    pub answer_loss: Option<AnswerLoss>,
}

impl FaultScript {
    /// Parses a script.
    ///
    /// # Errors
    /// When it is not valid YAML, has unknown fields or a share outside 0 to 1.
    pub fn from_yaml(text: &str) -> Result<Self, FaultScriptError> {
        let script: Self = serde_yaml_ng::from_str(text)?;
        for step in &script.steps {
            step.verify()?;
        }
        Ok(script)
    }

    /// Adds a fault whose `at_ms` is relative to `now`. Steps that have ended are removed first.
    ///
    /// # Errors
    /// When the step is invalid or the script is full.
    pub fn add(&mut self, now: TimeMs, mut step: Fault) -> Result<(), FaultScriptError> {
        step.verify()?;
        self.steps.retain(|each| !each.is_over(now));
        if self.steps.len() >= MAX_STEPS {
            return Err(FaultScriptError::TooMany { limit: MAX_STEPS });
        }
        step.at_ms = step.at_ms.saturating_add(now.0);
        self.steps.push(step);
        Ok(())
    }

    /// The combined effect of the faults active at `now` on a request.
    pub fn effects(&self, now: TimeMs, domain: &str, is_write: bool) -> Effects {
        let active = self.steps.iter().filter(|step| step.is_active(now));
        active.fold(Effects::default(), |effects, step| {
            effects.with(step, domain, is_write)
        })
    }
}

impl Effects {
    fn with(self, fault: &Fault, domain: &str, is_write: bool) -> Self {
        let cut_off = fault.cuts_off(domain);
        if !fault.applies_to(domain, is_write) {
            return Self {
                silent: self.silent || cut_off,
                ..self
            };
        }
        Self {
            silent: self.silent || cut_off || fault.hang,
            down: self.down || fault.down,
            delay_ms: self.delay_ms.saturating_add(fault.slow_delay_ms),
            error_share: 1.0 - (1.0 - self.error_share) * (1.0 - fault.error_share),
            answer_loss: self.answer_loss.or(fault.applied_answer_lost),
        }
    }
}
