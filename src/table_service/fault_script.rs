//! Faults in time: written beforehand as a YAML script or added while the platform runs.

use serde::Deserialize;
use serde::Serialize;

use crate::core::TimeMs;
use crate::errors::FaultScriptError;
use crate::table_service::fault::AnswerLoss;
use crate::table_service::fault::Fault;

/// How many faults may be planned or active at a time.
const MAX_STEPS: usize = 256;

/// All faults planned or active.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultScript {
    pub steps: Vec<Fault>,
}

/// What all active faults together do to one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Effects {
    /// Nothing is done and nothing is answered.
    pub silent: bool,
    pub down: bool,
    pub delay_ms: u64,
    pub error_share: f64,
    pub answer_loss: Option<AnswerLoss>,
}

impl FaultScript {
    /// Reads a script.
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

    /// Adds a fault whose `at_ms` counts from `now`; steps that are over make room.
    ///
    /// # Errors
    /// When the step is invalid or there are too many already.
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

    /// What the faults active at `now` do to a request.
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
        if !fault.touches(domain, is_write) {
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
