//! The entry: accepts requests of local callers, and calls of the local backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::HOST;
use http::uri::PathAndQuery;
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::accounts::Caller;
use crate::adapters::WholeAnswer;
use crate::adapters::read_whole;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RouteOrigin;
use crate::core::RunState;
use crate::desired::RouteInForce;
use crate::errors::SendError;
use crate::traffic::InForce;
use crate::traffic::call::Call;
use crate::traffic::call::Message;
use crate::traffic::call::Progress;
use crate::traffic::caller_response::answer_response;
use crate::traffic::caller_response::refusal_response;
use crate::traffic::caller_response::status_response;
use crate::traffic::entry_account::account;
use crate::traffic::entry_account::check_allowance;
use crate::traffic::entry_account::class;
use crate::traffic::entry_account::identify_caller;
use crate::traffic::entry_account::priority;
use crate::traffic::entry_account::strip_account;
use crate::traffic::forward::forward;
use crate::traffic::passed_headers::strip_request;
use crate::traffic::request_log::EntryLog;
use crate::traffic::traffic::Traffic;

/// Retry-after of a refusal while no desired state is known, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 500;
/// Minimum retry-after of a request that was shed, in milliseconds.
const SHED_RETRY_AFTER_MS: u64 = 300;
/// Requests that were shed together retry spread over this time, in milliseconds.
const SHED_RETRY_SPREAD_MS: u64 = 600;
/// The deadline of a request that names none and has no known route, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Why a request is not forwarded.
enum Rejected {
    /// The caller may retry it.
    Refusal(Refusal),
    /// A retry would fail as well.
    Status(StatusCode),
}

/// Serves one request from its arrival to its answer. Dropping the future abandons the request.
pub(super) async fn serve_caller(
    traffic: Arc<Traffic>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _in_progress = traffic.enter();
    traffic.metrics.entry_calls.inc();
    let names = &traffic.settings.header_names;
    let id = request.headers().get(&names.request_id).cloned();
    let mut request_log = EntryLog::new(&traffic, id);
    let progress = Progress::default();
    let response = match serve(&traffic, request, &mut request_log, &progress).await {
        Ok(answer) => {
            request_log.answered(&traffic, answer.status, &progress);
            record_route_latency(&traffic, &request_log);
            answer_response(answer)
        }
        Err(Rejected::Refusal(refusal)) => {
            request_log.refused(&traffic, &refusal, &progress);
            refusal_response(&traffic, refusal, request_log.id())
        }
        Err(Rejected::Status(status)) => {
            request_log.rejected(&traffic, status);
            status_response(&traffic, status, request_log.id())
        }
    };
    let took_us = traffic.clock.now_us() - request_log.started_us();
    traffic.metrics.entry_latency.observe(took_us as f64 / 1e6);
    response
}

fn record_route_latency(traffic: &Traffic, request_log: &EntryLog) {
    let Some(route) = request_log.route() else {
        return;
    };
    let took_us = traffic.clock.now_us() - request_log.started_us();
    let latencies = &traffic.metrics.route_latency;
    latencies.observe(route, took_us as f64 / 1e6);
}

async fn serve(
    traffic: &Arc<Traffic>,
    request: Request<Incoming>,
    request_log: &mut EntryLog,
    progress: &Progress,
) -> Result<WholeAnswer, Rejected> {
    let call = accept(traffic, request).await?;
    request_log.classified(&call);
    let allowed = check_allowance(traffic, &call).map_err(Rejected::Refusal)?;
    let answer = match admit_root(traffic, &call) {
        Ok(()) => forward(traffic, call, progress).await,
        Err(refusal) => Err(refusal),
    };
    if let (Some(account), Err(refusal)) = (allowed, &answer)
        && refusal.run_state == RunState::NotRun
    {
        traffic.allowances.refund(account);
    }
    answer.map_err(Rejected::Refusal)
}

/// Refuses a caller's request if a service of its call tree is overloaded. A call of the local
/// backend server is recorded instead, as a possible child of each route that is running there.
fn admit_root(traffic: &Traffic, call: &Call) -> Result<(), Refusal> {
    let now = traffic.clock.now();
    let (service, route) = (&call.service, &call.route);
    // No request is refused while it is unknown who uses its route.
    if call.origin == Some(RouteOrigin::Callers)
        && !traffic.roots.may_pass(now, service, route, call.priority)
    {
        return Err(shed());
    }
    if call.origin == Some(RouteOrigin::Backends) {
        let parents = traffic.running.all();
        traffic.roots.record_child(now, &parents, service, route);
    }
    Ok(())
}

