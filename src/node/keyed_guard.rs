//! Non-idempotent calls with a key at the guard: the ledger decides before anything is queued.
//!
//! Whatever is refused here speaks of the key and not only of this attempt: `not_run` is said only
//! when the ledger says so (docs/AT_MOST_ONCE.md, "What refusals say").

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

/// The largest answer that is kept for resends, in bytes. Of a larger one they hear that it ran.
const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;
/// When to come back to a guard that has no ledger yet, in milliseconds.
const NO_LEDGER_RETRY_MS: u64 = 1_000;

/// The key under which a call runs at most once, if it is such a call.
pub(super) fn key_of(header: &CallHeader) -> Option<&Name> {
    header.key.as_ref().filter(|_| header.non_idempotent)
}

/// Speaks of a refusal that was decided before the ledger was asked: an earlier sending of the
/// same key may have run.
pub(super) fn without_ledger(header_key: Option<&Name>, refusal: Refusal) -> Refusal {
    match (header_key, refusal.run_state) {
        (Some(_), RunState::NotRun) => Refusal {
            run_state: RunState::Unknown,
            ..refusal
        },
        _ => refusal,
    }
}

/// The owner of the key's slot as this guard knows it.
pub(super) fn owner_hint(node: &Node, key: Option<&Name>) -> Option<OwnerHint> {
    let key = key?;
    let ledger = node.inputs.claims.as_ref()?.ledger()?;
    ledger.with(|ledger, now| ledger.owner_hint(now, &node.settings.node, key))
}

/// Runs a keyed call unless it ran before, runs already, or may have run elsewhere.
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
    match admitted(node, &call, &key) {
        KeyedAdmission::Run(ticket) => {
            let told = start(node, call, ticket);
            within(left, told).await?
        }
        KeyedAdmission::Join(told) => {
            node.metrics.joined_calls.inc();
            answer_of(within(left, told).await?)
        }
        KeyedAdmission::Answer(kept) => {
            node.metrics.repeated_answers.inc();
            Ok(kept_answer::answer_of(&kept))
        }
        KeyedAdmission::Refuse(refusal) => Err(refusal),
    }
}

fn admitted(node: &Node, call: &GuardedCall, key: &Name) -> KeyedAdmission {
    let Some(ledger) = ledger(node) else {
        let reason = RefusalReason::NotOwner;
        return KeyedAdmission::Refuse(Refusal::unknown(reason, NO_LEDGER_RETRY_MS));
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

/// Runs the call in a task of its own: whoever sent it may go away, and a resend then joins it.
fn start(
    node: &Arc<Node>,
    call: GuardedCall,
    ticket: RunTicket,
) -> oneshot::Receiver<Result<Answer, Refusal>> {
    let (tell, told) = oneshot::channel();
    let node = node.clone();
    tokio::spawn(async move {
        let end = admit_and_run(&node, call).await;
        ticket.settle(settled(&end));
        // The sender may have gone away; the ledger knows the outcome.
        let _ = tell.send(end);
    });
    told
}

fn settled(end: &Result<Answer, Refusal>) -> KeyedCallOutcome {
    match end {
        Ok(answer) => KeyedCallOutcome::Ran(to_kept(answer).map(Arc::new)),
        Err(refusal) => match refusal.run_state {
            RunState::NotRun => KeyedCallOutcome::NotStarted(*refusal),
            RunState::Ran => KeyedCallOutcome::Ran(None),
            RunState::Unknown => KeyedCallOutcome::MayHaveRun,
        },
    }
}

async fn within<T>(left: Duration, told: oneshot::Receiver<T>) -> Result<T, Refusal> {
    match tokio::time::timeout(left, told).await {
        Ok(Ok(word)) => Ok(word),
        Ok(Err(_)) => Err(Refusal::unknown(RefusalReason::BackendBroke, 0)),
        Err(_) => Err(Refusal::unknown(RefusalReason::DeadlineExceeded, 0)),
    }
}

fn answer_of(settled: KeyedCallOutcome) -> Result<Answer, Refusal> {
    match settled {
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
