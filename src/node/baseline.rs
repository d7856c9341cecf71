//! Forwarding without overload control, for comparison only: a random target, three retries at each
//! hop and no bound over the whole chain. Enabled by `control_enabled: false`.

use std::sync::Arc;

use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RetryReason;
use crate::core::RunState;
use crate::core::Target;
use crate::node::Node;
use crate::node::answer::Answer;
use crate::node::call::Call;
use crate::node::peer_call::AttemptEnd;
use crate::node::peer_call::call_peer;

/// The maximum number of retries of each call at each hop.
const MAX_RETRIES: u32 = 3;
/// The retry delay returned with a refusal, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Forwards a call until it is answered or four attempts have failed. A non-idempotent call that
/// may have run is not sent again, so that runs of the baseline stay comparable.
pub(super) async fn forward(node: &Arc<Node>, call: &mut Call) -> Result<Answer, Refusal> {
    let mut retries = 0;
    loop {
        let target = any_target(node, call)
            .ok_or_else(|| Refusal::not_run(RefusalReason::NoTarget, RETRY_AFTER_MS))?;
        node.targets.enter(&target.node, node.inputs.clock.now());
        let refusal = match call_peer(node, call, &target, 0).await {
            AttemptEnd::Answered(answer, _) => return Ok(answer),
            AttemptEnd::Refused(refusal, _) => refusal,
        };
        let may_run_twice = call.non_idempotent && refusal.run_state != RunState::NotRun;
        let is_late = call.deadline <= node.inputs.clock.now();
        if may_run_twice || is_late || !call.body_is_held || retries >= MAX_RETRIES {
            return Err(refusal);
        }
        retries += 1;
        node.metrics.count_retry(RetryReason::NotRun);
    }
}

fn any_target(node: &Node, call: &Call) -> Option<Arc<Target>> {
    let view = node.inputs.view.load();
    let targets = view.targets(&call.service).iter();
    let candidates: Vec<&Arc<Target>> = targets
        .filter(|target| target.state.accepts_calls())
        .collect();
    let index = fastrand::usize(..candidates.len().max(1));
    candidates.get(index).map(|target| (*target).clone())
}
