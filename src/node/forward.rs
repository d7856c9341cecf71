//! Forwards a call: selects a target, sends the call, and retries if allowed.

use std::sync::Arc;

use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RetryReason;
use crate::core::Target;
use crate::node::Node;
use crate::node::answer::Answer;
use crate::node::baseline;
use crate::node::call::Call;
use crate::node::invariants::Invariant;
use crate::node::invariants::check;
use crate::node::keyed_forward::forward_keyed;
use crate::node::peer_call::AttemptEnd;
use crate::node::peer_call::call_peer;
use crate::node::targets::CallToPlace;
use crate::retry::AttemptFailure;
use crate::retry::RetryContext;
use crate::retry::retry_reason;
use crate::routing::Pick;

/// The minimum retry delay when no target accepts work, in milliseconds.
const NO_TARGET_RETRY_AFTER_MS: u64 = 500;

/// Forwards a call until it is answered or no further attempt is allowed.
///
/// # Errors
/// The refusal to return to the caller.
pub(super) async fn forward(node: &Arc<Node>, call: &mut Call) -> Result<Answer, Refusal> {
    if !node.settings.control_enabled {
        return baseline::forward(node, call).await;
    }
    if let Some(key) = call.key.clone().filter(|_| call.non_idempotent) {
        return forward_keyed(node, call, key).await;
    }
    let mut tried: Vec<Name> = Vec::new();
    let mut last: Option<Refusal> = None;
    let max_attempts = 1 + usize::from(call.allotment_holder.allotment_left());
    let mut attempts = 0;
    node.targets.record_first_attempt(&call.service);
    loop {
        let Some(target) = choose(node, call, &tried) else {
            return Err(last.unwrap_or_else(no_target));
        };
        attempts += 1;
        // Siblings of a child call may return what they did not use of the allotment, so a child
        // can make more attempts than its initial share allows.
        let is_within_allotment = attempts <= max_attempts || call.depth > 0;
        check(
            &node.metrics,
            Invariant::AttemptsWithinAllotment,
            is_within_allotment,
        );
        let refusal = match attempt(node, call, &target).await {
            AttemptEnd::Answered(answer, _) => return Ok(answer),
            AttemptEnd::Refused(refusal, _) => refusal,
        };
        // A revoked attempt was lost with its connection, so the target itself is not excluded.
        if refusal.reason != RefusalReason::Revoked {
            tried.push(target.node.clone());
        }
        let Some(reason) = next_attempt(node, call, refusal, &tried) else {
            return Err(refusal);
        };
        node.metrics.count_retry(reason);
        log::debug!(
            "entry: tries again, request={} after={} reason={}",
            call.request,
            refusal.reason.as_str(),
            reason.as_str(),
        );
        last = Some(refusal);
    }
}

/// Selects the least loaded target among those that were not tried.
pub(super) fn choose(node: &Node, call: &Call, tried: &[Name]) -> Option<Arc<Target>> {
    let view = node.inputs.view.load();
    let now = node.inputs.clock.now();
    let domain = &node.settings.domain;
    let to_place = CallToPlace {
        service: &call.service,
        own_domain: domain,
        tried,
        is_large: false,
        placement: None,
    };
    match node.targets.take(&view, &to_place, now).0 {
        Pick::Take(target) => Some(target),
        Pick::NoneAvailable | Pick::Unknown => None,
    }
}

/// Makes one attempt with a share of the allotment. The unused part of the share is returned.
pub(super) async fn attempt(node: &Arc<Node>, call: &mut Call, target: &Target) -> AttemptEnd {
    let share = call.allotment_holder.hand_out();
    let end = call_peer(node, call, target, share).await;
    let header = match &end {
        AttemptEnd::Answered(_, header) => Some(header),
        AttemptEnd::Refused(_, header) => header.as_ref(),
    };
    let unused = header.map_or(0, |header| header.allotment_unused);
    check(&node.metrics, Invariant::AllotmentNotMade, unused <= share);
    call.allotment_holder.take_back(share, unused);
    if let Some(header) = header {
        let now = node.inputs.clock.now();
        node.levels
            .record_level(now, &call.service, &call.route, header.admit);
        (node.inputs.record_peer_config)(target.control_address, header.config_version);
    }
    end
}

/// Decides whether to retry, and charges the retry to the allotment and to the service's budget.
fn next_attempt(node: &Node, call: &Call, refusal: Refusal, tried: &[Name]) -> Option<RetryReason> {
    let now = node.inputs.clock.now();
    let view = node.inputs.view.load();
    let failure = AttemptFailure {
        reason: refusal.reason,
        run_state: refusal.run_state,
    };
    let context = RetryContext {
        non_idempotent: call.non_idempotent,
        body_is_held: call.body_is_held,
        room_elsewhere: node.targets.has_room(&view, &call.service, tried, now),
        deadline_left_ms: call.deadline.since(now),
    };
    let reason = retry_reason(failure, context)?;
    let paid = call.allotment_holder.spend() && node.targets.try_retry(&call.service);
    paid.then_some(reason)
}

fn no_target() -> Refusal {
    let retry_after_ms = NO_TARGET_RETRY_AFTER_MS + fastrand::u64(..NO_TARGET_RETRY_AFTER_MS);
    Refusal::not_run(RefusalReason::NoTarget, retry_after_ms)
}
