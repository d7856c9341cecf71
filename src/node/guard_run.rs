//! Runs a checked call at the guard: key lookup, poison check, admission and execution.

use std::sync::Arc;

use crate::admission::OfferedCall;
use crate::core::Priority;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::node::Node;
use crate::node::answer::Answer;
use crate::node::backend_call;
use crate::node::guarded_call::GuardedCall;
use crate::node::keyed_guard::key_of;
use crate::node::keyed_guard::run_keyed;
use crate::poison::Verdict;

/// The minimum retry delay after a refusal that is unrelated to load, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 500;

/// Runs a call unless it must be refused.
///
/// # Errors
/// The refusal to send back.
pub(super) async fn run(node: &Arc<Node>, call: GuardedCall) -> Result<Answer, Refusal> {
    let key = key_of(&call.header).cloned();
    match key.filter(|_| node.settings.control_enabled) {
        Some(key) => run_keyed(node, call, key).await,
        None => admit_and_run(node, call).await,
    }
}

/// Waits for admission and runs the call.
///
/// # Errors
/// The refusal. Its outcome is `not_run` only if the call was certainly not started.
pub(super) async fn admit_and_run(node: &Arc<Node>, call: GuardedCall) -> Result<Answer, Refusal> {
    check_accepting(node, &call)?;
    if call.deadline <= node.inputs.clock.now() {
        return Err(not_run(RefusalReason::DeadlineExceeded));
    }
    check_poison(node, &call)?;
    check_downstream_level(node, &call)?;
    let offered = OfferedCall {
        // Set by the gate.
        ticket: 0,
        priority: call.header.priority,
        depth: call.header.depth,
        wait_ms: call.header.wait_ms,
        // The same for all calls, so that class, depth and rank decide the order.
        due: TimeMs(0),
        deadline: call.deadline,
    };
    let arrived_us = node.inputs.clock.now_us();
    let permit = node.gate.admit(offered).await?;
    let waited_us = permit.since_us.saturating_sub(arrived_us);
    node.metrics.guard_wait.observe(waited_us as f64 / 1e6);
    // The state and the suspected requests may have changed while the call was queued.
    check_accepting(node, &call)?;
    check_poison(node, &call)?;
    backend_call::run(node, call, permit).await
}

/// Checks whether the call may start here. During a planned stop of the node, the owner of a key
/// accepts its calls until the slot is handed over, since no other node may run them.
fn check_accepting(node: &Node, call: &GuardedCall) -> Result<(), Refusal> {
    let local = node.inputs.local.borrow();
    let state = match (&local.announced, key_of(&call.header)) {
        (Some(announced), Some(_)) => announced.state,
        _ => local.state(),
    };
    match state {
        TargetState::Up | TargetState::Suspect => Ok(()),
        TargetState::Starting => Err(not_run(RefusalReason::BackendDown)),
        TargetState::Draining | TargetState::Dead | TargetState::Left => {
            Err(not_run(RefusalReason::Draining))
        }
    }
}

/// Refuses a call that a downstream service would shed, before it takes a slot here. Its sender
/// admitted it by an older level than the one known here.
fn check_downstream_level(node: &Node, call: &GuardedCall) -> Result<(), Refusal> {
    let now = node.inputs.clock.now();
    let level = node
        .levels
        .level_for_route(now, &call.live.route, Priority::LOWEST);
    if call.header.priority > level {
        return Err(not_run(RefusalReason::ShedAtEntry));
    }
    Ok(())
}

fn check_poison(node: &Node, call: &GuardedCall) -> Result<(), Refusal> {
    let now = node.inputs.clock.now();
    match node
        .inputs
        .poison
        .verdict(now, &call.live, call.header.non_idempotent)
    {
        Verdict::Allowed => Ok(()),
        Verdict::Refused => {
            log::warn!("poison: refused, request={}", call.header.request);
            Err(not_run(RefusalReason::Poisoned))
        }
    }
}

fn not_run(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, retry_after_ms())
}

fn retry_after_ms() -> u64 {
    MIN_RETRY_AFTER_MS + fastrand::u64(..MIN_RETRY_AFTER_MS)
}
