//! Runs an admitted call at the local backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::adapters::Body;
use crate::admission::CallOutcome;
use crate::admission::Completion;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RequestId;
use crate::core::TimeMs;
use crate::node::Node;
use crate::node::answer::Answer;
use crate::node::body::NodeBody;
use crate::node::body::read_body;
use crate::node::caller_headers;
use crate::node::guarded_call::GuardedCall;
use crate::node::live_calls::LiveCall;
use crate::node::permit::Permit;
use crate::node::poison_guard::handle_broken_call;
use crate::node::watched_body::BodyEnd;
use crate::node::watched_body::watched;
use crate::wire::headers;

/// How long a non-idempotent call may run after its deadline, in milliseconds. Its end still
/// matters: the slot of the backend server is known to be taken until then, and the ledger records
/// the outcome.
const MAX_OVERRUN_MS: u64 = 60_000;
/// The minimum retry delay after the backend server failed, in milliseconds.
const FAILED_RETRY_AFTER_MS: u64 = 500;

/// Runs a call until its deadline. A non-idempotent call may overrun it by [`MAX_OVERRUN_MS`],
/// since it must not be cancelled once it may have started.
pub(super) async fn run(
    node: &Arc<Node>,
    mut call: GuardedCall,
    permit: Permit,
) -> Result<Answer, Refusal> {
    let overrun_ms = if call.header.non_idempotent {
        MAX_OVERRUN_MS
    } else {
        0
    };
    let left_ms = call.deadline.since(node.inputs.clock.now()) + overrun_ms;
    let mut running = RunningCall::new(node, call.live.clone(), permit);
    let exchange = exchange(node, &mut call, running.context);
    match timeout(Duration::from_millis(left_ms), exchange).await {
        Ok(Ok(answer)) => Ok(track_body(answer, running)),
        Ok(Err(refusal)) => {
            let refusal = check_shed_claim(refusal, &running.live);
            running.failed(refusal);
            if let (RefusalReason::BackendBroke, Some(address)) =
                (refusal.reason, node.backend_address())
            {
                let since_us = running.permit.since_us;
                handle_broken_call(node, address, &running.live, since_us).await;
            }
            Err(refusal)
        }
        Err(_) => Err(unknown(RefusalReason::DeadlineExceeded)),
    }
}

/// Checks whether the backend server may have run a call that it claims to have shed. If it had
/// already started the call, another attempt elsewhere would run it a second time. All child calls
/// pass this node, so a recorded child call overrides the claim.
fn check_shed_claim(refusal: Refusal, live: &LiveCall) -> Refusal {
    if refusal.reason == RefusalReason::BackendShed && live.has_made_calls() {
        return unknown(RefusalReason::BackendShed);
    }
    refusal
}

async fn exchange(node: &Node, call: &mut GuardedCall, context: u128) -> Result<Answer, Refusal> {
    let address = node
        .backend_address()
        .ok_or_else(|| not_run(RefusalReason::BackendDown))?;
    let request = backend_request(call, address, context, node.inputs.clock.now())
        .ok_or_else(|| not_run(RefusalReason::BadRequest))?;
    let method = call.method.clone();
    let id = call.header.request;
    let sent_at = node.inputs.clock.now();
    let response = node.backend_client.request(request).await;
    let response = response.map_err(|error| connection_refusal(node, id, &error))?;
    node.record_connection(true);
    let now = node.inputs.clock.now();
    node.backend_rate_limit
        .record_answer(&node.gate, now, sent_at, response.headers());
    read_answer(node, &method, response).await
}

/// A running call. It is registered as live and counted as in flight until this is dropped.
struct RunningCall {
    node: Arc<Node>,
    live: Arc<LiveCall>,
    context: u128,
    permit: Permit,
}

impl RunningCall {
    fn new(node: &Arc<Node>, live: Arc<LiveCall>, permit: Permit) -> Self {
        Self {
            context: node.live_calls.register(live.clone()),
            node: node.clone(),
            live,
            permit,
        }
    }

    fn failed(&mut self, refusal: Refusal) {
        let outcome = match refusal.reason {
            RefusalReason::BackendShed => CallOutcome::Shed,
            _ => CallOutcome::Failed,
        };
        self.record_completion(outcome);
    }

