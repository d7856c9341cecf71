//! Classifying a call by the preset in force and taking in its body.

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
use crate::node::caller_headers;
use crate::node::entry::Origin;
use crate::node::heritage::deadline;
use crate::node::heritage::heritage;
use crate::preset::CallPolicy;
use crate::preset::InForce;
use crate::wire::headers;

/// When to come back after a refusal that waiting does not mend, in milliseconds.
const LATER_MS: u64 = 1_000;

/// Classifies a call and takes in its body.
pub(super) async fn take_call(
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
    let heritage = heritage(&in_force, policy, &service, key.as_ref(), origin, now);
    let deadline = deadline(deadline_ms, policy, heritage.deadline, now);
    if deadline <= now {
        return Err(not_run(RefusalReason::DeadlineExceeded));
    }
    let route = Name::from(route_of(split_path(parts.uri.path()).1));
    if heritage.depth == 0
        && node.settings.control_enabled
        && !node
            .levels
            .may_pass(now, &service, &route, heritage.priority)
    {
        return Err(not_run(RefusalReason::ShedAtEntry));
    }
    let first_sending = key
        .as_ref()
        .is_some_and(|key| heritage.is_child && heritage.holder.is_first_sending(&service, key));
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
        request: heritage.holder.request,
        priority: heritage.priority,
        depth: heritage.depth,
        deadline,
        wait_ms: policy.wait_ms,
        non_idempotent: policy.non_idempotent,
        key,
        owner_stamp: 0,
        first_sending,
        arrived_at: now,
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

/// The caller's key. One that is no text, longer than a ledger takes or given twice is refused:
/// to leave it out would let the call run twice.
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

/// Takes in a body within the deadline: a caller whose connection went silent in the middle of it
/// would be waited for for good.
async fn held_or_streamed(node: &Node, body: Body, left_ms: u64) -> Result<NodeBody, Refusal> {
    let reading = read_body(body, node.settings.max_held_body_bytes);
    match timeout(Duration::from_millis(left_ms), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(_)) => Err(not_run(RefusalReason::BodyCutShort)),
        Err(_) => Err(not_run(RefusalReason::DeadlineExceeded)),
    }
}

fn not_run(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, LATER_MS + fastrand::u64(..LATER_MS))
}
