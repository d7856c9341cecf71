//! What goes into an admission decision and what comes out.

use crate::core::Priority;
use crate::core::Refusal;
use crate::core::TimeMs;

/// A call that asks to be run by the local backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// Names the call at this guard; never used twice.
    pub ticket: u64,
    pub priority: Priority,
    /// How deep in the chain: 0 for the caller's own call.
    pub depth: u8,
    /// The longest wait in the queue, as the preset allows it.
    pub wait_ms: u32,
    /// When the answer should be there. What is due first is started first; where that is the same
    /// for all, importance decides.
    pub due: TimeMs,
    /// When the answer is no longer of use.
    pub deadline: TimeMs,
}

/// The immediate decision about an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It counts as running from now on: send it to the backend server.
    Run,
    /// It waits; a later [`Action`] decides.
    Wait,
    /// It was not started and never will be.
    Refuse(Refusal),
}

/// A later decision about a call that had to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It counts as running from now on: send it to the backend server.
    Start(u64),
    /// It was not started and never will be.
    Refuse(u64, Refusal),
}

/// How a call that ran came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The backend server answered.
    Ok,
    /// It broke off or answered with an error of its own.
    Failed,
    /// It refused to start the call, which says that it has less room than was believed.
    Shed,
    /// The caller gave up; the time it took says nothing.
    Cancelled,
}

/// What was seen first hand of a call that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// From the hand-over to the backend server to the end of its answer, in microseconds.
    pub service_us: u64,
    /// The part of it in which calls made on its behalf were outstanding, in microseconds. It says
    /// nothing of the local backend server, so it must not lower what it is given to run.
    pub child_us: u64,
    pub outcome: CallOutcome,
}
