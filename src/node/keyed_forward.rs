//! Forwarding a non-idempotent call with a key: always to the owner of the key's slot.

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

/// How often a call is redirected at most. A redirection never reaches a backend server, so it is
/// no retry and takes nothing from the allotment.
const MAX_REDIRECTS: u32 = 10;
/// How often the owner is looked for before a body is sent that cannot be sent twice.
const MAX_PROBES: u32 = 3;
/// Redirections that are followed at once. After them two guards send the call back and forth: the
/// former owner has read the row that names the next one, which has not read it yet. Followed at
/// once all the same, the redirections would be used up within milliseconds and the call refused
/// in the middle of a planned stop; with a wait the next owner reads the row meanwhile.
const REDIRECTS_AT_ONCE: u32 = 2;
/// The first wait before the owner is asked again while its slot changes hands, in milliseconds;
/// it doubles up to the longest.
const REDIRECT_WAIT_MS: u64 = 50;
const LONGEST_REDIRECT_WAIT_MS: u64 = 400;
/// When to come back when the owner is not found, in milliseconds.
const NO_OWNER_RETRY_AFTER_MS: u64 = 1_000;

/// How far a keyed call has come at its entry.
#[derive(Default)]
struct Progress {
    redirects: u32,
    /// An attempt may still be under way, and what a guard says later does not cover it.
    may_be_under_way: bool,
    search: OwnerSearch,
}

/// Forwards a keyed call until it is answered or given up.
///
/// # Errors
/// The refusal to give to the caller. It says `not_run` only on the word of the owner's ledger.
pub(super) async fn forward_keyed(
    node: &Arc<Node>,
    call: &mut Call,
    key: Name,
) -> Result<Answer, Refusal> {
    let claims = node.inputs.claims.as_ref();
    let now = node.inputs.clock.now();
    if claims.is_some_and(|claims| claims.may_predate_pause(now)) {
        return Err(no_word(RefusalReason::StaleAttempt));
    }
    let sends_until = call.arrived_at + sends_ms(node);
    node.targets.first_attempt(&call.service);
    let mut progress = Progress::default();
    if !call.body_is_held {
        find_owner(node, call, &key).await;
    }
    loop {
        let Some(target) = owner_or_any(node, call, &key, &mut progress.search) else {
            return Err(no_word(RefusalReason::NoTarget));
        };
        let (refusal, again) = match attempt(node, call, &target).await {
            AttemptEnd::Answered(answer, header) => {
                learn(node, call, &key, header.owner);
                return Ok(answer);
            }
            AttemptEnd::Refused(refusal, Some(header)) => {
                let again = redirect(node, call, &key, &target, refusal, header.owner);
                let word = covered(refusal, &progress);
                (word, follow(again, &target, &mut progress).await)
            }
            AttemptEnd::Refused(refusal, None) => {
                let again = after_loss(node, call, &key, &target, refusal, &mut progress);
                (without_word(refusal), again)
            }
        };
        let may_send =
            call.body_is_held && node.inputs.clock.now() < sends_until.min(call.deadline);
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

/// For how long after its arrival attempts of a call may be sent.
fn sends_ms(node: &Node) -> u64 {
    let in_force = node.inputs.in_force.load();
    let known = in_force.as_ref().as_ref();
    let window_ms = known.map_or(0, |known| known.preset.resend_window_ms);
    ResendLimits::new(window_ms).attempt_window_ms()
}

/// Where a call is sent again.
enum Redirect {
    /// The owner is known now, or gave out its stamp.
    Known(RetryReason),
    /// The target knows no owner at the moment: the slot changes hands.
    Nobody,
}

/// What a guard's refusal says about where to send the call.
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
    learn(node, call, key, owner);
    match refusal.reason {
        RefusalReason::StaleAttempt => Some(Redirect::Known(RetryReason::StampRenewed)),
        RefusalReason::NotOwner if elsewhere => Some(Redirect::Known(RetryReason::OwnerMoved)),
        RefusalReason::NotOwner => {
            node.slot_router().forget(&call.service, key);
            Some(Redirect::Nobody)
        }
        _ => None,
    }
}

async fn follow(
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
            let again = progress.redirects.saturating_sub(REDIRECTS_AT_ONCE);
            if reason == RetryReason::OwnerMoved && again > 0 {
                wait_for_owner(again - 1).await;
            }
            Some(reason)
        }
        Redirect::Nobody => {
            progress.search.note_without_owner(target.node.clone());
            wait_for_owner(progress.redirects).await;
            Some(RetryReason::OwnerMoved)
        }
    }
}