/// Reads a whole request and classifies it.
async fn accept(traffic: &Arc<Traffic>, request: Request<Incoming>) -> Result<Call, Rejected> {
    let now = traffic.clock.now();
    let caller_service = traffic.own_service.current();
    let (mut parts, body) = request.into_parts();
    let in_force = traffic.desired.load();
    let requested_ms = requested_deadline_ms(traffic, &parts.headers)?;
    let found = in_force
        .as_ref()
        .and_then(|in_force| find(in_force, &parts.headers, parts.uri.path()).cloned());
    let max_ms = found.as_ref().map(|found| found.route.timeout_ms);
    let left_ms = shorter(requested_ms, max_ms).unwrap_or(DEFAULT_DEADLINE_MS);
    let deadline = now + left_ms;
    let body = read_body(traffic, body, left_ms).await?;
    if traffic.entry_closed.load(Ordering::Relaxed) {
        return Err(not_run(RefusalReason::Draining));
    }
    let in_force = in_force.ok_or_else(|| not_run(RefusalReason::NoPreset))?;
    let found = found.ok_or(Rejected::Status(StatusCode::NOT_FOUND))?;
    let route = &found.route.name;
    let caller = identify_caller(traffic, &in_force, &found, &parts.headers);
    let caller = caller.map_err(Rejected::Refusal)?;
    let is_certain_origin = !matches!(caller, Caller::Anonymous);
    let origin = match &caller {
        Caller::Account(..) => Some(RouteOrigin::Callers),
        Caller::Backend => Some(RouteOrigin::Backends),
        Caller::Anonymous => traffic.origins.origin_of(route),
    };
    let class = class(&in_force.ranking, &found, origin, &caller);
    let priority = priority(traffic, class, &parts.headers);
    let service = found.split.next_service();
    let repeated_permille = match origin {
        Some(RouteOrigin::Callers) => 0,
        Some(RouteOrigin::Backends) | None => traffic.running.repeated_permille(),
    };
    strip_request(&mut parts.headers);
    strip_account(&traffic.settings.header_names, &mut parts.headers);
    let path_and_query = parts.uri.path_and_query().cloned();
    Ok(Call {
        message: Message {
            method: parts.method,
            path_and_query: path_and_query.unwrap_or_else(|| PathAndQuery::from_static("/")),
            headers: parts.headers,
            body,
        },
        service,
        caller_service,
        route: route.clone(),
        repeatability: found.route.repeatability,
        max_attempts: found.route.max_attempts,
        priority,
        origin,
        is_certain_origin,
        account: account(caller, &in_force),
        objective_ms: found.route.objective_ms as u32,
        repeated_permille,
        deadline,
    })
}

fn shorter(one_ms: Option<u64>, other_ms: Option<u64>) -> Option<u64> {
    match (one_ms, other_ms) {
        (Some(one_ms), Some(other_ms)) => Some(one_ms.min(other_ms)),
        (one_ms, other_ms) => one_ms.or(other_ms),
    }
}

fn find<'a>(
    in_force: &'a InForce,
    headers: &HeaderMap,
    path: &str,
) -> Option<&'a Arc<RouteInForce>> {
    let host = headers.get(HOST)?.to_str().ok()?;
    in_force.routes.find(host, path)
}

fn requested_deadline_ms(traffic: &Traffic, headers: &HeaderMap) -> Result<Option<u64>, Rejected> {
    let Some(value) = headers.get(&traffic.settings.header_names.deadline_ms) else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    let requested_ms = text.and_then(|text| text.trim().parse::<f64>().ok());
    requested_ms
        .filter(|ms| ms.is_finite() && *ms >= 0.0)
        .map(|ms| Some(ms as u64))
        .ok_or(Rejected::Status(StatusCode::BAD_REQUEST))
}

async fn read_body(traffic: &Traffic, body: Incoming, left_ms: u64) -> Result<Bytes, Rejected> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let max_bytes = traffic.desired.limits().max_body_bytes;
    let reading = read_whole(body, max_bytes, &traffic.bodies);
    match timeout(Duration::from_millis(left_ms), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(SendError::TooLong { .. })) => Err(Rejected::Status(StatusCode::PAYLOAD_TOO_LARGE)),
        Ok(Err(SendError::NoMemory { .. })) => Err(not_run(RefusalReason::BodyMemory)),
        Ok(Err(_)) => Err(Rejected::Status(StatusCode::BAD_REQUEST)),
        Err(_) => Err(Rejected::Status(StatusCode::REQUEST_TIMEOUT)),
    }
}

/// The refusal of a request before any work, because a service of its call tree is overloaded.
///
/// The retry-after is spread over [`SHED_RETRY_SPREAD_MS`]. It is short, so that the answer to the
/// retry is still useful to the caller.
fn shed() -> Refusal {
    let retry_after_ms = SHED_RETRY_AFTER_MS + fastrand::u64(..SHED_RETRY_SPREAD_MS);
    Refusal::not_run(RefusalReason::ShedAtEntry, retry_after_ms)
}

fn not_run(reason: RefusalReason) -> Rejected {
    let retry_after_ms = DEFAULT_RETRY_AFTER_MS + fastrand::u64(..DEFAULT_RETRY_AFTER_MS);
    Rejected::Refusal(Refusal::not_run(reason, retry_after_ms))
}
