//! The guard: the only way to the local backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::uri::PathAndQuery;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::adapters::WholeAnswer;
use crate::adapters::read_whole;
use crate::admission::OfferedCall;
use crate::admission::Pressure;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RouteOrigin;
use crate::core::Target;
use crate::core::TimeMs;
use crate::errors::SendError;
use crate::traffic::Reported;
use crate::traffic::account_check::check_account;
use crate::traffic::attempt::AttemptEnd;
use crate::traffic::attempt::GuardNews;
use crate::traffic::backend;
use crate::traffic::backend::BackendEnd;
use crate::traffic::call::Call;
use crate::traffic::call::GuardedCall;
use crate::traffic::call::Message;
use crate::traffic::call::Progress;
use crate::traffic::caller_response::answer_response;
use crate::traffic::hop::CERTAIN_PERMILLE;
use crate::traffic::hop::hop_call;
use crate::traffic::poison_watch::as_suspect;
use crate::traffic::story::GuardStory;
use crate::traffic::traffic::Traffic;
use crate::wire::HopAnswer;
use crate::wire::HopCall;
use crate::wire::headers;

/// A root may wait for one part in this of its latency objective.
const ROOT_WAIT_PART: u64 = 4;
/// When to come back after a refusal that says nothing about load, in milliseconds.
const LATER_MS: u64 = 300;

/// Serves one forwarded call. Dropped, it gives the call up.
pub(super) async fn serve_peer(
    traffic: Arc<Traffic>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _in_progress = traffic.enter();
    traffic.metrics.guard_calls.inc();
    let end = match take(&traffic, request).await {
        Ok(call) => run(&traffic, call, &Progress::default()).await,
        Err(refusal) => AttemptEnd::lost(refusal, false),
    };
    if let Some(reason) = end.reason() {
        traffic.metrics.count_guard_refusal(reason);
    }
    response(&traffic, end)
}

/// Runs a call of this node's own entry, without the network between.
pub(super) async fn run_own(
    traffic: &Arc<Traffic>,
    call: &Call,
    own: &Target,
    progress: &Progress,
) -> AttemptEnd {
    let hop = hop_call(traffic, call, own, progress.has_reached_backend());
    let message = call.message.clone();
    let guarded = guarded(traffic, message, hop, call.deadline);
    run(traffic, guarded, progress).await
}

async fn take(traffic: &Traffic, request: Request<Incoming>) -> Result<GuardedCall, Refusal> {
    let (mut parts, body) = request.into_parts();
    let hop = HopCall::from_headers(&parts.headers).map_err(|error| {
        log::warn!("guard: a call cannot be read, error={error}");
        not_run(RefusalReason::PeerVersion)
    })?;
    let left = Duration::from_millis(u64::from(hop.deadline_left_ms));
    let deadline = traffic.clock.now() + u64::from(hop.deadline_left_ms);
    let most_bytes = traffic.desired.limits().max_body_bytes;
    let body = timeout(left, read_whole(body, most_bytes, &traffic.bodies))
        .await
        .map_err(|_| not_run(RefusalReason::DeadlineExceeded))?
        .map_err(|error| match error {
            SendError::NoMemory { .. } => not_run(RefusalReason::BodyMemory),
            _ => not_run(RefusalReason::BodyCutShort),
        })?;
    for name in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        parts.headers.remove(name);
    }
    parts.headers.remove(headers::HOP);
    let path_and_query = parts.uri.path_and_query().cloned();
    let message = Message {
        method: parts.method,
        path_and_query: path_and_query.unwrap_or_else(|| PathAndQuery::from_static("/")),
        headers: parts.headers,
        body,
    };
    Ok(guarded(traffic, message, hop, deadline))
}

