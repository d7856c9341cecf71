//! The guard: the only way to the local backend server.

use std::sync::Arc;

use http::Request;
use http::Response;

use crate::adapters::Body;
use crate::admission::QueuedCall;
use crate::admission::route_of;
use crate::core::Name;
use crate::core::Priority;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::TargetState;
use crate::node::Announcement;
use crate::node::Node;
use crate::node::answer::Answer;
use crate::node::backend_call;
use crate::node::body::read_body;
use crate::node::caller_headers;
use crate::node::guard_answer::Answered;
use crate::node::guard_answer::answer;
use crate::node::guard_answer::refuse;
use crate::node::guard_answer::refuse_unread;
use crate::node::guarded_call::GuardedCall;
use crate::node::keyed_guard::key_of;
use crate::node::keyed_guard::run_keyed;
use crate::node::keyed_guard::without_ledger;
use crate::node::live_calls::LiveCall;
use crate::node::take_call::split_path;
use crate::wire::CallHeader;

/// When to come back after a refusal that says nothing about load, in milliseconds.
const LATER_MS: u64 = 500;

/// Serves one forwarded call.
pub(super) async fn serve_peer(node: &Arc<Node>, request: Request<Body>) -> Response<Body> {
    node.metrics.guard_calls.inc();
    let header = match CallHeader::from_headers(request.headers()) {
        Ok(header) => header,
        Err(error) => return refuse_unread(node, &error, later_ms()),
    };
    let mut answered = Answered {
        attempt: header.attempt,
        route: Name::from(""),
        allotment_unused: header.allotment,
        key: key_of(&header).cloned(),
    };
    let call = match take_call(node, header, request).await {
        Ok(call) => call,
        Err(refusal) => {
            let refusal = without_ledger(answered.key.as_ref(), refusal);
            return refuse(node, &answered, refusal);
        }
    };
    let live = call.live.clone();
    let end = match answered
        .key
        .clone()
        .filter(|_| node.settings.control_enabled)
    {
        Some(key) => run_keyed(node, call, key).await,
        None => admit_and_run(node, call).await,
    };
    answered.allotment_unused = live.close_allotment();
    answered.route = live.route.clone();
    match end {
        Ok(whole) => answer(node, &answered, whole),
        Err(refusal) => refuse(node, &answered, refusal),
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
    let live = LiveCall::new(
        header.request,
        header.priority,
        header.depth,
        deadline,
        Name::from(route_of(&path_and_query)),
        header.allotment,
    );
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

/// Waits for admission and runs the call.
///
/// # Errors
/// The refusal; `not_run` only if the call was certainly not started.
pub(super) async fn admit_and_run(node: &Arc<Node>, call: GuardedCall) -> Result<Answer, Refusal> {
    if call.deadline <= node.inputs.clock.now() {
        return Err(not_run(RefusalReason::DeadlineExceeded));
    }
    takes_work(node, &call)?;
    passes_deeper(node, &call)?;
    let queued = QueuedCall {
        ticket: 0,
        priority: call.header.priority,
        depth: call.header.depth,
        wait_ms: call.header.wait_ms,
        deadline: call.deadline,
    };
    let arrived_us = node.inputs.clock.now_us();
    let permit = node.gate.admit(queued).await?;
    let waited_us = permit.since_us.saturating_sub(arrived_us);
    node.metrics.guard_wait.observe(waited_us as f64 / 1e6);
    if key_of(&call.header).is_some() && node.settings.control_enabled {
        backend_call::run_on(node, call, permit).await
    } else if call.header.non_idempotent {
        backend_call::run_to_end(node, call, permit).await
    } else {
        backend_call::run_until_dropped(node, call, permit).await
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

fn not_run(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, later_ms())
}

fn later_ms() -> u64 {
    LATER_MS + fastrand::u64(..LATER_MS)
}
