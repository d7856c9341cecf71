//! Non-idempotent calls with a key at the guard. The ledger decides before a call is queued.
//!
//! A refusal here is about the key and not only about this attempt. Its outcome is `not_run` only
//! if the ledger confirmed it (docs/AT_MOST_ONCE.md, "What refusals say").

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::claims::KeyedAdmission;
use crate::claims::KeyedCall;
use crate::claims::KeyedCallOutcome;
use crate::claims::RunTicket;
use crate::claims::SharedLedger;
use crate::control::KeptAnswer;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RunState;
use crate::node::Node;
use crate::node::answer::Answer;
use crate::node::guard_run::admit_and_run;
use crate::node::guarded_call::GuardedCall;
use crate::node::kept_answer;
use crate::node::kept_answer::kept;
use crate::wire::CallHeader;
use crate::wire::OwnerHint;

/// The largest answer that is kept for resends, in bytes. A resend of a call with a larger answer
/// is refused with the outcome `ran`.
const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;
/// The retry delay when the guard has no ledger yet, in milliseconds.
const NO_LEDGER_RETRY_AFTER_MS: u64 = 1_000;

/// Returns the key of a call that may run at most once, if it is such a call.
pub(super) fn key_of(header: &CallHeader) -> Option<&Name> {
    header.key.as_ref().filter(|_| header.non_idempotent)
}

/// Replaces `not_run` by `unknown` in a refusal of a keyed call that was decided before the ledger
/// was consulted. An earlier attempt with the same key may have run.
pub(super) fn unknown_if_keyed(key: Option<&Name>, refusal: Refusal) -> Refusal {
    match (key, refusal.run_state) {
        (Some(_), RunState::NotRun) => Refusal {
            run_state: RunState::Unknown,
            ..refusal
        },
        _ => refusal,
    }
}

/// The owner of the key's slot, as known by this guard.
pub(super) fn owner_hint(node: &Node, key: Option<&Name>) -> Option<OwnerHint> {
    let key = key?;
    let ledger = node.inputs.claims.as_ref()?.ledger()?;
    ledger.with(|ledger, now| ledger.owner_hint(now, &node.settings.node, key))
}

/// Runs a keyed call unless it already ran, is running, or may have run elsewhere.
///
/// # Errors
/// The refusal to send back.
pub(super) async fn run_keyed(
    node: &Arc<Node>,
    call: GuardedCall,
    key: Name,
) -> Result<Answer, Refusal> {
    let left_ms = call.deadline.since(node.inputs.clock.now());
    let left = Duration::from_millis(left_ms);
    match admit(node, &call, &key) {
        KeyedAdmission::Run(ticket) => {
            let receiver = spawn_run(node, call, ticket);
            receive_within(left, receiver).await?
        }
        KeyedAdmission::Join(receiver) => {
            node.metrics.joined_calls.inc();
            answer_of_outcome(receive_within(left, receiver).await?)
        }
        KeyedAdmission::Answer(kept) => {
            node.metrics.repeated_answers.inc();
            Ok(kept_answer::answer_of(&kept))
        }
        KeyedAdmission::Refuse(refusal) => Err(refusal),
    }
}

fn admit(node: &Node, call: &GuardedCall, key: &Name) -> KeyedAdmission {
    let Some(ledger) = ledger(node) else {
        let reason = RefusalReason::NotOwner;
        return KeyedAdmission::Refuse(Refusal::unknown(reason, NO_LEDGER_RETRY_AFTER_MS));
    };
    ledger.begin(&KeyedCall {
        key,
        fingerprint: call.live.fingerprint,
        stamp: call.header.owner_stamp,
        first_sending: call.header.first_sending,
    })
}

fn ledger(node: &Node) -> Option<Arc<SharedLedger>> {
    node.inputs.claims.as_ref()?.ledger()
}

/// Runs the call in its own task. If the sender disconnects, a resend joins the run.
fn spawn_run(
    node: &Arc<Node>,
    call: GuardedCall,
    ticket: RunTicket,
) -> oneshot::Receiver<Result<Answer, Refusal>> {
    let (sender, receiver) = oneshot::channel();
    let node = node.clone();
    tokio::spawn(async move {
        let result = admit_and_run(&node, call).await;
        ticket.settle(outcome_of(&result));
        // The sender may have disconnected. The ledger holds the outcome.
        let _ = sender.send(result);
    });
    receiver
}

fn outcome_of(result: &Result<Answer, Refusal>) -> KeyedCallOutcome {
    match result {
        Ok(answer) => KeyedCallOutcome::Ran(to_kept(answer).map(Arc::new)),
        Err(refusal) => match refusal.run_state {
            RunState::NotRun => KeyedCallOutcome::NotStarted(*refusal),
            RunState::Ran => KeyedCallOutcome::Ran(None),
            RunState::Unknown => KeyedCallOutcome::MayHaveRun,
        },
    }
}

async fn receive_within<T>(left: Duration, receiver: oneshot::Receiver<T>) -> Result<T, Refusal> {
    match tokio::time::timeout(left, receiver).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(_)) => Err(Refusal::unknown(RefusalReason::BackendBroke, 0)),
        Err(_) => Err(Refusal::unknown(RefusalReason::DeadlineExceeded, 0)),
    }
}

fn answer_of_outcome(outcome: KeyedCallOutcome) -> Result<Answer, Refusal> {
    match outcome {
        KeyedCallOutcome::Ran(Some(kept)) => Ok(kept_answer::answer_of(&kept)),
        KeyedCallOutcome::Ran(None) => Err(Refusal {
            reason: RefusalReason::AlreadyRan,
            run_state: RunState::Ran,
            retry_after_ms: 0,
        }),
        KeyedCallOutcome::MayHaveRun => Err(Refusal::unknown(RefusalReason::AlreadyRan, 0)),
        KeyedCallOutcome::NotStarted(refusal) => Err(refusal),
    }
}

fn to_kept(answer: &Answer) -> Option<KeptAnswer> {
    kept(answer).filter(|kept| kept.body.len() <= MAX_KEPT_BODY_BYTES)
}
