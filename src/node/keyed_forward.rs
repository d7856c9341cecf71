//! Forwards a non-idempotent call with a key. It always goes to the owner of the key's slot.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::claims::ResendLimits;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RetryReason;
use crate::core::RunState;
use crate::core::Target;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::core::View;
use crate::node::Node;
use crate::node::answer::Answer;
use crate::node::body::NodeBody;
use crate::node::call::Call;
use crate::node::forward::attempt;
use crate::node::forward::choose;
use crate::node::peer_call::AttemptEnd;
use crate::routing::OwnerSearch;
use crate::wire::OwnerHint;

/// The maximum number of redirects of a call. A redirected attempt never reaches a backend server,
/// so it is no retry and is not charged to the allotment.
const MAX_REDIRECTS: u32 = 10;
/// The maximum number of probes for the owner, made before a body is sent that cannot be sent
/// twice.
const MAX_PROBES: u32 = 3;
/// The number of redirects that are followed without a delay. Further ones mean that two guards
/// redirect the call to each other: the former owner has read the row that names the next owner,
/// and the next owner has not read it yet. Without a delay all redirects would be used up within
/// milliseconds, and the call would be refused during a planned stop. The delay gives the next
/// owner time to read the row.
const IMMEDIATE_REDIRECTS: u32 = 2;
/// The first delay before the owner is tried again while its slot is handed over, in milliseconds.
/// It doubles with each redirect up to the maximum.
const REDIRECT_WAIT_MS: u64 = 50;
const MAX_REDIRECT_WAIT_MS: u64 = 400;
/// The minimum retry delay when the owner is not found, in milliseconds.
const NO_OWNER_RETRY_AFTER_MS: u64 = 1_000;

/// The forwarding state of a keyed call.
#[derive(Default)]
struct Progress {
    redirects: u32,
    /// An attempt may still be in flight, and later answers of a guard do not cover it.
    may_be_in_flight: bool,
    search: OwnerSearch,
}

/// Forwards a keyed call until it is answered or no further attempt is allowed.
///
/// # Errors
/// The refusal to return to the caller. Its outcome is `not_run` only if the owner's ledger
/// confirmed it.
pub(super) async fn forward_keyed(
    node: &Arc<Node>,
    call: &mut Call,
    key: Name,
) -> Result<Answer, Refusal> {
    let claims = node.inputs.claims.as_ref();
    let now = node.inputs.clock.now();
    // A call that waited in the receive buffer while this process was paused may have run since, by
    // a resend through another entry.
    if claims.is_some_and(|claims| claims.may_predate_pause(now)) {
        return Err(unknown_refusal(RefusalReason::StaleAttempt));
    }
    let attempts_until = call.arrived_at + send_window_ms(node);
    node.targets.record_first_attempt(&call.service);
    let mut progress = Progress::default();
    if !call.body_is_held {
        probe_owner(node, call, &key).await;
    }
    loop {
        let Some(target) = owner_or_any(node, call, &key, &mut progress.search) else {
            return Err(unknown_refusal(RefusalReason::NoTarget));
        };
        let (refusal, again) = match attempt(node, call, &target).await {
            AttemptEnd::Answered(answer, header) => {
                record_owner(node, call, &key, header.owner);
                return Ok(answer);
            }
            AttemptEnd::Refused(refusal, Some(header)) => {
                let again = redirect(node, call, &key, &target, refusal, header.owner);
                let qualified = qualify_refusal(refusal, &progress);
                (
                    qualified,
                    follow_redirect(again, &target, &mut progress).await,
                )
            }
            AttemptEnd::Refused(refusal, None) => {
                let again = retry_after_loss(node, call, &key, &target, refusal, &mut progress);
                (unknown_unless_ran(refusal), again)
            }
        };
        let may_send =
            call.body_is_held && node.inputs.clock.now() < attempts_until.min(call.deadline);
        let Some(reason) = again.filter(|_| may_send) else {
            return Err(refusal);
        };
        node.metrics.count_retry(reason);
        log::debug!(
            "entry: tries again, request={} after={} reason={}",
            call.request,
            refusal.reason.as_str(),
            reason.as_str(),
        );
    }
}

/// For how long after its arrival attempts of a call may be sent, in milliseconds.
fn send_window_ms(node: &Node) -> u64 {
    let in_force = node.inputs.in_force.load();
    let known = in_force.as_ref().as_ref();
    let window_ms = known.map_or(0, |known| known.preset.resend_window_ms);
    ResendLimits::new(window_ms).attempt_window_ms()
}

/// Where to send a call again.
enum Redirect {
    /// The owner is known, or returned its stamp.
    Known(RetryReason),
    /// The target does not know the owner at present, since the slot is being handed over.
    NoOwner,
}

/// Decides from a guard's refusal where to send the call again.
fn redirect(
    node: &Node,
    call: &Call,
    key: &Name,
    target: &Target,
    refusal: Refusal,
    owner: Option<OwnerHint>,
) -> Option<Redirect> {
    let elsewhere = owner
        .as_ref()
        .is_some_and(|owner| owner.node != target.node);
    record_owner(node, call, key, owner);
    match refusal.reason {
        RefusalReason::StaleAttempt => Some(Redirect::Known(RetryReason::StampRenewed)),
        RefusalReason::NotOwner if elsewhere => Some(Redirect::Known(RetryReason::OwnerMoved)),
        RefusalReason::NotOwner => {
            node.slot_router().forget(&call.service, key);
            Some(Redirect::NoOwner)
        }
        _ => None,
    }
}

