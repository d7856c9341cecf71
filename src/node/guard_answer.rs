//! Responses of the guard to the forwarding node.

use http::HeaderValue;
use http::Response;
use http::StatusCode;

use crate::adapters::Body;
use crate::adapters::empty_body;
use crate::core::AttemptId;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RunState;
use crate::errors::WireError;
use crate::node::Node;
use crate::node::answer::Answer;
use crate::node::keyed_guard::key_of;
use crate::node::keyed_guard::owner_hint;
use crate::node::refusal_response::set_outcome;
use crate::wire::AnswerHeader;
use crate::wire::CallHeader;
use crate::wire::headers;

/// The values of a call that its answer header needs.
#[derive(Clone, Debug)]
pub(super) struct AnswerContext {
    pub(super) attempt: AttemptId,
    pub(super) route: Name,
    pub(super) allotment_unused: u16,
    /// The key of a non-idempotent call. The answer header names the owner of its slot.
    pub(super) key: Option<Name>,
}

impl AnswerContext {
    pub(super) fn new(header: &CallHeader) -> Self {
        Self {
            attempt: header.attempt,
            route: Name::from(""),
            allotment_unused: header.allotment,
            key: key_of(header).cloned(),
        }
    }
}

/// Builds the response for an answer of the backend server, with the guard's answer header.
pub(super) fn answer(node: &Node, context: &AnswerContext, mut answer: Answer) -> Response<Body> {
    let header = AnswerHeader {
        body_len: answer.body.len(),
        ..answer_header(node, context)
    };
    let mut response = Response::new(answer.body.send_copy());
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    set_answer_header(&mut response, &header);
    response
}

/// Builds the response for a refusal, with the guard's answer header.
pub(super) fn refuse(node: &Node, context: &AnswerContext, refusal: Refusal) -> Response<Body> {
    node.metrics.count_guard_refusal(refusal.reason);
    log::debug!(
        "guard: refused, attempt={} reason={} outcome={} retry_after_ms={}",
        context.attempt,
        refusal.reason.as_str(),
        refusal.run_state.as_str(),
        refusal.retry_after_ms,
    );
    let header = AnswerHeader {
        run_state: refusal.run_state,
        refusal: Some(refusal),
        body_len: Some(0),
        ..answer_header(node, context)
    };
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    set_answer_header(&mut response, &header);
    response
}

/// Refuses a call whose header cannot be decoded, without running it. The refusal is written in
/// plain headers, which every version of the protocol understands.
pub(super) fn refuse_invalid_header(
    node: &Node,
    error: &WireError,
    retry_after_ms: u64,
) -> Response<Body> {
    let reason = match error {
        WireError::Version { .. } => RefusalReason::PeerVersion,
        _ => RefusalReason::BadRequest,
    };
    log::warn!("guard: invalid header in a call, error={error}");
    let refusal = Refusal::not_run(reason, retry_after_ms);
    let context = AnswerContext {
        attempt: AttemptId(0),
        route: Name::from(""),
        allotment_unused: 0,
        key: None,
    };
    let mut response = refuse(node, &context, refusal);
    *response.status_mut() = StatusCode::BAD_REQUEST;
    let reason = HeaderValue::from_static(reason.as_str());
    response.headers_mut().insert(headers::REASON, reason);
    set_outcome(response.headers_mut(), refusal.run_state.as_str(), None);
    response
}

fn answer_header(node: &Node, context: &AnswerContext) -> AnswerHeader {
    let now = node.inputs.clock.now();
    let in_force = node.inputs.in_force.load();
    let own = node.gate.level();
    AnswerHeader {
        attempt: context.attempt,
        run_state: RunState::Ran,
        refusal: None,
        allotment_unused: context.allotment_unused,
        admit: node.levels.level_for_route(now, &context.route, own),
        load: node.gate.load(),
        config_version: in_force.as_ref().as_ref().map_or(0, |known| known.version),
        body_len: None,
        owner: owner_hint(node, context.key.as_ref()),
    }
}

fn set_answer_header(response: &mut Response<Body>, header: &AnswerHeader) {
    let value = HeaderValue::from_str(&header.encode()).expect("base64 is a valid header value");
    response.headers_mut().insert(headers::ANSWER, value);
}
