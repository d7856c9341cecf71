//! Responses to callers.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::RETRY_AFTER;
use http_body_util::Full;

use crate::adapters::WholeAnswer;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RunState;
use crate::traffic::traffic::Traffic;

/// Builds the response from a backend server's answer, unchanged.
pub(super) fn answer_response(answer: WholeAnswer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

/// Builds the response to a refused request. Only a request that certainly has not run, and will
/// not run, gets status 503 and a retry-after header.
pub(super) fn refusal_response(
    traffic: &Traffic,
    refusal: Refusal,
    request_id: Option<HeaderValue>,
) -> Response<Full<Bytes>> {
    traffic.metrics.count_entry_refusal(refusal.reason);
    let status = match (refusal.run_state, refusal.reason) {
        (RunState::NotRun, reason) if is_denied(reason) => StatusCode::UNAUTHORIZED,
        (RunState::NotRun, RefusalReason::AllowanceSpent) => StatusCode::TOO_MANY_REQUESTS,
        (RunState::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, RefusalReason::DeadlineExceeded) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let mut response = status_response(traffic, status, request_id);
    if refusal.run_state == RunState::NotRun && status != StatusCode::UNAUTHORIZED {
        let seconds = refusal.retry_after_ms as f64 / 1_000.0;
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Whether the request has no valid account key, so a retry would fail as well.
fn is_denied(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::AccountKeyUnknown
            | RefusalReason::AccountKeyMissing
            | RefusalReason::AccountKeyAmbiguous
            | RefusalReason::AccountKeyRevoked
    )
}

/// Builds a response of this node without a body.
pub(super) fn status_response(
    traffic: &Traffic,
    status: StatusCode,
    request_id: Option<HeaderValue>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    if let Some(id) = request_id {
        let name = traffic.settings.header_names.request_id.clone();
        response.headers_mut().insert(name, id);
    }
    response
}