fn guarded(traffic: &Traffic, message: Message, hop: HopCall, deadline: TimeMs) -> GuardedCall {
    let id = message
        .headers
        .get(&traffic.settings.header_names.request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("");
    GuardedCall {
        suspect: as_suspect(&message, &hop.caller_service, id),
        message,
        hop,
        deadline,
    }
}

/// Waits for admission and runs the call.
async fn run(traffic: &Arc<Traffic>, call: GuardedCall, progress: &Progress) -> AttemptEnd {
    let route = call.hop.route.clone();
    let story = GuardStory::new(traffic, &call);
    let origin = note_origin(traffic, &call.hop);
    take_word(traffic, &call.hop);
    let refusal = refuse_root(traffic, &call, origin).or_else(|| refuse_repeat(traffic, &call));
    let end = match refusal {
        Some(refusal) => BackendEnd::not_sent(refusal),
        None => admit_and_run(traffic, call, progress).await,
    };
    let end = AttemptEnd {
        result: end.result,
        reached_backend: end.reached_backend,
        news: Some(news(traffic, &route, origin)),
    };
    story.ended(traffic, &end);
    end
}

/// Takes over what the caller's entry was told of the local backend server.
fn take_word(traffic: &Traffic, hop: &HopCall) {
    let Some(word) = &hop.word else {
        return;
    };
    let now = traffic.clock.now();
    traffic.change_local(|local| {
        let reported = local.take_word(now, word);
        if reported == Reported::News {
            log::info!(
                "local: told by an entry, incarnation={} leaving={} rate_milli={:?}",
                word.incarnation,
                word.is_leaving,
                word.rate_milli
            );
        }
        reported
    });
}

fn note_origin(traffic: &Traffic, hop: &HopCall) -> Option<RouteOrigin> {
    if hop.is_certain_origin {
        return hop.origin;
    }
    let view = traffic.view.load();
    let origins = &traffic.origins;
    let origin = origins.note(&view, &traffic.settings.domain, hop);
    origins.take(&hop.route, origin);
    origin
}

/// Guards against roots that queue while their entries still believe that there is room: those hear
/// of the pressure only with answers, and answers come late when everything waits. Nothing has been
/// done for a root yet, so it is refused at once, and with the refusal its entry hears.
fn refuse_root(
    traffic: &Traffic,
    call: &GuardedCall,
    origin: Option<RouteOrigin>,
) -> Option<Refusal> {
    if origin != Some(RouteOrigin::Callers) {
        return None;
    }
    let wait_ms = traffic.gate.expected_wait_ms();
    let most_ms = u64::from(call.hop.objective_ms) / ROOT_WAIT_PART;
    if wait_ms <= most_ms {
        return None;
    }
    let later_ms = wait_ms + fastrand::u64(..wait_ms.max(1));
    Some(Refusal::not_run(RefusalReason::Overloaded, later_ms))
}

/// Refuses a repeat whose calls could not be paid for; see [`crate::retry::WindowBudget::has_remaining`].
fn refuse_repeat(traffic: &Traffic, call: &GuardedCall) -> Option<Refusal> {
    if call.hop.repeated_permille < CERTAIN_PERMILLE {
        return None;
    }
    let now = traffic.clock.now();
    let behind = traffic.roots.services_behind(now, &call.hop.route);
    let is_spent = |service: &Name| !traffic.budgets.has_left(now, service);
    behind
        .iter()
        .any(is_spent)
        .then(|| not_run(RefusalReason::RepeatsSpent))
}

async fn admit_and_run(
    traffic: &Arc<Traffic>,
    call: GuardedCall,
    progress: &Progress,
) -> BackendEnd {
    if let Err(refusal) = may_run(traffic, &call) {
        return BackendEnd::not_sent(refusal);
    }
    let now = traffic.clock.now();
    let queued = OfferedCall {
        ticket: 0,
        priority: call.hop.priority,
        depth: 0,
        wait_ms: call.deadline.since(now) as u32,
        due: now + u64::from(call.hop.objective_ms),
        deadline: call.deadline,
    };
    let arrived_us = traffic.clock.now_us();
    traffic.follow_desired();
    let permit = match traffic.gate.admit(queued).await {
        Ok(permit) => permit,
        Err(refusal) => return BackendEnd::not_sent(refusal),
    };
    let waited_us = permit.since_us.saturating_sub(arrived_us);
    traffic.metrics.guard_wait.observe(waited_us as f64 / 1e6);
    // Both may have changed while the call waited.
    match may_run(traffic, &call) {
        Ok(incarnation) => backend::run(traffic, call, incarnation, permit, progress).await,
        Err(refusal) => BackendEnd::not_sent(refusal),
    }
}

/// The incarnation that may be sent the call, unless it would crash it or is not allowed any more.
fn may_run(traffic: &Traffic, call: &GuardedCall) -> Result<Name, Refusal> {
    check_account(traffic, call.hop.account.as_ref())?;
    let incarnation = incarnation(traffic, call)?;
    if traffic.poison.is_harmless(&call.suspect) {
        return Ok(incarnation);
    }
    log::warn!(
        "poison: refused, fingerprint={:016x}",
        call.suspect.fingerprint
    );
    Err(not_run(RefusalReason::Poisoned))
}

/// The incarnation of the backend server that may be sent the call.
fn incarnation(traffic: &Traffic, call: &GuardedCall) -> Result<Name, Refusal> {
    if *traffic.guard_closed.borrow() {
        return Err(not_run(RefusalReason::Draining));
    }
    let local = traffic.local();
    if local
        .service()
        .is_some_and(|service| *service != call.hop.service)
    {
        return Err(not_run(RefusalReason::NoTarget));
    }
    match local.takes_work(&call.hop.service) {
        Some(incarnation) => Ok(incarnation.clone()),
        None if local.leaving().is_some() => Err(not_run(RefusalReason::Draining)),
        None => Err(not_run(RefusalReason::BackendDown)),
    }
}

fn news(traffic: &Traffic, route: &str, origin: Option<RouteOrigin>) -> GuardNews {
    let now = traffic.clock.now();
    let own = Pressure {
        service: traffic.settings.service.clone(),
        permille: traffic.gate.pressure_permille(),
    };
    GuardNews {
        load: traffic.gate.load(),
        failing_permille: traffic.failing_permille(now),
        pressure: traffic.roots.on_answer(now, route, own),
        origin,
        word: traffic.local().word(),
    }
}

fn response(traffic: &Traffic, end: AttemptEnd) -> Response<Full<Bytes>> {
    let news = end.news.unwrap_or_else(|| news(traffic, "", None));
    let header = HopAnswer {
        refusal: end.result.as_ref().err().copied(),
        reached_backend: end.reached_backend,
        pressure: news.pressure,
        origin: news.origin,
        load: news.load,
        failing_permille: news.failing_permille,
        word: news.word,
    };
    let refused = || WholeAnswer {
        status: StatusCode::SERVICE_UNAVAILABLE,
        headers: http::HeaderMap::new(),
        body: Bytes::new(),
    };
    let mut response = answer_response(end.result.unwrap_or_else(|_| refused()));
    match HeaderValue::from_str(&header.encode()) {
        Ok(value) => {
            response.headers_mut().insert(headers::HOP_ANSWER, value);
        }
        Err(error) => log::error!("guard: a header cannot be written, error={error}"),
    }
    response
}

pub(super) fn not_run(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, LATER_MS + fastrand::u64(..LATER_MS))
}