/// Waits for a slot to change hands, for longer each time.
async fn wait_for_owner(times_before: u32) {
    let wait_ms = REDIRECT_WAIT_MS << times_before.min(8);
    let wait_ms = wait_ms.min(LONGEST_REDIRECT_WAIT_MS);
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
}

/// After a lost attempt the call may be sent to the owner once more: the ledger lets it join or
/// repeats the answer. An owner that cannot be reached at all has no substitute.
fn after_loss(
    node: &Node,
    call: &mut Call,
    key: &Name,
    target: &Target,
    refusal: Refusal,
    progress: &mut Progress,
) -> Option<RetryReason> {
    let first_loss = !progress.may_be_under_way;
    progress.may_be_under_way |= refusal.run_state != RunState::NotRun;
    call.first_sending &= !progress.may_be_under_way;
    let reason = match (refusal.reason, refusal.run_state) {
        // Never seen and revoked: it is not under way, and the owner is as good as before.
        (RefusalReason::Revoked, RunState::NotRun) => RetryReason::SilentConnection,
        (RefusalReason::PeerLost, RunState::NotRun) => {
            node.slot_router().forget(&call.service, key);
            progress.search.note_unreachable(target.node.clone());
            RetryReason::Unreachable
        }
        (RefusalReason::PeerLost, _) if first_loss => RetryReason::ConnectionLost,
        _ => return None,
    };
    let paid = call.holder.spend() && node.targets.try_retry(&call.service);
    paid.then_some(reason)
}

/// The owner as far as it is known, else any target, whose guard names the owner.
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
            // Another guard knows of a take-over; if it names the same owner, that is the end.
            node.slot_router().forget(&call.service, key);
            search.note_unreachable(hint.node);
            choose(node, call, &search.tried())
        }
    }
}

/// Whether membership holds the owner for reachable. To wait for one that is not would keep the
/// caller from an answer that is known already.
fn is_reachable(view: &View, target: &Target) -> bool {
    let is_gone = matches!(target.state, TargetState::Dead | TargetState::Left);
    !is_gone && !view.cut_off_domains.contains(&target.domain)
}

/// A streamed body can be sent once only. So the owner and its stamp are asked for before, by an
/// attempt without body and without stamp, which no guard starts.
async fn find_owner(node: &Arc<Node>, call: &mut Call, key: &Name) {
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
        learn(node, call, key, owner);
        if found {
            break;
        }
    }
    call.body = body;
}

fn learn(node: &Node, call: &Call, key: &Name, owner: Option<OwnerHint>) {
    if let Some(owner) = owner {
        node.slot_router().learn(&call.service, key, owner);
    }
}

/// What a guard says covers all sendings that it has seen, but not an attempt that was lost on the
/// way and may still arrive.
fn covered(refusal: Refusal, progress: &Progress) -> Refusal {
    if progress.may_be_under_way {
        without_word(refusal)
    } else {
        refusal
    }
}

/// The refusal of an entry that has no word of the ledger.
pub(super) fn without_word(refusal: Refusal) -> Refusal {
    match refusal.run_state {
        RunState::NotRun => Refusal {
            run_state: RunState::Unknown,
            ..refusal
        },
        _ => refusal,
    }
}

fn no_word(reason: RefusalReason) -> Refusal {
    let retry_after_ms = NO_OWNER_RETRY_AFTER_MS + fastrand::u64(..NO_OWNER_RETRY_AFTER_MS);
    Refusal::unknown(reason, retry_after_ms)
}