async fn follow_redirect(
    redirect: Option<Redirect>,
    target: &Target,
    progress: &mut Progress,
) -> Option<RetryReason> {
    progress.redirects += 1;
    if progress.redirects > MAX_REDIRECTS {
        return None;
    }
    match redirect? {
        Redirect::Known(reason) => {
            let delayed = progress.redirects.saturating_sub(IMMEDIATE_REDIRECTS);
            if reason == RetryReason::OwnerMoved && delayed > 0 {
                wait_for_owner(delayed - 1).await;
            }
            Some(reason)
        }
        Redirect::NoOwner => {
            progress.search.record_without_owner(target.node.clone());
            wait_for_owner(progress.redirects).await;
            Some(RetryReason::OwnerMoved)
        }
    }
}

/// Waits for a slot to be handed over, with an exponentially growing delay.
async fn wait_for_owner(times_before: u32) {
    let wait_ms = REDIRECT_WAIT_MS << times_before.min(8);
    let wait_ms = wait_ms.min(MAX_REDIRECT_WAIT_MS);
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
}

/// Decides whether to retry after a lost attempt. The owner may get the call once more, since its
/// ledger joins it to the running call or repeats the answer. No other target may run the call in
/// place of an unreachable owner.
fn retry_after_loss(
    node: &Node,
    call: &mut Call,
    key: &Name,
    target: &Target,
    refusal: Refusal,
    progress: &mut Progress,
) -> Option<RetryReason> {
    let first_loss = !progress.may_be_in_flight;
    progress.may_be_in_flight |= refusal.run_state != RunState::NotRun;
    call.first_sending &= !progress.may_be_in_flight;
    let reason = match (refusal.reason, refusal.run_state) {
        // Never seen and revoked: the attempt is not in flight, and the owner is not excluded.
        (RefusalReason::Revoked, RunState::NotRun) => RetryReason::SilentConnection,
        (RefusalReason::PeerLost, RunState::NotRun) => {
            node.slot_router().forget(&call.service, key);
            progress.search.record_unreachable(target.node.clone());
            RetryReason::Unreachable
        }
        (RefusalReason::PeerLost, _) if first_loss => RetryReason::ConnectionLost,
        _ => return None,
    };
    let paid = call.allotment_holder.spend() && node.targets.try_retry(&call.service);
    paid.then_some(reason)
}

/// Selects the owner if it is known, otherwise any target, whose guard returns the owner.
fn owner_or_any(
    node: &Node,
    call: &mut Call,
    key: &Name,
    search: &mut OwnerSearch,
) -> Option<Arc<Target>> {
    let hint = node.slot_router().route(&call.service, key);
    call.owner_stamp = hint.as_ref().map_or(0, |hint| hint.stamp);
    let Some(hint) = hint else {
        return choose(node, call, &search.tried()).or_else(|| choose(node, call, &[]));
    };
    if !search.may_be_owner(&hint.node) {
        return None;
    }
    let view = node.inputs.view.load();
    let target = view.nodes.get(&hint.node).cloned();
    match target.filter(|target| is_reachable(&view, target)) {
        Some(target) => {
            let now: TimeMs = node.inputs.clock.now();
            node.targets.enter(&target.node, now);
            Some(target)
        }
        None => {
            // Another guard may return a new owner after a take-over. If it names the same owner,
            // the search ends.
            node.slot_router().forget(&call.service, key);
            search.record_unreachable(hint.node);
            choose(node, call, &search.tried())
        }
    }
}

/// Whether the owner is reachable according to membership. Waiting for an unreachable one would
/// only delay the refusal.
fn is_reachable(view: &View, target: &Target) -> bool {
    let is_gone = matches!(target.state, TargetState::Dead | TargetState::Left);
    !is_gone && !view.cut_off_domains.contains(&target.domain)
}

/// Finds the owner and its stamp before a streamed body is sent, which can be sent only once. The
/// probe has neither body nor stamp, so no guard starts it.
async fn probe_owner(node: &Arc<Node>, call: &mut Call, key: &Name) {
    let empty = NodeBody::Held(Bytes::new());
    let body = std::mem::replace(&mut call.body, empty);
    for _ in 0..MAX_PROBES {
        let Some(target) = owner_or_any(node, call, key, &mut OwnerSearch::default()) else {
            break;
        };
        call.owner_stamp = 0;
        let header = match attempt(node, call, &target).await {
            AttemptEnd::Answered(_, header) => Some(header),
            AttemptEnd::Refused(_, header) => header,
        };
        let owner = header.and_then(|header| header.owner);
        let found = owner.as_ref().is_some_and(|owner| owner.stamp != 0);
        record_owner(node, call, key, owner);
        if found {
            break;
        }
    }
    call.body = body;
}

fn record_owner(node: &Node, call: &Call, key: &Name, owner: Option<OwnerHint>) {
    if let Some(owner) = owner {
        node.slot_router().learn(&call.service, key, owner);
    }
}

/// Replaces `not_run` by `unknown` if an attempt was lost on the way and may still arrive. A
/// guard's refusal covers only the attempts that the guard has seen.
fn qualify_refusal(refusal: Refusal, progress: &Progress) -> Refusal {
    if progress.may_be_in_flight {
        unknown_unless_ran(refusal)
    } else {
        refusal
    }
}

/// Replaces `not_run` by `unknown` in a refusal that no ledger has confirmed.
pub(super) fn unknown_unless_ran(refusal: Refusal) -> Refusal {
    match refusal.run_state {
        RunState::NotRun => Refusal {
            run_state: RunState::Unknown,
            ..refusal
        },
        _ => refusal,
    }
}

fn unknown_refusal(reason: RefusalReason) -> Refusal {
    let retry_after_ms = NO_OWNER_RETRY_AFTER_MS + fastrand::u64(..NO_OWNER_RETRY_AFTER_MS);
    Refusal::unknown(reason, retry_after_ms)
}
