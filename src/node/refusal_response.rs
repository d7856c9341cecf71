//! The response to a refused call. It is sent at once and states when to retry. It is never delayed
//! until the caller's deadline.

use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::adapters::Body;
use crate::adapters::full_body;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RequestId;
use crate::wire::headers;

/// Builds the response to a caller whose call is refused.
pub(super) fn refusal_response(refusal: Refusal, request: Option<RequestId>) -> Response<Body> {
    let text = format!(
        "{{\"outcome\":\"{}\",\"reason\":\"{}\",\"retry_after_ms\":{}}}\n",
        refusal.run_state.as_str(),
        refusal.reason.as_str(),
        refusal.retry_after_ms,
    );
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status_of(refusal.reason);
    let map = response.headers_mut();
    map.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    map.insert(
        headers::REASON,
        HeaderValue::from_static(refusal.reason.as_str()),
    );
    set_retry_after(map, refusal.retry_after_ms);
    set_outcome(map, refusal.run_state.as_str(), request);
    response
}

/// Sets the headers for the outcome and the request identifier, which every answer has.
pub(super) fn set_outcome(map: &mut HeaderMap, outcome: &'static str, request: Option<RequestId>) {
    map.insert(headers::OUTCOME, HeaderValue::from_static(outcome));
    let Some(request) = request else {
        return;
    };
    if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
        map.insert(headers::REQUEST_ID, value);
    }
}

fn set_retry_after(map: &mut HeaderMap, retry_after_ms: u64) {
    let seconds = retry_after_ms.div_ceil(1_000).max(1);
    map.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    map.insert(headers::RETRY_AFTER_MS, HeaderValue::from(retry_after_ms));
}

fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::BackendBroke | RefusalReason::PeerVersion => StatusCode::BAD_GATEWAY,
        RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        RefusalReason::Poisoned | RefusalReason::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::AlreadyRan | RefusalReason::Revoked => StatusCode::CONFLICT,
        RefusalReason::BodyCutShort | RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
