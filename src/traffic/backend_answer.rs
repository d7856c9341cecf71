//! Whether what came from the backend server is its answer to this very call.

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_ENCODING;
use hyper::body::Incoming;

use crate::adapters::WholeAnswer;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::traffic::HeaderNames;
use crate::traffic::guard::not_run;
use crate::traffic::traffic::Traffic;

/// Whether an answer bears the identifier of the call.
///
/// Guards against a second answer to an earlier request, which a faulty backend server sends when
/// the next one is due: it would go to another caller. The connection is not used again.
pub(super) fn is_for(
    names: &HeaderNames,
    id: Option<&HeaderValue>,
    response: &Response<Incoming>,
) -> bool {
    response.headers().get(&names.request_id) == id
}

/// Checks a whole answer.
///
/// # Errors
/// `not_run` where the backend server says so; otherwise the outcome is unknown.
pub(super) fn check(
    traffic: &Traffic,
    incarnation: &Name,
    id: Option<&HeaderValue>,
    answer: &WholeAnswer,
) -> Result<(), Refusal> {
    let names = &traffic.settings.header_names;
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        note_actual(traffic, incarnation, answer);
        return Err(not_run(RefusalReason::BackendReplaced));
    }
    if answer.headers.get(&names.request_id) != id {
        traffic.metrics.wrong_answers.inc();
        log::warn!("guard: an answer to another request was dropped");
        return Err(broke());
    }
    if answer.headers.contains_key(&names.not_run) {
        return Err(not_run(RefusalReason::BackendShed));
    }
    let is_success = answer.status.is_success();
    let is_signed = answer.headers.contains_key(&names.signature);
    if answer.headers.contains_key(CONTENT_ENCODING) || (is_success && !is_signed) {
        traffic.metrics.broken_answers.inc();
        return Err(broke());
    }
    Ok(())
}

fn note_actual(traffic: &Traffic, expected: &Name, answer: &WholeAnswer) {
    let names = &traffic.settings.header_names;
    let actual = answer.headers.get(&names.incarnation);
    let Some(actual) = actual.and_then(|actual| actual.to_str().ok()) else {
        return;
    };
    let actual = Name::from(actual);
    log::info!("local: another incarnation answers, expected={expected} actual={actual}");
    let now = traffic.clock.now();
    traffic.change_local(|local| local.note_actual(now, expected, &actual));
}

fn broke() -> Refusal {
    Refusal::unknown(RefusalReason::BackendBroke, 0)
}
