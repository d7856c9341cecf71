//! Handing a call to the guard of a target on another node.

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
use crate::traffic::attempt::GuardNews;
use crate::traffic::call::Call;
use crate::traffic::call::Progress;
use crate::traffic::traffic::Traffic;
use crate::wire::HopAnswer;
use crate::wire::HopCall;
use crate::wire::headers;

/// How much earlier than here the deadline comes at the guard: its own word that a call was not
/// run says more than a time-out here, so it gets the time to arrive.
const GUARD_MARGIN_MS: u64 = 15;
/// When to come back after a target was lost, in milliseconds.
const LOST_RETRY_AFTER_MS: u64 = 200;

/// A call that is certainly a repeat.
pub(super) const CERTAIN_PERMILLE: u16 = 1_000;

/// The context of a call for the guard of its target.
///
/// `is_repeat` says that a backend server may have been sent the call before.
pub(super) fn hop_call(
    traffic: &Traffic,
    call: &Call,
    target: &Target,
    is_repeat: bool,
) -> HopCall {
    let deadline = call.deadline - GUARD_MARGIN_MS;
    HopCall {
        service: call.service.clone(),
        route: call.route.clone(),
        caller_service: traffic.settings.service.clone(),
        is_same_domain: target.domain == traffic.settings.domain,
        origin: call.origin,
        is_certain_origin: call.is_certain_origin,
        account: call.account.clone(),
        priority: call.priority,
        objective_ms: call.objective_ms,
        repeated_permille: if is_repeat {
            CERTAIN_PERMILLE
        } else {
            call.repeated_permille
        },
        deadline_left_ms: deadline.since(traffic.clock.now()) as u32,
        advertisement: traffic.told_words().of(&target.node).cloned(),
    }
}

/// Sends a call and waits for the guard's answer.
pub(super) async fn send(
    traffic: &Arc<Traffic>,
    call: &Call,
    target: &Target,
    progress: &Progress,
) -> AttemptEnd {
    let is_repeat = progress.has_reached_backend();
    let Some(request) = request(traffic, call, target, is_repeat) else {
        return AttemptEnd::lost(Refusal::not_run(RefusalReason::BadRequest, 0), false);
    };
    progress.sent();
    let is_guard = |response: &http::Response<hyper::body::Incoming>| {
        response.headers().contains_key(headers::HOP_ANSWER)
    };
    match traffic
        .peers
        .send(target.peer_address, request, is_guard)
        .await
    {
        Ok(answer) => take_answer(traffic, &call.message.method, answer),
        Err(error) => {
            log::debug!("entry: lost a peer, peer={} error={error}", target.node);
            lost(&error)
        }
    }
}

fn request(
    traffic: &Traffic,
    call: &Call,
    target: &Target,
    is_repeat: bool,
) -> Option<Request<Full<bytes::Bytes>>> {
    let message = &call.message;
    let mut request = Request::new(Full::new(message.body.clone()));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.path_and_query.clone().into();
    let mut map = message.headers.clone();
    // The hop carries what is left, and the guard writes the header anew.
    map.remove(&traffic.settings.header_names.deadline_ms);
    let value = HeaderValue::from_str(&hop_call(traffic, call, target, is_repeat).encode()).ok()?;
    map.insert(headers::HOP, value);
    *request.headers_mut() = map;
    Some(request)
}

fn take_answer(traffic: &Traffic, method: &Method, mut answer: WholeAnswer) -> AttemptEnd {
    let hop = match HopAnswer::from_headers(&answer.headers) {
        Ok(hop) => hop,
        Err(error) => {
            traffic.metrics.wrong_answers.inc();
            log::warn!("entry: dropped a wrong answer, error={error}");
            return AttemptEnd::lost(unknown(), true);
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
        news: Some(GuardNews {
            load: hop.load,
            failing_permille: hop.failing_permille,
            pressure: hop.pressure,
            origin: hop.origin,
            word: hop.advertisement,
        }),
    }
}

/// The guard has removed what concerned its own connection; this removes what the hop added.
fn strip(map: &mut HeaderMap, method: &Method) {
    map.remove(headers::HOP_ANSWER);
    map.remove(http::header::CONNECTION);
    if *method != Method::HEAD {
        map.remove(CONTENT_LENGTH);
    }
}

/// The end of an attempt at a target that cannot be reached any more; it may have run.
pub(super) fn lost_in_silence() -> AttemptEnd {
    AttemptEnd::lost(unknown(), true)
}

fn lost(error: &SendError) -> AttemptEnd {
    let retry_after_ms = LOST_RETRY_AFTER_MS + fastrand::u64(..LOST_RETRY_AFTER_MS);
    if error.is_unsent() {
        let refusal = Refusal::not_run(RefusalReason::PeerLost, retry_after_ms);
        return AttemptEnd::lost(refusal, false);
    }
    AttemptEnd::lost(unknown(), true)
}

fn unknown() -> Refusal {
    Refusal::unknown(RefusalReason::PeerLost, LOST_RETRY_AFTER_MS)
}
