//! The entry: requests of local callers, and calls of the local backend server.

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
use crate::desired::ActiveRoute;
use crate::errors::SendError;
use crate::traffic::InForce;
use crate::traffic::call::Call;
use crate::traffic::call::Message;
use crate::traffic::call::Progress;
use crate::traffic::caller_response::answer_response;
use crate::traffic::caller_response::refusal_response;
use crate::traffic::caller_response::status_response;
use crate::traffic::entry_account::account;
use crate::traffic::entry_account::ask_allowance;
use crate::traffic::entry_account::caller_of;
use crate::traffic::entry_account::class;
use crate::traffic::entry_account::priority;
use crate::traffic::entry_account::strip_account;
use crate::traffic::forward::forward;
use crate::traffic::passed_headers::strip_request;
use crate::traffic::story::EntryStory;
use crate::traffic::traffic::Traffic;

/// When to come back while nothing is known yet, in milliseconds.
const LATER_MS: u64 = 500;
/// The shortest time after which a request that was shed may come back, in milliseconds.
const SHED_LEAST_MS: u64 = 300;
/// Over how long those that were shed together come back.
const SHED_SPREAD_MS: u64 = 600;
/// The deadline of a request that names none and whose route is not known either.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Why a request is not forwarded.
enum Rejected {
    /// It may be sent again.
    Refusal(Refusal),
    /// Sending it again would not help.
    Status(StatusCode),
}

/// Serves one request from its arrival to its answer. Dropped, it gives the request up.
pub(super) async fn serve_caller(
    traffic: Arc<Traffic>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _in_progress = traffic.enter();
    traffic.metrics.entry_calls.inc();
    let names = &traffic.settings.header_names;
    let id = request.headers().get(&names.request_id).cloned();
    let mut story = EntryStory::new(&traffic, id);
    let progress = Progress::default();
    let response = match serve(&traffic, request, &mut story, &progress).await {
        Ok(answer) => {
            story.answered(&traffic, answer.status, &progress);
            note_route(&traffic, &story);
            answer_response(answer)
        }
        Err(Rejected::Refusal(refusal)) => {
            story.refused(&traffic, &refusal, &progress);
            refusal_response(&traffic, refusal, story.id())
        }
        Err(Rejected::Status(status)) => {
            story.rejected(&traffic, status);
            status_response(&traffic, status, story.id())
        }
    };
    let took_us = traffic.clock.now_us() - story.started_us();
    traffic.metrics.entry_latency.observe(took_us as f64 / 1e6);
    response
}

fn note_route(traffic: &Traffic, story: &EntryStory) {
    let Some(route) = story.route() else {
        return;
    };
    let took_us = traffic.clock.now_us() - story.started_us();
    let latencies = &traffic.metrics.route_latency;
    latencies.observe(route, took_us as f64 / 1e6);
}

async fn serve(
    traffic: &Arc<Traffic>,
    request: Request<Incoming>,
    story: &mut EntryStory,
    progress: &Progress,
) -> Result<WholeAnswer, Rejected> {
    let call = take(traffic, request).await?;
    story.taken(&call);
    let allowed = ask_allowance(traffic, &call).map_err(Rejected::Refusal)?;
    let answer = match admit_root(traffic, &call) {
        Ok(()) => forward(traffic, call, progress).await,
        Err(refusal) => Err(refusal),
    };
    if let (Some(account), Err(refusal)) = (allowed, &answer)
        && refusal.run_state == RunState::NotRun
    {
        traffic.allowances.give_back(account);
    }
    answer.map_err(Rejected::Refusal)
}

/// Turns a caller's own request away where a service of its call tree is pressed. A call of a backend
/// server is noted instead, for what it says of the routes that run there.
fn admit_root(traffic: &Traffic, call: &Call) -> Result<(), Refusal> {
    let now = traffic.clock.now();
    let (service, route) = (&call.service, &call.route);
    // Nothing is refused on a route of which it is not known yet who uses it.
    if call.origin == Some(RouteOrigin::Callers)
        && !traffic.roots.may_pass(now, service, route, call.priority)
    {
        return Err(shed());
    }
    if call.origin == Some(RouteOrigin::Backends) {
        let parents = traffic.running.all();
        traffic.roots.note_child(now, &parents, service, route);
    }
    Ok(())
}

