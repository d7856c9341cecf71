//! The entry: calls of callers and of the local backend server.

use std::sync::Arc;
use std::sync::Mutex;

use http::Request;
use http::Response;

use crate::adapters::Body;
use crate::core::Name;
use crate::core::Priority;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RequestId;
use crate::core::TimeMs;
use crate::node::Node;
use crate::node::answer::Answer;
use crate::node::body::NodeBody;
use crate::node::body::read_body;
use crate::node::call::Call;
use crate::node::caller_headers;
use crate::node::forward::forward;
use crate::node::live_calls::LiveCall;
use crate::node::refusal_response::refusal_response;
use crate::node::refusal_response::set_outcome;
use crate::preset::CallPolicy;
use crate::preset::InForce;
use crate::retry::Allotment;
use crate::wire::headers;

/// When to come back after a refusal that waiting does not mend, in milliseconds.
const LATER_MS: u64 = 1_000;

/// Where a call comes from.
pub(super) enum Origin {
    /// A caller: nothing it says of the product's own matters is believed.
    Caller,
    /// The local backend server, on behalf of a live call or, without one, as a new root.
    Backend(Option<Arc<LiveCall>>),
}

/// Serves one call from its arrival to the head of its answer.
pub(super) async fn serve_call(
    node: &Arc<Node>,
    request: Request<Body>,
    origin: Origin,
) -> Response<Body> {
    let started_us = node.inputs.clock.now_us();
    node.metrics.entry_calls.inc();
    let response = match take_call(node, request, origin).await {
        Ok(mut call) => answer_call(node, &mut call).await,
        Err(refusal) => refused(node, refusal, None),
    };
    let took_us = node.inputs.clock.now_us() - started_us;
    node.metrics.entry_latency.observe(took_us as f64 / 1e6);
    response
}

