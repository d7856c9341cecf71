//! One call of a trace, written as one line of JSON.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::load::AnswerCheck;

/// A whole request at its moment. Resends are not recorded: the replaying callers decide on them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceLine {
    /// Milliseconds since the start of the run.
    pub at_ms: u64,
    pub call: Name,
    pub class: Name,
    pub method: Name,
    pub path: Name,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Name>,
    #[serde(default, skip_serializing_if = "is_zero")]
    pub body_bytes: usize,
    pub deadline_ms: u64,
    #[serde(default, skip_serializing_if = "is_echo")]
    pub answer: AnswerCheck,
}

fn is_zero(bytes: &usize) -> bool {
    *bytes == 0
}

fn is_echo(check: &AnswerCheck) -> bool {
    *check == AnswerCheck::Echo
}
