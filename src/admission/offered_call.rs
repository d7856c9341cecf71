//! Inputs and outputs of an admission decision.

use crate::core::Priority;
use crate::core::Refusal;
use crate::core::TimeMs;

/// A call that is to be run by the local backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OfferedCall {
    /// Identifies the call at this guard; never reused.
    pub ticket: u64,
    pub priority: Priority,
    /// Depth in the call chain: 0 for the caller's own call.
    pub depth: u8,
    /// The longest time that the call may wait in the queue, as set by the preset.
    pub wait_ms: u32,
    /// When the answer should be there. The call due first is started first; calls due at the same
    /// time are ordered by importance.
    pub due: TimeMs,
    /// When the answer is no longer of use.
    pub deadline: TimeMs,
}

/// The immediate decision about an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferDecision {
    /// The call counts as running from now on and must be sent to the backend server.
    Run,
    /// The call waits; a later [`Action`] decides.
    Wait,
    /// The call was not started and never will be.
    Refuse(Refusal),
}

/// A later decision about a call that had to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The call counts as running from now on and must be sent to the backend server.
    Start(u64),
    /// The call was not started and never will be.
    Refuse(u64, Refusal),
}

/// How a call that ran ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The backend server answered.
    Ok,
    /// The backend server broke off or answered with an error of its own.
    Failed,
    /// The backend server refused to start the call, so it has less room than was assumed.
    Shed,
    /// The caller gave up; the time taken is not used.
    Cancelled,
}

/// Measurements of a call that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Time from the hand-over to the backend server to the end of its answer, in microseconds.
    pub service_us: u64,
    /// The part of it in which calls made on its behalf were outstanding, in microseconds. It says
    /// nothing about the local backend server, so it must not lower the limit.
    pub child_us: u64,
    pub outcome: CallOutcome,
}
