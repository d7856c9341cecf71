//! The entry: requests of local callers, and calls of the local backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::HOST;
use http::uri::PathAndQuery;
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::accounts::AccountId;
use crate::accounts::Caller;
use crate::accounts::Identity;
use crate::accounts::Presented;
use crate::accounts::Ranking;
use crate::accounts::identify;
use crate::adapters::WholeAnswer;
use crate::adapters::read_whole;
use crate::core::Priority;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RequestId;
use crate::core::RouteOrigin;
use crate::core::RunState;
use crate::desired::RouteInForce;
use crate::errors::SendError;
use crate::traffic::HeaderNames;
use crate::traffic::InForce;
use crate::traffic::call::Call;
use crate::traffic::call::Message;
use crate::traffic::call::Progress;
use crate::traffic::caller_response::answer_response;
use crate::traffic::caller_response::refusal_response;
use crate::traffic::caller_response::status_response;
use crate::traffic::forward::forward;
use crate::traffic::passed_headers::strip_request;
use crate::traffic::story::EntryStory;
use crate::traffic::story::tell_beyond;
use crate::traffic::traffic::Traffic;
use crate::wire::CallAccount;

/// When to come back while nothing is known yet, in milliseconds.
const LATER_MS: u64 = 500;
/// The shortest time after which a request that was shed may come back, in milliseconds.
const SHED_LEAST_MS: u64 = 300;
/// Over how long those that were shed together come back.
const SHED_SPREAD_MS: u64 = 600;
/// The deadline of a request that names none and whose route is not known either.
const DEFAULT_DEADLINE_MS: u64 = 10_000;
/// The class of calls of backend servers: work has been done for them already, so they go before
/// every caller's own request.
const DEEP_CLASS: u8 = 0;

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
    let allowed = ask_allowance(traffic, &call)?;
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

/// Turns a request away that is beyond its account's allowance. Answers from which account it took a part.
fn ask_allowance(traffic: &Traffic, call: &Call) -> Result<Option<AccountId>, Rejected> {
    let Some(account) = &call.account else {
        return Ok(None);
    };
    let in_force = traffic.desired.load();
    let accounts = in_force
        .as_ref()
        .and_then(|in_force| in_force.accounts.as_ref());
    let allowance = accounts.and_then(|accounts| accounts.named(&account.name)?.allowance);
    let Some(allowance) = allowance else {
        return Ok(None);
    };
    let id = AccountId::of(&account.name);
    let asked = traffic.allowances.ask(traffic.clock.now(), id, allowance);
    asked.map(|()| Some(id)).map_err(|beyond| {
        tell_beyond(traffic, account, allowance, beyond);
        let refusal = Refusal::not_run(RefusalReason::AllowanceSpent, beyond.retry_after_ms);
        Rejected::Refusal(refusal)
    })
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
    let caller = caller_of(traffic, &in_force, &found, &parts.headers)?;
    let is_certain_origin = !matches!(caller, Caller::Anybody);
    let origin = match &caller {
        Caller::Account(..) => Some(RouteOrigin::Callers),
        Caller::Backend => Some(RouteOrigin::Backends),
        Caller::Anybody => traffic.origins.of(route),
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
) -> Option<&'a Arc<RouteInForce>> {
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

/// Whose a request is, by its key.
fn caller_of(
    traffic: &Traffic,
    in_force: &InForce,
    found: &RouteInForce,
    headers: &HeaderMap,
) -> Result<Caller, Rejected> {
    let route = &found.route;
    let identity = Identity {
        accounts: in_force.accounts.as_ref(),
        route_is_public: route.is_public,
        route_is_callers: traffic.keyed_routes.contains(&route.name),
        presented: presented(headers, &traffic.settings.header_names.account_key),
    };
    let caller = identify(identity).map_err(not_run)?;
    if matches!(caller, Caller::Account(..)) {
        if !traffic.keys_hold() {
            return Err(not_run(RefusalReason::AccountKeysUnsure));
        }
        traffic.keyed_routes.note(&route.name);
    }
    Ok(caller)
}

fn presented<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Presented<'a> {
    let mut keys = headers.get_all(name).iter();
    match (keys.next(), keys.next()) {
        (None, _) => Presented::None,
        (Some(key), None) => Presented::One(key.as_bytes()),
        (Some(_), Some(_)) => Presented::Several,
    }
}

/// A key ends here, and only this program says whose a request is.
fn strip_account(names: &HeaderNames, headers: &mut HeaderMap) {
    headers.remove(&names.account_key);
    headers.remove(&names.account);
}

fn account(caller: Caller, in_force: &InForce) -> Option<CallAccount> {
    let Caller::Account(account, key) = caller else {
        return None;
    };
    Some(CallAccount {
        name: account.name.clone(),
        key,
        version: in_force.state.version,
    })
}

/// Calls of backend servers first, then callers' requests by the ranks of account and route.
fn class(
    ranking: &Ranking,
    found: &RouteInForce,
    origin: Option<RouteOrigin>,
    caller: &Caller,
) -> u8 {
    if origin == Some(RouteOrigin::Backends) {
        return DEEP_CLASS;
    }
    let of_account = match caller {
        Caller::Account(account, _) => account.rank,
        Caller::Backend | Caller::Anybody => None,
    };
    let place = ranking.place(of_account, found.route.rank);
    place.saturating_add(DEEP_CLASS + 1)
}

/// Within a class, requests are ranked by their identifiers, so that every node keeps the same.
fn priority(traffic: &Traffic, class: u8, headers: &HeaderMap) -> Priority {
    let id = headers.get(&traffic.settings.header_names.request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("");
    Priority::new(class, RequestId::of_key("", id).rank())
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