async fn answer_call(node: &Arc<Node>, call: &mut Call) -> Response<Body> {
    match forward(node, call).await {
        Ok(answer) => answer_response(answer, call.request),
        Err(refusal) => refused(node, refusal, Some(call.request)),
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

/// Classifies a call and takes in its body.
async fn take_call(
    node: &Arc<Node>,
    request: Request<Body>,
    origin: Origin,
) -> Result<Call, Refusal> {
    let (mut parts, body) = request.into_parts();
    if caller_headers::header_bytes(&parts.headers) > node.settings.max_header_bytes {
        return Err(not_run(RefusalReason::TooLarge));
    }
    let path_and_query = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let service = service_of(node, parts.uri.path())?;
    let in_force = in_force(node)?;
    let policy = classify(&in_force, &service, parts.method.as_str(), parts.uri.path());
    let deadline_ms = announced_deadline_ms(&parts.headers)?;
    let key = caller_headers::text(&parts.headers, headers::IDEMPOTENCY_KEY).map(Name::from);
    let now = node.inputs.clock.now();
    let heritage = heritage(&in_force, policy, &service, key.as_ref(), origin, now);
    let deadline = deadline(deadline_ms, policy, heritage.deadline, now);
    if deadline <= now {
        return Err(not_run(RefusalReason::DeadlineExceeded));
    }
    let path_and_query = path_and_query.to_owned();
    caller_headers::strip(&mut parts.headers);
    let body = held_or_streamed(node, body).await?;
    Ok(Call {
        service,
        method: parts.method,
        path_and_query,
        headers: parts.headers,
        body_is_held: body.held().is_some(),
        body,
        request: heritage.holder.request,
        priority: heritage.priority,
        depth: heritage.depth,
        deadline,
        wait_ms: policy.wait_ms,
        non_idempotent: policy.non_idempotent,
        key,
        config_version: in_force.version,
        holder: heritage.holder,
    })
}

/// The service named by the first segment of the path, if it has ever been announced.
fn service_of(node: &Node, path: &str) -> Result<Name, Refusal> {
    let (service, _) = split_path(path);
    let view = node.inputs.view.load();
    let known = view.services.get_key_value(service);
    known
        .map(|(name, _)| name.clone())
        .ok_or_else(|| not_run(RefusalReason::UnknownService))
}

/// Splits `/<service>/<rest>` into the service and `/<rest>`.
pub(super) fn split_path(path: &str) -> (&str, &str) {
    let path = path.strip_prefix('/').unwrap_or(path);
    match path.find('/') {
        Some(end) => path.split_at(end),
        None => match path.find('?') {
            Some(end) => path.split_at(end),
            None => (path, "/"),
        },
    }
}

fn in_force(node: &Node) -> Result<InForce, Refusal> {
    let in_force = node.inputs.in_force.load();
    let known = in_force.as_ref().clone();
    known.ok_or_else(|| not_run(RefusalReason::NoPreset))
}

fn classify(in_force: &InForce, service: &str, method: &str, path: &str) -> CallPolicy {
    let (_, rest) = split_path(path);
    in_force.preset.classify(service, method, rest)
}

fn announced_deadline_ms(map: &http::HeaderMap) -> Result<Option<u32>, Refusal> {
    if !map.contains_key(headers::DEADLINE_MS) {
        return Ok(None);
    }
    let text = caller_headers::text(map, headers::DEADLINE_MS);
    let deadline_ms = text.and_then(|text| text.trim().parse().ok());
    deadline_ms
        .map(Some)
        .ok_or_else(|| not_run(RefusalReason::BadRequest))
}

/// What a call has from the call on whose behalf it is made, or as a new root.
struct Heritage {
    holder: Arc<LiveCall>,
    priority: Priority,
    depth: u8,
    deadline: Option<TimeMs>,
}

fn heritage(
    in_force: &InForce,
    policy: CallPolicy,
    service: &str,
    key: Option<&Name>,
    origin: Origin,
    now: TimeMs,
) -> Heritage {
    let allotment = in_force.preset.retry_allotment;
    match origin {
        Origin::Backend(Some(parent)) => child(policy, parent),
        Origin::Backend(None) => root(policy, service, key, 0, now),
        Origin::Caller => root(policy, service, key, allotment, now),
    }
}

/// One priority for the whole chain. A child whose own class is more important keeps that: a
/// charge made on behalf of unimportant work is still a charge.
fn child(policy: CallPolicy, parent: Arc<LiveCall>) -> Heritage {
    let class = policy.class.min(parent.priority.class());
    Heritage {
        priority: Priority::new(class, parent.priority.rank()),
        depth: parent.depth.saturating_add(1),
        deadline: Some(parent.deadline),
        holder: parent,
    }
}

fn root(
    policy: CallPolicy,
    service: &str,
    key: Option<&Name>,
    allotment: u16,
    now: TimeMs,
) -> Heritage {
    let request = key.map_or_else(RequestId::random, |key| RequestId::of_key(service, key));
    let priority = Priority::new(policy.class, request.rank());
    let holder = LiveCall {
        request,
        priority,
        depth: 0,
        deadline: now + u64::from(policy.deadline_ms),
        allotment: Mutex::new(Allotment::new(allotment)),
    };
    Heritage {
        holder: Arc::new(holder),
        priority,
        depth: 0,
        deadline: None,
    }
}

/// The earliest of what the caller, the preset and the call above allow.
fn deadline(
    announced_ms: Option<u32>,
    policy: CallPolicy,
    inherited: Option<TimeMs>,
    now: TimeMs,
) -> TimeMs {
    let own_ms = announced_ms.map_or(policy.deadline_ms, |ms| ms.min(policy.deadline_ms));
    let own = now + u64::from(own_ms);
    inherited.map_or(own, |inherited| own.min(inherited))
}

async fn held_or_streamed(node: &Node, body: Body) -> Result<NodeBody, Refusal> {
    read_body(body, node.settings.max_held_body_bytes)
        .await
        .map_err(|_| not_run(RefusalReason::BodyCutShort))
}

fn not_run(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, LATER_MS + fastrand::u64(..LATER_MS))
}
