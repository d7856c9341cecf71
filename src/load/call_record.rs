//! What became of one whole request, as its caller saw it.

use crate::core::Name;

/// How one sending of a whole request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete and correct answer.
    Good,
    /// An answer with status 200 that is cut short or belongs to another request.
    Wrong,
    /// A refusal by the system, with its reason.
    Refused { reason: Name },
    /// An answer of another status without a reason of the system.
    Failed { status: u16 },
    /// The connection could not be made, or broke before the whole answer came.
    Broken,
    /// No whole answer came in time; the caller hung up.
    TimedOut,
}

/// What an answer said of whether the request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    NotRun,
    Ran,
    Unknown,
    /// No answer, or one without the header.
    Nothing,
}

/// One sending of a whole request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    pub end: AttemptEnd,
    pub told: Told,
    /// The identifier that the answer gave.
    pub request_id: Option<Name>,
    /// When a refusal asked the caller to come back.
    pub retry_after_ms: Option<u64>,
}

impl AttemptRecord {
    /// An attempt without any answer.
    pub fn without_answer(end: AttemptEnd) -> Self {
        Self {
            end,
            told: Told::Nothing,
            request_id: None,
            retry_after_ms: None,
        }
    }
}

/// One whole request with all its sendings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// The place in the trace.
    pub index: usize,
    pub class: Name,
    pub key: Option<Name>,
    /// The moment of the trace, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// How far behind its moment the generator sent it, in microseconds.
    pub behind_us: u64,
    /// From the moment of the trace to the end of the last sending, in microseconds. A generator
    /// that falls behind makes it longer, never shorter.
    pub latency_us: u64,
    pub deadline_ms: u64,
    pub attempts: Vec<AttemptRecord>,
}

impl CallRecord {
    /// How the last sending ended.
    pub fn end(&self) -> &AttemptEnd {
        &self.attempts[self.attempts.len() - 1].end
    }

    /// Whether the whole request got its complete, correct answer within its deadline.
    pub fn is_good(&self) -> bool {
        *self.end() == AttemptEnd::Good && !self.is_late()
    }

    /// Whether the end came after the deadline.
    pub fn is_late(&self) -> bool {
        self.latency_us > self.deadline_ms * 1_000
    }
}
