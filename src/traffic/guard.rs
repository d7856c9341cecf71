//! The guard: every request to the local backend server passes through it.

use std::pin::pin;
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
use crate::node::permit::Permit;
use crate::traffic::LocalChange;
use crate::traffic::account_check::check_account;
use crate::traffic::attempt::AttemptEnd;
use crate::traffic::attempt::GuardStatus;
use crate::traffic::backend;
use crate::traffic::backend::BackendEnd;
use crate::traffic::call::Call;
use crate::traffic::call::GuardedCall;
use crate::traffic::call::Message;
use crate::traffic::call::Progress;
use crate::traffic::caller_response::answer_response;
use crate::traffic::hop::CERTAIN_RETRY_PERMILLE;
use crate::traffic::hop::hop_call;
use crate::traffic::poison_watch::as_suspect;
use crate::traffic::request_log::GuardLog;
use crate::traffic::traffic::Traffic;
use crate::wire::HopAnswer;
use crate::wire::HopCall;
use crate::wire::headers;

/// The maximum expected wait of a root request is its latency objective divided by this.
const ROOT_WAIT_DIVISOR: u64 = 4;
/// Retry-after of a refusal that does not depend on load, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 300;

/// Serves one forwarded call. Dropping the future abandons the call.
pub(super) async fn serve_peer(
    traffic: Arc<Traffic>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _in_progress = traffic.enter();
    traffic.metrics.guard_calls.inc();
    let end = match read_call(&traffic, request).await {
        Ok(call) => run(&traffic, call, &Progress::default()).await,
        Err(refusal) => AttemptEnd::without_status(refusal, false),
    };
    if let Some(reason) = end.reason() {
        traffic.metrics.count_guard_refusal(reason);
    }
    response(&traffic, end)
}

/// Runs a call of this node's own entry, without the network hop.
pub(super) async fn run_own(
    traffic: &Arc<Traffic>,
    call: &Call,
    own: &Target,
    progress: &Progress,
) -> AttemptEnd {
    let hop = hop_call(traffic, call, own, progress.has_reached_backend());
    let message = call.message.clone();
    let wait_until = traffic.admission_ends_at.get().copied();
    let guarded = guarded(traffic, message, hop, call.deadline, wait_until);
    run(traffic, guarded, progress).await
}

async fn read_call(traffic: &Traffic, request: Request<Incoming>) -> Result<GuardedCall, Refusal> {
    let (mut parts, body) = request.into_parts();
    let hop = HopCall::from_headers(&parts.headers).map_err(|error| {
        log::warn!("guard: invalid hop header in a call, error={error}");
        not_run(RefusalReason::PeerVersion)
    })?;
    let left = Duration::from_millis(u64::from(hop.deadline_left_ms));
    let deadline = traffic.clock.now() + u64::from(hop.deadline_left_ms);
    let max_bytes = traffic.desired.limits().max_body_bytes;
    let body = timeout(left, read_whole(body, max_bytes, &traffic.bodies))
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
    let max_wait_ms = parts.headers.remove(headers::MAX_WAIT_MS);
    let max_wait_ms = max_wait_ms.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let wait_until = max_wait_ms.map(|max_wait_ms| traffic.clock.now() + max_wait_ms);
    let path_and_query = parts.uri.path_and_query().cloned();
    let message = Message {
        method: parts.method,
        path_and_query: path_and_query.unwrap_or_else(|| PathAndQuery::from_static("/")),
        headers: parts.headers,
        body,
    };
    Ok(guarded(traffic, message, hop, deadline, wait_until))
}

