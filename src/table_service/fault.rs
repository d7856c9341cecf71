//! What can be wrong with the platform for a while.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::TimeMs;
use crate::errors::FaultScriptError;

/// Which requests a fault touches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operations {
    #[default]
    All,
    Reads,
    Writes,
}

/// How the answer of a transaction that took effect is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerLoss {
    /// The connection is broken.
    Broken,
    /// The connection stays open and nothing comes.
    Silent,
}

/// One step of a script: one or more things that are wrong at the same time.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// When it begins, counted from the start of the platform or from the moment it was posted.
    pub at_ms: u64,
    /// How long it lasts; until all faults are ended when left out.
    pub for_ms: Option<u64>,
    /// Connections are accepted and every request is answered with 503.
    pub down: bool,
    /// Connections are accepted and nothing is ever answered.
    pub hang: bool,
    /// Every request waits for so long before anything is done.
    pub slow_delay_ms: u64,
    /// Transactions take effect but their answers are lost.
    pub applied_answer_lost: Option<AnswerLoss>,
    /// The share of requests that are answered with 500 before anything is done, 0 to 1.
    pub error_share: f64,
    /// Failure domains whose requests vanish, as in a network partition.
    pub cut_off_domains: Vec<Name>,
    /// Failure domains for which the rest of this fault holds; empty for all.
    pub domains: Vec<Name>,
    /// Requests for which the rest of this fault holds.
    pub operations: Operations,
}

impl Fault {
    /// Checks the values.
    ///
    /// # Errors
    /// When the share of errors is outside 0 to 1.
    pub fn verify(&self) -> Result<(), FaultScriptError> {
        let share = self.error_share;
        if (0.0..=1.0).contains(&share) {
            return Ok(());
        }
        Err(FaultScriptError::Share { share })
    }

    /// Whether it holds at `now`.
    pub fn is_active(&self, now: TimeMs) -> bool {
        self.at_ms <= now.0 && !self.is_over(now)
    }

    /// Whether it held and never will again.
    pub fn is_over(&self, now: TimeMs) -> bool {
        let ends_at = self.for_ms.map(|for_ms| self.at_ms.saturating_add(for_ms));
        ends_at.is_some_and(|ends_at| ends_at <= now.0)
    }

    /// Whether it touches a request of this kind from this failure domain.
    pub fn touches(&self, domain: &str, is_write: bool) -> bool {
        let domain_fits = self.domains.is_empty() || contains(&self.domains, domain);
        let operation_fits = match self.operations {
            Operations::All => true,
            Operations::Reads => !is_write,
            Operations::Writes => is_write,
        };
        domain_fits && operation_fits
    }

    /// Whether requests of the failure domain vanish.
    pub fn cuts_off(&self, domain: &str) -> bool {
        contains(&self.cut_off_domains, domain)
    }
}

fn contains(names: &[Name], name: &str) -> bool {
    names.iter().any(|each| &**each == name)
}
