//! Decides whether a failed attempt may be followed by another. Pure; see docs/DESIGN.md,
//! "Retries".

use crate::core::RefusalReason;
use crate::core::RetryReason;
use crate::core::RunState;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    pub reason: RefusalReason,
    pub run_state: RunState,
}

/// What is known of the call and its targets when an attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryContext {
    pub non_idempotent: bool,
    /// The whole body is still in memory, so it can be sent again.
    pub body_is_held: bool,
    /// An untried target has room, according to its recent reports.
    pub room_elsewhere: bool,
    pub deadline_left_ms: u64,
}

/// The reason for another attempt; `None` if there must be none.
///
/// If there is a reason, the caller of this function still has to charge the attempt to the
/// allotment and the budget.
pub fn retry_reason(failure: AttemptFailure, context: RetryContext) -> Option<RetryReason> {
    if !context.body_is_held || context.deadline_left_ms == 0 {
        return None;
    }
    match failure.run_state {
        RunState::Ran => None,
        RunState::Unknown => after_unknown(failure.reason, context),
        RunState::NotRun => after_not_run(failure.reason, context),
    }
}

/// An attempt that may have run is retried only if a second run does no harm.
fn after_unknown(reason: RefusalReason, context: RetryContext) -> Option<RetryReason> {
    if context.non_idempotent {
        return None;
    }
    match reason {
        RefusalReason::PeerLost => Some(RetryReason::ConnectionLost),
        RefusalReason::BackendBroke => Some(RetryReason::ConnectionLost),
        _ => None,
    }
}

fn after_not_run(reason: RefusalReason, context: RetryContext) -> Option<RetryReason> {
    match reason {
        // Under overload another attempt helps only if a target has room. Otherwise it adds to the
        // overload.
        RefusalReason::Overloaded
        | RefusalReason::ShedAtEntry
        | RefusalReason::WaitExceeded
        | RefusalReason::RateLimited
        | RefusalReason::BackendShed => context.room_elsewhere.then_some(RetryReason::NotRun),
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
