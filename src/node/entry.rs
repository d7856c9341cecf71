//! The entry accepts calls of callers and of the local backend server.

use std::sync::Arc;

use http::Request;
use http::Response;

use crate::adapters::Body;
use crate::core::Refusal;
use crate::core::RequestId;
use crate::node::Node;
use crate::node::answer::Answer;
use crate::node::call::Call;
use crate::node::forward::forward;
use crate::node::keyed_forward::unknown_unless_ran;
use crate::node::live_calls::LiveCall;
use crate::node::prepare_call::prepare_call;
use crate::node::prepare_call::split_path;
use crate::node::refusal_response::refusal_response;
use crate::node::refusal_response::set_outcome;
use crate::wire::headers;

/// Where a call comes from.
pub(super) enum Origin {
    /// A caller. Internal headers that it sets are not trusted.
    Caller,
    /// The local backend server. The call is made on behalf of a live call or, without one, is a
    /// new root.
    Backend(Option<Arc<LiveCall>>),
}

/// Serves one call until the head of its answer is ready.
pub(super) async fn serve_call(
    node: &Arc<Node>,
    request: Request<Body>,
    origin: Origin,
) -> Response<Body> {
    let started_us = node.inputs.clock.now_us();
    node.metrics.entry_calls.inc();
    let is_keyed = may_be_keyed(node, &request);
    let response = match prepare_call(node, request, origin).await {
        Ok(mut call) => answer_call(node, &mut call).await,
        Err(refusal) if is_keyed => refused(node, unknown_unless_ran(refusal), None),
        Err(refusal) => refused(node, refusal, None),
    };
    let took_us = node.inputs.clock.now_us() - started_us;
    node.metrics.entry_latency.observe(took_us as f64 / 1e6);
    response
}

/// Whether the call has a key under which it may have run before. If so, a refusal that only this
/// entry decided must not state `not_run`, which is about all attempts with the key.
fn may_be_keyed(node: &Node, request: &Request<Body>) -> bool {
    if !request.headers().contains_key(headers::IDEMPOTENCY_KEY) {
        return false;
    }
    let in_force = node.inputs.in_force.load();
    in_force.as_ref().as_ref().is_none_or(|known| {
        let (service, rest) = split_path(request.uri().path());
        let policy = known
            .preset
            .classify(service, request.method().as_str(), rest);
        policy.non_idempotent
    })
}

async fn answer_call(node: &Arc<Node>, call: &mut Call) -> Response<Body> {
    let _child = ChildSpan::begin(node, call);
    match forward(node, call).await {
        Ok(answer) => answer_response(answer, call.request),
        Err(refusal) => refused(node, refusal, Some(call.request)),
    }
}

/// Counts a child call as outstanding in its parent call until this is dropped.
struct ChildSpan {
    node: Arc<Node>,
    allotment_holder: Arc<LiveCall>,
}

impl ChildSpan {
    fn begin(node: &Arc<Node>, call: &Call) -> Option<Self> {
        if call.depth == 0 {
            return None;
        }
        let now = node.inputs.clock.now();
        let allotment_holder = call.allotment_holder.clone();
        node.levels
            .record_child(now, &allotment_holder.route, &call.service, &call.route);
        allotment_holder.child_started(node.inputs.clock.now_us());
        Some(Self {
            node: node.clone(),
            allotment_holder,
        })
    }
}

impl Drop for ChildSpan {
    fn drop(&mut self) {
        self.allotment_holder
            .child_ended(self.node.inputs.clock.now_us());
    }
}

fn refused(node: &Node, refusal: Refusal, request: Option<RequestId>) -> Response<Body> {
    node.metrics.count_entry_refusal(refusal.reason);
    log::debug!(
        "entry: refused, request={} reason={} outcome={} retry_after_ms={}",
        request.map_or_else(String::new, |request| request.to_string()),
        refusal.reason.as_str(),
        refusal.run_state.as_str(),
        refusal.retry_after_ms,
    );
    refusal_response(refusal, request)
}

fn answer_response(mut answer: Answer, request: RequestId) -> Response<Body> {
    let mut response = Response::new(answer.body.send_copy());
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    set_outcome(response.headers_mut(), "ran", Some(request));
    response
}
