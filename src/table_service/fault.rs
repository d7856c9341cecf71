//! Scripted faults of the stand-in platform.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::TimeMs;
use crate::errors::FaultScriptError;

/// Which requests a fault affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operations {
    #[default]
    All,
    Reads,
    Writes,
}

/// How the answer to a write that took effect is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerLoss {
    /// The connection is broken.
    Broken,
    /// The connection stays open and no data is sent.
    Silent,
}

/// One step of a script: one or more failures that hold at the same time.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Start time in milliseconds, relative to the start of the platform or to the time at which
    /// the fault was posted.
    pub at_ms: u64,
    /// Duration in milliseconds. If absent, the fault lasts until all faults are cleared.
    pub for_ms: Option<u64>,
    /// Connections are accepted and every request is answered with 503.
    pub down: bool,
    /// Connections are accepted, but requests are neither processed nor answered.
    pub hang: bool,
    /// Delay before each request is processed, in milliseconds.
    pub slow_delay_ms: u64,
    /// Transactions and object writes take effect, but their answers are lost.
    pub applied_answer_lost: Option<AnswerLoss>,
    /// The share of requests, 0 to 1, that are answered with 500 without being processed.
    pub error_share: f64,
    /// Failure domains whose requests are neither processed nor answered, as in a network
    /// partition.
    pub cut_off_domains: Vec<Name>,
    /// Failure domains to which the other fields of this fault apply; empty for all.
    pub domains: Vec<Name>,
    /// Requests to which the other fields of this fault apply.
    pub operations: Operations,
}

impl Fault {
    /// Checks that the values are valid.
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

    /// Whether the fault is active at `now`.
    pub fn is_active(&self, now: TimeMs) -> bool {
        self.at_ms <= now.0 && !self.is_over(now)
    }

    /// Whether the fault has ended by `now`.
    pub fn is_over(&self, now: TimeMs) -> bool {
        let ends_at = self.for_ms.map(|for_ms| self.at_ms.saturating_add(for_ms));
        ends_at.is_some_and(|ends_at| ends_at <= now.0)
    }

    /// Whether the fault affects a request of this kind from this failure domain.
    pub fn applies_to(&self, domain: &str, is_write: bool) -> bool {
        let domain_matches = self.domains.is_empty() || contains(&self.domains, domain);
        let operation_matches = match self.operations {
            Operations::All => true,
            Operations::Reads => !is_write,
            Operations::Writes => is_write,
        };
        domain_matches && operation_matches
    }

    /// Whether requests of the failure domain are neither processed nor answered.
    pub fn cuts_off(&self, domain: &str) -> bool {
        contains(&self.cut_off_domains, domain)
    }
}

fn contains(names: &[Name], name: &str) -> bool {
    names.iter().any(|each| &**each == name)
}
