//! The guard. All calls to the local backend server go through it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;

use crate::adapters::Body;
use crate::admission::route_of;
use crate::core::AttemptId;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::fingerprint_of;
use crate::node::Announcement;
use crate::node::Arrival;
use crate::node::EndedAnswer;
use crate::node::Node;
use crate::node::body::NodeBody;
use crate::node::body::read_body;
use crate::node::caller_headers;
use crate::node::guard_answer::AnswerContext;
use crate::node::guard_answer::answer;
use crate::node::guard_answer::refuse;
use crate::node::guard_answer::refuse_invalid_header;
use crate::node::guard_run;
use crate::node::guarded_call::GuardedCall;
use crate::node::keyed_guard::key_of;
use crate::node::keyed_guard::unknown_if_keyed;
use crate::node::live_calls::LiveCall;
use crate::node::prepare_call::split_path;
use crate::wire::CallHeader;

/// The minimum retry delay after a refusal that is unrelated to load, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 500;

/// Serves one forwarded call.
pub(super) async fn serve_peer(node: &Arc<Node>, request: Request<Body>) -> Response<Body> {
    node.metrics.guard_calls.inc();
    let header = match CallHeader::from_headers(request.headers()) {
        Ok(header) => header,
        Err(error) => return refuse_invalid_header(node, &error, retry_after_ms()),
    };
    let mut context = AnswerContext::new(&header);
    let call = match read_call(node, header, request).await {
        Ok(call) => call,
        Err(refusal) => return refuse_before_ledger(node, &context, refusal),
    };
    let now = node.inputs.clock.now();
    match node.inputs.attempts.arrive(now, context.attempt) {
        Arrival::Fresh => {}
        Arrival::Revoked => {
            return refuse(node, &context, not_run(RefusalReason::Revoked));
        }
        Arrival::Repeated => {
            let repeated = Refusal::unknown(RefusalReason::BadRequest, retry_after_ms());
            return refuse(node, &context, repeated);
        }
    }
    context.route = call.live.route.clone();
    let running = RunningAttempt::new(node, context.attempt);
    if call.header.non_idempotent {
        finish_detached(node, call, context, running).await
    } else {
        finish(node.clone(), call, context, running).await
    }
}

fn refuse_before_ledger(node: &Node, context: &AnswerContext, refusal: Refusal) -> Response<Body> {
    let refusal = unknown_if_keyed(context.key.as_ref(), refusal);
    refuse(node, context, refusal)
}

/// Runs a call and builds the response. If the future is dropped because the sender disconnected,
/// the call is cancelled at the backend server.
async fn finish(
    node: Arc<Node>,
    call: GuardedCall,
    mut context: AnswerContext,
    running: RunningAttempt,
) -> Response<Body> {
    let live = call.live.clone();
    let end = guard_run::run(&node, call).await;
    context.allotment_unused = live.close_allotment();
    let (response, held) = match end {
        Ok(whole) => {
            let held = whole.body.held().cloned();
            (answer(&node, &context, whole), held)
        }
        Err(refusal) => (refuse(&node, &context, refusal), Some(Bytes::new())),
    };
    running.ended(&response, held);
    response
}

/// Like [`finish`], for a call that must not be cancelled once it may have started. The call runs
/// in its own task even if the sender disconnects. The response is awaited until the deadline only.
async fn finish_detached(
    node: &Arc<Node>,
    call: GuardedCall,
    context: AnswerContext,
    running: RunningAttempt,
) -> Response<Body> {
    let timeout_context = context.clone();
    let left = Duration::from_millis(call.deadline.since(node.inputs.clock.now()));
    let task = tokio::spawn(finish(node.clone(), call, context, running));
    let reason = match tokio::time::timeout(left, task).await {
        Ok(Ok(response)) => return response,
        Ok(Err(_)) => RefusalReason::BackendBroke,
        Err(_) => RefusalReason::DeadlineExceeded,
    };
    refuse(
        node,
        &timeout_context,
        Refusal::unknown(reason, retry_after_ms()),
    )
}

/// Counts an attempt as in progress until it is dropped, however the attempt ends.
struct RunningAttempt {
    node: Arc<Node>,
    attempt: AttemptId,
}

impl RunningAttempt {
    fn new(node: &Arc<Node>, attempt: AttemptId) -> Self {
        Self {
            node: node.clone(),
            attempt,
        }
    }

    /// Records the answer, if all of it is in memory, for a sender that queries the attempt.
    fn ended(self, response: &Response<Body>, held: Option<Bytes>) {
        let answer = held.map(|body| EndedAnswer {
            status: response.status(),
            headers: response.headers().clone(),
            body,
        });
        let now = self.node.inputs.clock.now();
        self.node.inputs.attempts.end(now, self.attempt, answer);
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        let now = self.node.inputs.clock.now();
        self.node.inputs.attempts.end(now, self.attempt, None);
    }
}

async fn read_call(
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
    let reading = read_body(body, node.settings.max_held_body_bytes);
    let left = Duration::from_millis(u64::from(header.deadline_left_ms));
    let body = tokio::time::timeout(left, reading)
        .await
        .map_err(|_| not_run(RefusalReason::DeadlineExceeded))?
        .map_err(|_| not_run(RefusalReason::BodyCutShort))?;
    if lengths_differ(header.body_len, body.len()) {
        return Err(not_run(RefusalReason::BodyCutShort));
    }
    let fingerprint = fingerprint(parts.uri.path(), &parts.method, &path_and_query, &body);
    let live = LiveCall::new(
        header.request,
        header.priority,
        header.depth,
        deadline,
        Name::from(route_of(&path_and_query)),
        fingerprint,
        header.allotment,
    )
    .under_key(key_of(&header).cloned());
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

/// Hashes the content of a call. Of a streamed body only the length is hashed.
fn fingerprint(path: &str, method: &Method, path_and_query: &str, body: &NodeBody) -> u64 {
    let (service, _) = split_path(path);
    let len = body.len().unwrap_or(0).to_le_bytes();
    let content = body.held().map_or(&len[..], |bytes| bytes);
    fingerprint_of(service, method.as_str(), path_and_query, content)
}

fn lengths_differ(announced: Option<u64>, actual: Option<u64>) -> bool {
    matches!((announced, actual), (Some(announced), Some(actual)) if announced != actual)
}

/// The path to send to the backend server, if the call is for its service.
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

fn not_run(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, retry_after_ms())
}

fn retry_after_ms() -> u64 {
    MIN_RETRY_AFTER_MS + fastrand::u64(..MIN_RETRY_AFTER_MS)
}