/// Takes in a whole request and classifies it.
async fn take(traffic: &Arc<Traffic>, request: Request<Incoming>) -> Result<Call, Rejected> {
    let now = traffic.clock.now();
    let (mut parts, body) = request.into_parts();
    let in_force = traffic.desired.load();
    let asked_ms = asked_deadline_ms(traffic, &parts.headers)?;
    let found = in_force
        .as_ref()
        .and_then(|in_force| find(in_force, &parts.headers, parts.uri.path()).cloned());
    let most_ms = found.as_ref().map(|found| found.route.timeout_ms);
    let left_ms = shorter(asked_ms, most_ms).unwrap_or(DEFAULT_DEADLINE_MS);
    let deadline = now + left_ms;
    let body = take_body(traffic, body, left_ms).await?;
    if traffic.entry_closed.load(Ordering::Relaxed) {
        return Err(not_run(RefusalReason::Draining));
    }
    let in_force = in_force.ok_or_else(|| not_run(RefusalReason::NoPreset))?;
    let found = found.ok_or(Rejected::Status(StatusCode::NOT_FOUND))?;
    let route = &found.route.name;
    let caller = caller_of(traffic, &in_force, &found, &parts.headers);
    let caller = caller.map_err(Rejected::Refusal)?;
    let is_certain_origin = !matches!(caller, Caller::Anonymous);
    let origin = match &caller {
        Caller::Account(..) => Some(RouteOrigin::Callers),
        Caller::Backend => Some(RouteOrigin::Backends),
        Caller::Anonymous => traffic.origins.of(route),
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
) -> Option<&'a Arc<ActiveRoute>> {
    let host = headers.get(HOST)?.to_str().ok()?;
    in_force.routes.find(host, path)
}

fn asked_deadline_ms(traffic: &Traffic, headers: &HeaderMap) -> Result<Option<u64>, Rejected> {
    let Some(value) = headers.get(&traffic.settings.header_names.deadline_ms) else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    let asked_ms = text.and_then(|text| text.trim().parse::<f64>().ok());
    asked_ms
        .filter(|ms| ms.is_finite() && *ms >= 0.0)
        .map(|ms| Some(ms as u64))
        .ok_or(Rejected::Status(StatusCode::BAD_REQUEST))
}

async fn take_body(traffic: &Traffic, body: Incoming, left_ms: u64) -> Result<Bytes, Rejected> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let most_bytes = traffic.desired.limits().max_body_bytes;
    let reading = read_whole(body, most_bytes, &traffic.bodies);
    match timeout(Duration::from_millis(left_ms), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(SendError::TooLong { .. })) => Err(Rejected::Status(StatusCode::PAYLOAD_TOO_LARGE)),
        Ok(Err(SendError::NoMemory { .. })) => Err(not_run(RefusalReason::BodyMemory)),
        Ok(Err(_)) => Err(Rejected::Status(StatusCode::BAD_REQUEST)),
        Err(_) => Err(Rejected::Status(StatusCode::REQUEST_TIMEOUT)),
    }
}

/// A refusal before any work, because a service deep down is pressed. Callers come back spread over
/// a while, early enough for an answer that is still worth something.
fn shed() -> Refusal {
    let retry_after_ms = SHED_LEAST_MS + fastrand::u64(..SHED_SPREAD_MS);
    Refusal::not_run(RefusalReason::ShedAtEntry, retry_after_ms)
}

fn not_run(reason: RefusalReason) -> Rejected {
    let retry_after_ms = LATER_MS + fastrand::u64(..LATER_MS);
    Rejected::Refusal(Refusal::not_run(reason, retry_after_ms))
}
