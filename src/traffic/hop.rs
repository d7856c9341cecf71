//! Sends a call to the guard of a target on another node.

use std::sync::Arc;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::header::CONTENT_LENGTH;
use http_body_util::Full;

use crate::adapters::WholeAnswer;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::Target;
use crate::errors::SendError;
use crate::traffic::attempt::AttemptEnd;
use crate::traffic::attempt::GuardStatus;
use crate::traffic::call::Call;
use crate::traffic::call::Progress;
use crate::traffic::traffic::Traffic;
use crate::wire::HopAnswer;
use crate::wire::HopCall;
use crate::wire::headers;

/// How much earlier the deadline passes at the guard than here, in milliseconds. The guard knows
/// whether the call ran and a time-out here does not, so its answer gets time to arrive.
const GUARD_MARGIN_MS: u64 = 15;
/// Retry-after when the connection to a target was lost, in milliseconds.
const LOST_RETRY_AFTER_MS: u64 = 200;

/// The retry probability of a call that is certainly a retry, in thousandths.
pub(super) const CERTAIN_RETRY_PERMILLE: u16 = 1_000;

/// Builds the context of a call for the guard of its target.
///
/// `is_retry` means that an earlier attempt may have reached a backend server.
pub(super) fn hop_call(traffic: &Traffic, call: &Call, target: &Target, is_retry: bool) -> HopCall {
    let deadline = call.deadline - GUARD_MARGIN_MS;
    HopCall {
        service: call.service.clone(),
        route: call.route.clone(),
        caller_service: call.caller_service.clone(),
        is_same_domain: target.domain == traffic.settings.domain,
        origin: call.origin,
        is_certain_origin: call.is_certain_origin,
        account: call.account.clone(),
        priority: call.priority,
        objective_ms: call.objective_ms,
        repeated_permille: if is_retry {
            CERTAIN_RETRY_PERMILLE
        } else {
            call.repeated_permille
        },
        deadline_left_ms: deadline.since(traffic.clock.now()) as u32,
        advertisement: traffic.advertisement_cache().get(&target.node).cloned(),
    }
}

/// Sends a call and waits for the guard's answer.
pub(super) async fn send(
    traffic: &Arc<Traffic>,
    call: &Call,
    target: &Target,
    progress: &Progress,
) -> AttemptEnd {
    let is_retry = progress.has_reached_backend();
    let Some(request) = request(traffic, call, target, is_retry) else {
        return AttemptEnd::without_status(Refusal::not_run(RefusalReason::BadRequest, 0), false);
    };
    let transmission = progress.start_sending();
    let is_guard = |response: &http::Response<hyper::body::Incoming>| {
        response.headers().contains_key(headers::HOP_ANSWER)
    };
    match traffic
        .peers
        .send_tracked(target.peer_address, request, &transmission, is_guard)
        .await
    {
        Ok(answer) => take_answer(traffic, &call.message.method, answer),
        Err(error) => {
            log::debug!(
                "entry: call to a peer failed, peer={} error={error}",
                target.node
            );
            lost(&error)
        }
    }
}

fn request(
    traffic: &Traffic,
    call: &Call,
    target: &Target,
    is_retry: bool,
) -> Option<Request<Full<bytes::Bytes>>> {
    let message = &call.message;
    let mut request = Request::new(Full::new(message.body.clone()));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.path_and_query.clone().into();
    let mut map = message.headers.clone();
    // The hop header carries the remaining time. The guard sets this header again.
    map.remove(&traffic.settings.header_names.deadline_ms);
    let value = HeaderValue::from_str(&hop_call(traffic, call, target, is_retry).encode()).ok()?;
    map.insert(headers::HOP, value);
    if let Some(ends_at) = traffic.admission_ends_at.get() {
        let max_wait_ms = ends_at.since(traffic.clock.now());
        map.insert(headers::MAX_WAIT_MS, HeaderValue::from(max_wait_ms));
    }
    *request.headers_mut() = map;
    Some(request)
}

fn take_answer(traffic: &Traffic, method: &Method, mut answer: WholeAnswer) -> AttemptEnd {
    let hop = match HopAnswer::from_headers(&answer.headers) {
        Ok(hop) => hop,
        Err(error) => {
            traffic.metrics.wrong_answers.inc();
            log::warn!("entry: answer with an invalid hop header dropped, error={error}");
            return AttemptEnd::without_status(unknown(), true);
        }
    };
    strip(&mut answer.headers, method);
    let result = match hop.refusal {
        Some(refusal) => Err(refusal),
        None => Ok(answer),
    };
    AttemptEnd {
        result,
        reached_backend: hop.reached_backend,
        guard_status: Some(GuardStatus {
            load: hop.load,
            failing_permille: hop.failing_permille,
            pressure: hop.pressure,
            origin: hop.origin,
            advertisement: hop.advertisement,
        }),
    }
}

/// Removes the headers added by the hop. The guard has removed those of its own connection.
fn strip(map: &mut HeaderMap, method: &Method) {
    map.remove(headers::HOP_ANSWER);
    map.remove(http::header::CONNECTION);
    if *method != Method::HEAD {
        map.remove(CONTENT_LENGTH);
    }
}

/// The end of an attempt at a target that became unreachable. The call may have run.
pub(super) fn lost_unreachable() -> AttemptEnd {
    AttemptEnd::without_status(unknown(), true)
}

/// The end of an attempt at a target that became unreachable before anything was sent to it.
pub(super) fn unsent_unreachable() -> AttemptEnd {
    let retry_after_ms = LOST_RETRY_AFTER_MS + fastrand::u64(..LOST_RETRY_AFTER_MS);
    let refusal = Refusal::not_run(RefusalReason::PeerLost, retry_after_ms);
    AttemptEnd::without_status(refusal, false)
}

fn lost(error: &SendError) -> AttemptEnd {
    if error.is_unsent() {
        return unsent_unreachable();
    }
    AttemptEnd::without_status(unknown(), true)
}

fn unknown() -> Refusal {
    Refusal::unknown(RefusalReason::PeerLost, LOST_RETRY_AFTER_MS)
}
