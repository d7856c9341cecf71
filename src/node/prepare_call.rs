//! Classifies a call by the preset in force and reads its body.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use tokio::time::timeout;

use crate::adapters::Body;
use crate::admission::route_of;
use crate::claims::MAX_IDEMPOTENCY_KEY_BYTES;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::node::Node;
use crate::node::body::NodeBody;
use crate::node::body::read_body;
use crate::node::call::Call;
use crate::node::call_context::call_context;
use crate::node::call_context::deadline;
use crate::node::caller_headers;
use crate::node::entry::Origin;
use crate::preset::CallPolicy;
use crate::preset::InForce;
use crate::wire::headers;

/// The minimum retry delay after a refusal that retrying sooner cannot resolve, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Classifies a call and reads its body.
pub(super) async fn prepare_call(
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
    let key = key_of(&parts.headers)?;
    let now = node.inputs.clock.now();
    let call_context = call_context(&in_force, policy, &service, key.as_ref(), origin, now);
    let deadline = deadline(deadline_ms, policy, call_context.deadline, now);
    if deadline <= now {
        return Err(not_run(RefusalReason::DeadlineExceeded));
    }
    let route = Name::from(route_of(split_path(parts.uri.path()).1));
    if call_context.depth == 0
        && node.settings.control_enabled
        && !node
            .levels
            .may_pass(now, &service, &route, call_context.priority)
    {
        return Err(not_run(RefusalReason::ShedAtEntry));
    }
    let first_sending = key.as_ref().is_some_and(|key| {
        call_context.is_child
            && call_context
                .allotment_holder
                .is_first_sending(&service, key)
    });
    let path_and_query = path_and_query.to_owned();
    caller_headers::strip(&mut parts.headers);
    let body = held_or_streamed(node, body, deadline.since(now)).await?;
    Ok(Call {
        service,
        route,
        method: parts.method,
        path_and_query,
        headers: parts.headers,
        body_is_held: body.held().is_some(),
        body,
        request: call_context.allotment_holder.request,
        priority: call_context.priority,
        depth: call_context.depth,
        deadline,
        wait_ms: policy.wait_ms,
        non_idempotent: policy.non_idempotent,
        key,
        owner_stamp: 0,
        first_sending,
        arrived_at: now,
        config_version: in_force.version,
        allotment_holder: call_context.allotment_holder,
    })
}

/// Returns the service named by the first path segment, if it was ever announced.
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

/// Returns the caller's idempotency key. A key that is not text, is longer than the ledger accepts,
/// or is given twice is refused. If it were ignored, the call could run twice.
fn key_of(map: &http::HeaderMap) -> Result<Option<Name>, Refusal> {
    let mut values = map.get_all(headers::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    let is_fit = |text: &&str| !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_BYTES;
    match (text.filter(is_fit), values.next()) {
        (Some(text), None) => Ok(Some(Name::from(text))),
        _ => Err(not_run(RefusalReason::BadRequest)),
    }
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

/// Reads a body within the deadline. Without a time-out, a caller whose connection became half-open
/// in the middle of the body would be waited for indefinitely.
async fn held_or_streamed(node: &Node, body: Body, left_ms: u64) -> Result<NodeBody, Refusal> {
    let reading = read_body(body, node.settings.max_held_body_bytes);
    match timeout(Duration::from_millis(left_ms), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(_)) => Err(not_run(RefusalReason::BodyCutShort)),
        Err(_) => Err(not_run(RefusalReason::DeadlineExceeded)),
    }
}

fn not_run(reason: RefusalReason) -> Refusal {
    Refusal::not_run(
        reason,
        MIN_RETRY_AFTER_MS + fastrand::u64(..MIN_RETRY_AFTER_MS),
    )
}
