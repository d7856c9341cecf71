//! One kind of call in the mix of a plan.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// What the caller expects of an answer besides status 200 and a complete body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerCheck {
    /// The JSON of the answer repeats the path, query and key of this very request.
    #[default]
    Echo,
    /// The body repeats the path and query of this very request, a line each, to its end.
    Archive,
    /// Only the announced length counts.
    Length,
}

/// A kind of call, with its share of the mix.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallKind {
    pub name: Name,
    /// The class under which the report counts it; the preset in force decides for the system.
    pub class: Name,
    #[serde(default = "default_method")]
    pub method: Name,
    /// `/<service>/<path>` as callers send it.
    pub path: Name,
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Whether the call carries an `Idempotency-Key` and may run at most once.
    #[serde(default)]
    pub non_idempotent: bool,
    #[serde(default)]
    pub body_bytes: usize,
    pub deadline_ms: u64,
    #[serde(default)]
    pub answer: AnswerCheck,
}

fn default_method() -> Name {
    "GET".into()
}

fn default_weight() -> f64 {
    1.0
}