    fn succeeded(&mut self) {
        self.node.inputs.poison.record_success(&self.live);
        self.record_completion(CallOutcome::Ok);
    }

    fn record_completion(&mut self, outcome: CallOutcome) {
        let now_us = self.node.inputs.clock.now_us();
        let service_us = now_us.saturating_sub(self.permit.since_us);
        let seconds = service_us as f64 / 1e6;
        self.node.metrics.backend_latency.observe(seconds);
        self.permit.set_completion(Completion {
            service_us,
            child_us: self.live.child_us(now_us),
            outcome,
        });
    }

    fn body_ended(&mut self, end: BodyEnd) {
        match end {
            BodyEnd::Whole => self.succeeded(),
            BodyEnd::Broken => {
                self.node.metrics.broken_answers.inc();
                self.record_completion(CallOutcome::Failed);
            }
            BodyEnd::Dropped => {}
        }
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.node.live_calls.unregister(self.context);
    }
}

fn backend_request(
    call: &mut GuardedCall,
    address: SocketAddr,
    context: u128,
    now: TimeMs,
) -> Option<Request<Body>> {
    let uri = format!("http://{address}{}", call.path_and_query);
    let mut request = Request::new(call.body.send_copy());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri.parse().ok()?;
    let map = request.headers_mut();
    *map = std::mem::take(&mut call.headers);
    let context = HeaderValue::from_str(&format!("{context:032x}")).ok()?;
    map.insert(headers::CONTEXT, context);
    let id = HeaderValue::from_str(&call.header.request.to_string()).ok()?;
    map.insert(headers::REQUEST_ID, id);
    let left_ms = call.deadline.since(now);
    map.insert(headers::DEADLINE_MS, HeaderValue::from(left_ms));
    Some(request)
}

fn connection_refusal(
    node: &Node,
    request: RequestId,
    error: &hyper_util::client::legacy::Error,
) -> Refusal {
    log::debug!("guard: connection to the backend server failed, request={request} error={error}");
    if error.is_connect() {
        node.record_connection(false);
        not_run(RefusalReason::BackendDown)
    } else {
        unknown(RefusalReason::BackendBroke)
    }
}

async fn read_answer(
    node: &Node,
    method: &Method,
    response: Response<Incoming>,
) -> Result<Answer, Refusal> {
    let (mut parts, body) = response.into_parts();
    if is_shed(parts.status, &parts.headers) {
        return Err(not_run(RefusalReason::BackendShed));
    }
    if !has_delimited_body(method, parts.status, &parts.headers) {
        return Err(unknown(RefusalReason::BackendBroke));
    }
    caller_headers::strip_answer(&mut parts.headers, method);
    let body = body.map_err(std::io::Error::other).boxed_unsync();
    let body = read_body(body, node.settings.max_held_body_bytes)
        .await
        .map_err(|_| unknown(RefusalReason::BackendBroke))?;
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

fn is_shed(status: StatusCode, map: &HeaderMap) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        && caller_headers::text(map, headers::SHED) == Some("1")
}

/// Whether the end of the answer can be distinguished from a broken connection. An answer that is
/// delimited only by the close of its connection (no length, no chunks) looks complete when it is
/// truncated.
fn has_delimited_body(method: &Method, status: StatusCode, map: &HeaderMap) -> bool {
    let is_empty = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    is_empty || map.contains_key(CONTENT_LENGTH) || map.contains_key(TRANSFER_ENCODING)
}

/// Counts a streamed answer as running until its end.
fn track_body(mut answer: Answer, mut running: RunningCall) -> Answer {
    match answer.body {
        NodeBody::Held(_) => running.succeeded(),
        NodeBody::Streamed { body, len } => {
            let stall_ms = running.node.stall_ms();
            let body = watched(body, len, stall_ms, move |end| running.body_ended(end));
            answer.body = NodeBody::Streamed { body, len };
        }
    }
    answer
}

fn not_run(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, retry_after_ms())
}

fn unknown(reason: RefusalReason) -> Refusal {
    Refusal::unknown(reason, retry_after_ms())
}

fn retry_after_ms() -> u64 {
    FAILED_RETRY_AFTER_MS + fastrand::u64(..FAILED_RETRY_AFTER_MS)
}