fn guarded(
    traffic: &Traffic,
    message: Message,
    hop: HopCall,
    deadline: TimeMs,
    wait_until: Option<TimeMs>,
) -> GuardedCall {
    let id = message
        .headers
        .get(&traffic.settings.header_names.request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("");
    GuardedCall {
        suspect: as_suspect(&message, &hop.caller_service, id),
        message,
        hop,
        deadline,
        admission_deadline: wait_until.map_or(deadline, |until| until.min(deadline)),
    }
}

/// Waits for admission and runs the call.
async fn run(traffic: &Arc<Traffic>, call: GuardedCall, progress: &Progress) -> AttemptEnd {
    let route = call.hop.route.clone();
    let request_log = GuardLog::new(traffic, &call);
    let origin = record_origin(traffic, &call.hop);
    apply_advertisement(traffic, &call.hop);
    let refusal = refuse_root(traffic, &call, origin).or_else(|| refuse_retry(traffic, &call));
    let end = match refusal {
        Some(refusal) => BackendEnd::not_sent(refusal),
        None => admit_and_run(traffic, call, progress).await,
    };
    let end = AttemptEnd {
        result: end.result,
        reached_backend: end.reached_backend,
        guard_status: Some(guard_status(traffic, &route, origin)),
    };
    request_log.ended(traffic, &end);
    end
}

/// Applies the local backend server's advertisement that the sending entry has cached, if any.
fn apply_advertisement(traffic: &Traffic, hop: &HopCall) {
    let Some(advertisement) = &hop.advertisement else {
        return;
    };
    let now = traffic.clock.now();
    traffic.update_local(|local| {
        let change = local.apply_advertisement(now, advertisement);
        if change == LocalChange::Changed {
            log::info!(
                "local: advertisement relayed by an entry, incarnation={} leaving={} \
                 rate_milli={:?}",
                advertisement.incarnation,
                advertisement.is_leaving,
                advertisement.rate_milli
            );
        }
        change
    });
}

fn record_origin(traffic: &Traffic, hop: &HopCall) -> Option<RouteOrigin> {
    if hop.is_certain_origin {
        return hop.origin;
    }
    let view = traffic.view.load();
    let origins = &traffic.origins;
    let origin = origins.record_call(&view, &traffic.settings.domain, hop);
    origins.learn(&hop.route, origin);
    origin
}

/// Refuses a root request whose expected wait is too long for its latency objective.
///
/// Entries learn of pressure only from answers, and answers are late when calls queue. Without this
/// check, entries keep admitting roots into the queue. No work has been done for a root yet, and
/// its refusal carries the pressure to the entry at once.
fn refuse_root(
    traffic: &Traffic,
    call: &GuardedCall,
    origin: Option<RouteOrigin>,
) -> Option<Refusal> {
    if origin != Some(RouteOrigin::Callers) {
        return None;
    }
    let wait_ms = traffic.gate.expected_wait_ms();
    let max_ms = u64::from(call.hop.objective_ms) / ROOT_WAIT_DIVISOR;
    if wait_ms <= max_ms {
        return None;
    }
    let retry_after_ms = wait_ms + fastrand::u64(..wait_ms.max(1));
    Some(Refusal::not_run(RefusalReason::Overloaded, retry_after_ms))
}

/// Refuses a retry if the budget of a downstream service is spent; see
/// [`crate::retry::WindowBudget::has_remaining`].
fn refuse_retry(traffic: &Traffic, call: &GuardedCall) -> Option<Refusal> {
    if call.hop.repeated_permille < CERTAIN_RETRY_PERMILLE {
        return None;
    }
    let now = traffic.clock.now();
    let downstream = traffic.roots.downstream_services(now, &call.hop.route);
    let is_spent = |service: &Name| !traffic.budgets.has_remaining(now, service);
    downstream
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
        wait_ms: call.admission_deadline.since(now) as u32,
        due: now + u64::from(call.hop.objective_ms),
        deadline: call.admission_deadline,
    };
    let arrived_us = traffic.clock.now_us();
    traffic.apply_desired_limits();
    let permit = match admit(traffic, queued).await {
        Ok(permit) => permit,
        Err(refusal) => return BackendEnd::not_sent(refusal),
    };
    let waited_us = permit.since_us.saturating_sub(arrived_us);
    traffic.metrics.guard_wait.observe(waited_us as f64 / 1e6);
    // The incarnation and the account's key may have changed while the call waited.
    match may_run(traffic, &call) {
        Ok(incarnation) => backend::run(traffic, call, incarnation, permit, progress).await,
        Err(refusal) => BackendEnd::not_sent(refusal),
    }
}

/// Waits for admission, at most until the call's deadline or until the guard closes.
///
/// The periodic poll of the gate may notice the deadline so late that the entry has given the call
/// up as `unknown`, although it was still in the queue. The gate is therefore polled at the
/// deadline, so its refusal gets the whole margin between the guard's and the entry's deadline.
async fn admit(traffic: &Arc<Traffic>, call: OfferedCall) -> Result<Permit, Refusal> {
    let left = Duration::from_millis(call.deadline.since(traffic.clock.now()));
    let mut guard_closed = traffic.guard_closed.subscribe();
    let mut admission = pin!(traffic.gate.admit(call));
    tokio::select! {
        admitted = timeout(left, &mut admission) => if let Ok(admitted) = admitted {
            return admitted;
        },
        // A closed guard runs nothing more, and another target still can.
        _ = guard_closed.wait_for(|is_closed| *is_closed) => {
            return Err(not_run(RefusalReason::Draining));
        }
    }
    traffic.gate.poll();
    admission.await
}

/// Returns the incarnation to send the call to, unless the account's key was revoked or the call is
/// suspected of crashing backend servers.
fn may_run(traffic: &Traffic, call: &GuardedCall) -> Result<Name, Refusal> {
    check_account(traffic, call.hop.account.as_ref())?;
    let incarnation = incarnation(traffic, call)?;
    if traffic.poison.is_allowed(&call.suspect) {
        return Ok(incarnation);
    }
    log::warn!(
        "poison: refused, fingerprint={:016x}",
        call.suspect.fingerprint
    );
    Err(not_run(RefusalReason::Poisoned))
}

/// Returns the incarnation of the backend server that accepts the call.
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
    match local.accepting_incarnation(&call.hop.service) {
        Some(incarnation) => Ok(incarnation.clone()),
        None if local.leaving().is_some() => Err(not_run(RefusalReason::Draining)),
        None => Err(not_run(RefusalReason::BackendDown)),
    }
}

fn guard_status(traffic: &Traffic, route: &str, origin: Option<RouteOrigin>) -> GuardStatus {
    let now = traffic.clock.now();
    let own = Pressure {
        service: traffic.own_service.current(),
        permille: traffic.gate.pressure_permille(),
    };
    GuardStatus {
        load: traffic.gate.load(),
        failing_permille: traffic.failing_permille(now),
        pressure: traffic.roots.for_answer(now, route, own),
        origin,
        advertisement: traffic.local().advertisement(),
    }
}

fn response(traffic: &Traffic, end: AttemptEnd) -> Response<Full<Bytes>> {
    let guard_status = end
        .guard_status
        .unwrap_or_else(|| guard_status(traffic, "", None));
    let header = HopAnswer {
        refusal: end.result.as_ref().err().copied(),
        reached_backend: end.reached_backend,
        pressure: guard_status.pressure,
        origin: guard_status.origin,
        load: guard_status.load,
        failing_permille: guard_status.failing_permille,
        advertisement: guard_status.advertisement,
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
        Err(error) => log::error!("guard: hop header cannot be encoded, error={error}"),
    }
    response
}

pub(super) fn not_run(reason: RefusalReason) -> Refusal {
    Refusal::not_run(
        reason,
        DEFAULT_RETRY_AFTER_MS + fastrand::u64(..DEFAULT_RETRY_AFTER_MS),
    )
}
