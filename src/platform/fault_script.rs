//! Faults in time: written beforehand as a YAML script or added while the platform runs.

use serde::Deserialize;
use serde::Serialize;

use crate::core::TimeMs;
use crate::errors::FaultScriptError;
use crate::platform::fault::AnswerLoss;
use crate::platform::fault::Fault;

/// How many faults may be planned or active at a time.
const MAX_STEPS: usize = 256;

/// A fault with its beginning and its length.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultStep {
    /// When it begins, counted from the start of the platform or from the moment it was posted.
    #[serde(default)]
    pub at_ms: u64,
    /// How long it lasts; until all faults are cleared when left out.
    #[serde(default)]
    pub for_ms: Option<u64>,
    #[serde(flatten)]
    pub fault: Fault,
}

/// All faults planned or active.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultScript {
    pub steps: Vec<FaultStep>,
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
    pub fn add(&mut self, now: TimeMs, mut step: FaultStep) -> Result<(), FaultScriptError> {
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
            effects.with(&step.fault, domain, is_write)
        })
    }
}

impl FaultStep {
    fn verify(&self) -> Result<(), FaultScriptError> {
        let share = self.fault.error_share;
        if (0.0..=1.0).contains(&share) {
            return Ok(());
        }
        Err(FaultScriptError::Share { share })
    }

    fn is_active(&self, now: TimeMs) -> bool {
        self.at_ms <= now.0 && !self.is_over(now)
    }

    fn is_over(&self, now: TimeMs) -> bool {
        let ends_at = self.for_ms.map(|for_ms| self.at_ms.saturating_add(for_ms));
        ends_at.is_some_and(|ends_at| ends_at <= now.0)
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
