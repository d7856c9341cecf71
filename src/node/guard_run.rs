//! From the arrival of a checked call at the guard to its end: key, poison, admission, run.

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

/// When to come back after a refusal that says nothing about load, in milliseconds.
const LATER_MS: u64 = 500;

/// Runs a call, or finds out that it must not run.
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
/// The refusal; `not_run` only if the call was certainly not started.
pub(super) async fn admit_and_run(node: &Arc<Node>, call: GuardedCall) -> Result<Answer, Refusal> {
    takes_work(node, &call)?;
    if call.deadline <= node.inputs.clock.now() {
        return Err(not_run(RefusalReason::DeadlineExceeded));
    }
    is_harmless(node, &call)?;
    passes_deeper(node, &call)?;
    let queued = OfferedCall {
        ticket: 0,
        priority: call.header.priority,
        depth: call.header.depth,
        wait_ms: call.header.wait_ms,
        due: TimeMs(0),
        deadline: call.deadline,
    };
    let arrived_us = node.inputs.clock.now_us();
    let permit = node.gate.admit(queued).await?;
    let waited_us = permit.since_us.saturating_sub(arrived_us);
    node.metrics.guard_wait.observe(waited_us as f64 / 1e6);
    // Both may have changed while the call waited.
    takes_work(node, &call)?;
    is_harmless(node, &call)?;
    backend_call::run(node, call, permit).await
}

/// Whether the call may start here. During a planned stop of the node, the owner of a key goes on
/// until the slot is handed over: nobody else may run it.
fn takes_work(node: &Node, call: &GuardedCall) -> Result<(), Refusal> {
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

/// Refuses a call that a service behind this one would shed, before it takes a slot here. It passed
/// its sender with an older level than the one known here.
fn passes_deeper(node: &Node, call: &GuardedCall) -> Result<(), Refusal> {
    let now = node.inputs.clock.now();
    let level = node
        .levels
        .level_on(now, &call.live.route, Priority::LOWEST);
    if call.header.priority > level {
        return Err(not_run(RefusalReason::ShedAtEntry));
    }
    Ok(())
}

fn is_harmless(node: &Node, call: &GuardedCall) -> Result<(), Refusal> {
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
    Refusal::not_run(reason, later_ms())
}

fn later_ms() -> u64 {
    LATER_MS + fastrand::u64(..LATER_MS)
}
