//! The guard: the only way to the local backend server.

use std::sync::Arc;
use std::sync::Mutex;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;

use crate::adapters::Body;
use crate::adapters::empty_body;
use crate::core::AttemptId;
use crate::core::Priority;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RunState;
use crate::errors::WireError;
use crate::node::Announcement;
use crate::node::Node;
use crate::node::answer::Answer;
use crate::node::backend_call;
use crate::node::body::read_body;
use crate::node::caller_headers;
use crate::node::entry::split_path;
use crate::node::guarded_call::GuardedCall;
use crate::node::live_calls::LiveCall;
use crate::node::refusal_response::set_outcome;
use crate::retry::Allotment;
use crate::wire::AnswerHeader;
use crate::wire::CallHeader;
use crate::wire::headers;

/// When to come back after a refusal that says nothing about load, in milliseconds.
const LATER_MS: u64 = 500;

/// Serves one forwarded call.
pub(super) async fn serve_peer(node: &Arc<Node>, request: Request<Body>) -> Response<Body> {
    node.metrics.guard_calls.inc();
    let header = match CallHeader::from_headers(request.headers()) {
        Ok(header) => header,
        Err(error) => return not_understood(node, &error),
    };
    let attempt = header.attempt;
    let granted = header.allotment;
    let call = match take_call(node, header, request).await {
        Ok(call) => call,
        Err(refusal) => return refused(node, attempt, refusal, granted),
    };
    let live = call.live.clone();
    let end = run(node, call).await;
    let unused = live.close_allotment();
    match end {
        Ok(answer) => answered(node, attempt, answer, unused),
        Err(refusal) => refused(node, attempt, refusal, unused),
    }
}

async fn take_call(
    node: &Node,
    header: CallHeader,
    request: Request<Body>,
) -> Result<GuardedCall, Refusal> {
    let (mut parts, body) = request.into_parts();
    let path_and_query =
        backend_path(node, parts.uri.path_and_query().map_or("/", |p| p.as_str()))?;
    let now = node.inputs.clock.now();
    let deadline = now + u64::from(header.deadline_left_ms);
    caller_headers::strip(&mut parts.headers);
    let body = read_body(body, node.settings.max_held_body_bytes)
        .await
        .map_err(|_| not_run(RefusalReason::BodyCutShort))?;
    if differs(header.body_len, body.len()) {
        return Err(not_run(RefusalReason::BodyCutShort));
    }
    let live = LiveCall {
        request: header.request,
        priority: header.priority,
        depth: header.depth,
        deadline,
        allotment: Mutex::new(Allotment::new(header.allotment)),
    };
    Ok(GuardedCall {
        method: parts.method,
        path_and_query,
        headers: parts.headers,
        body,
        deadline,
        live: Arc::new(live),
        header,
    })
}

fn differs(announced: Option<u64>, actual: Option<u64>) -> bool {
    matches!((announced, actual), (Some(announced), Some(actual)) if announced != actual)
}

/// What the backend server sees of the path, if the call is for its service.
fn backend_path(node: &Node, path_and_query: &str) -> Result<String, Refusal> {
    let (service, rest) = split_path(path_and_query);
    let local = node.inputs.local.borrow();
    let is_ours = |announced: &Announcement| &*announced.service == service;
    if !local.announced.as_ref().is_some_and(is_ours) {
        return Err(not_run(RefusalReason::NoTarget));
    }
    if rest.starts_with('/') {
        Ok(rest.to_owned())
    } else {
        Ok(format!("/{rest}"))
    }
}

async fn run(node: &Arc<Node>, call: GuardedCall) -> Result<Answer, Refusal> {
    if node.is_draining() {
        return Err(not_run(RefusalReason::Draining));
    }
    if call.deadline <= node.inputs.clock.now() {
        return Err(not_run(RefusalReason::DeadlineExceeded));
    }
    let slots = node
        .local_slots()
        .ok_or_else(|| not_run(RefusalReason::BackendDown))?;
    let permit = node
        .take_slot(slots)
        .ok_or_else(|| not_run(RefusalReason::Overloaded))?;
    if call.header.non_idempotent {
        backend_call::run_to_end(node, call, permit).await
    } else {
        backend_call::run_until_dropped(node, call, permit).await
    }
}

fn answered(node: &Node, attempt: AttemptId, mut answer: Answer, unused: u16) -> Response<Body> {
    let header = AnswerHeader {
        body_len: answer.body.len(),
        ..answer_header(node, attempt, unused)
    };
    let mut response = Response::new(answer.body.send_copy());
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    set_answer_header(&mut response, &header);
    response
}

fn refused(node: &Node, attempt: AttemptId, refusal: Refusal, unused: u16) -> Response<Body> {
    node.metrics.count_guard_refusal(refusal.reason);
    log::debug!(
        "guard: refused, attempt={attempt} reason={} outcome={} retry_after_ms={}",
        refusal.reason.as_str(),
        refusal.run_state.as_str(),
        refusal.retry_after_ms,
    );
    let header = AnswerHeader {
        run_state: refusal.run_state,
        refusal: Some(refusal),
        body_len: Some(0),
        ..answer_header(node, attempt, unused)
    };
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    set_answer_header(&mut response, &header);
    response
}

/// Refuses a call whose header cannot be read, in plain headers, which every version of the
/// protocol understands: nothing was run.
fn not_understood(node: &Node, error: &WireError) -> Response<Body> {
    let reason = match error {
        WireError::Version { .. } => RefusalReason::PeerVersion,
        _ => RefusalReason::BadRequest,
    };
    log::warn!("guard: refused a call it cannot read, error={error}");
    let refusal = not_run(reason);
    let mut response = refused(node, AttemptId(0), refusal, 0);
    *response.status_mut() = StatusCode::BAD_REQUEST;
    let reason = HeaderValue::from_static(reason.as_str());
    response.headers_mut().insert(headers::REASON, reason);
    set_outcome(response.headers_mut(), refusal.run_state.as_str(), None);
    response
}

fn answer_header(node: &Node, attempt: AttemptId, unused: u16) -> AnswerHeader {
    let in_force = node.inputs.in_force.load();
    AnswerHeader {
        attempt,
        run_state: RunState::Ran,
        refusal: None,
        allotment_unused: unused,
        admit: Priority::LOWEST,
        owner: None,
        load: node.load_report(),
        config_version: in_force.as_ref().as_ref().map_or(0, |known| known.version),
        body_len: None,
    }
}

fn set_answer_header(response: &mut Response<Body>, header: &AnswerHeader) {
    let value = HeaderValue::from_str(&header.encode()).expect("base64 is a valid header value");
    response.headers_mut().insert(headers::ANSWER, value);
}

fn not_run(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, LATER_MS + fastrand::u64(..LATER_MS))
}
