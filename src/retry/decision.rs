//! Whether a failed attempt may be followed by another. Pure; see docs/DESIGN.md, "Retries".

use crate::core::RefusalReason;
use crate::core::RetryReason;
use crate::core::RunState;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    pub reason: RefusalReason,
    pub run_state: RunState,
}

/// What is known of the call and of the targets when an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryContext {
    pub non_idempotent: bool,
    /// The body is still held whole, so it can be sent again.
    pub body_is_held: bool,
    /// A target that was not tried yet has room, as far as its fresh reports say.
    pub room_elsewhere: bool,
    pub deadline_left_ms: u64,
}

/// The reason for another attempt, or none when there must be no other.
///
/// The caller then has to take it out of the allotment and the budget.
pub fn retry_reason(failure: AttemptFailure, situation: RetryContext) -> Option<RetryReason> {
    if !situation.body_is_held || situation.deadline_left_ms == 0 {
        return None;
    }
    match failure.run_state {
        RunState::Ran => None,
        RunState::Unknown => after_unknown(failure.reason, situation),
        RunState::NotRun => after_not_run(failure.reason, situation),
    }
}

/// An attempt that may have run is repeated only when a second run does no harm.
fn after_unknown(reason: RefusalReason, situation: RetryContext) -> Option<RetryReason> {
    if situation.non_idempotent {
        return None;
    }
    match reason {
        RefusalReason::PeerLost => Some(RetryReason::ConnectionLost),
        RefusalReason::BackendBroke => Some(RetryReason::ConnectionLost),
        _ => None,
    }
}

fn after_not_run(reason: RefusalReason, situation: RetryContext) -> Option<RetryReason> {
    match reason {
        // Overload: another attempt helps only where there is room, else it feeds the overload.
        RefusalReason::Overloaded
        | RefusalReason::ShedAtEntry
        | RefusalReason::WaitExceeded
        | RefusalReason::RateLimited
        | RefusalReason::BackendShed => situation.room_elsewhere.then_some(RetryReason::NotRun),
        RefusalReason::PeerLost => Some(RetryReason::Unreachable),
        RefusalReason::NotOwner => Some(RetryReason::OwnerMoved),
        RefusalReason::Revoked => Some(RetryReason::SilentConnection),
        RefusalReason::Draining
        | RefusalReason::BackendDown
        | RefusalReason::BackendReplaced
        | RefusalReason::NoTarget
        | RefusalReason::PeerVersion => Some(RetryReason::NotRun),
        _ => None,
    }
}
