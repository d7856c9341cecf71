//! Checks that an answer of the backend server is complete and belongs to the call.

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_ENCODING;
use hyper::body::Incoming;

use crate::adapters::WholeAnswer;
use crate::admission::AdvertisedRate;
use crate::admission::RateChange;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::TimeMs;
use crate::traffic::HeaderNames;
use crate::traffic::LocalChange;
use crate::traffic::ServerReport;
use crate::traffic::guard::not_run;
use crate::traffic::traffic::Traffic;
use crate::wire::HeaderAdvertisement;

/// Whether an answer has the request identifier of the call.
///
/// A faulty backend server may answer an earlier request a second time in place of the current one,
/// and that answer would go to another caller. Such a connection is not used again.
pub(super) fn matches_id(
    names: &HeaderNames,
    id: Option<&HeaderValue>,
    response: &Response<Incoming>,
) -> bool {
    response.headers().get(&names.request_id) == id
}

/// Checks a whole answer to a request that was sent at `sent_at`, and applies the backend server's
/// advertisements in it.
///
/// # Errors
/// Returns `not_run` if the backend server says so; otherwise the outcome is unknown.
pub(super) fn check(
    traffic: &Traffic,
    incarnation: &Name,
    id: Option<&HeaderValue>,
    sent_at: TimeMs,
    answer: &WholeAnswer,
) -> Result<(), Refusal> {
    let names = &traffic.settings.header_names;
    let advertisements = names.read_advertisements(&answer.headers);
    let answered_id = answer.headers.get(&names.request_id);
    // A refusal of another incarnation may come without a request identifier, but one with the
    // identifier of an earlier request says nothing about the current one.
    let is_of_other = answered_id.is_some() && answered_id != id;
    if answer.status == StatusCode::MISDIRECTED_REQUEST && !is_of_other {
        if let Some(actual) = correct_incarnation(traffic, incarnation, answer) {
            apply_advertisements(traffic, &actual, sent_at, advertisements);
        }
        return Err(not_run(RefusalReason::BackendReplaced));
    }
    if answered_id != id {
        traffic.metrics.wrong_answers.inc();
        log::warn!("guard: answer dropped because its request identifier differs");
        return Err(broken_answer());
    }
    let is_valid = is_valid(names, answer);
    // An invalid answer without advertisements must not revoke earlier ones.
    if is_valid || advertisements.labels().next().is_some() {
        apply_advertisements(traffic, incarnation, sent_at, advertisements);
    }
    if answer.headers.contains_key(&names.not_run) {
        return Err(not_run(RefusalReason::BackendShed));
    }
    if !is_valid {
        traffic.metrics.broken_answers.inc();
        return Err(broken_answer());
    }
    Ok(())
}

fn is_valid(names: &HeaderNames, answer: &WholeAnswer) -> bool {
    let headers = &answer.headers;
    let is_signed = headers.contains_key(&names.signature);
    !headers.contains_key(CONTENT_ENCODING) && (is_signed || !answer.status.is_success())
}

/// Applies the advertisements of an incarnation, from its answer to a request that was sent at
/// `sent_at`.
///
/// A departure has the same effect as a reported one. It is applied before the answer is returned,
/// because the receiver of the answer relies on it.
pub(super) fn apply_advertisements(
    traffic: &Traffic,
    incarnation: &Name,
    sent_at: TimeMs,
    advertisements: HeaderAdvertisement,
) {
    advertisements
        .labels()
        .for_each(|label| traffic.metrics.count_word(label));
    if advertisements.rate == AdvertisedRate::Malformed {
        log::warn!("local: malformed rate limit, incarnation={incarnation}");
    }
    let now = traffic.clock.now();
    if advertisements.is_leaving {
        let departure = ServerReport::departure(incarnation.clone(), None);
        traffic.update_local(|local| local.apply_report(now, &departure));
    }
    let mut change = RateChange::Unchanged;
    traffic.update_local(|local| {
        change = local.apply_rate(now, incarnation, sent_at, advertisements.rate);
        match change {
            RateChange::Unchanged => LocalChange::NoChange,
            _ => LocalChange::Changed,
        }
    });
    log_rate_change(traffic, incarnation, change);
}

/// Logs the start, each change and the end of a rate limit, with the number of calls refused by it
/// so far.
fn log_rate_change(traffic: &Traffic, incarnation: &Name, change: RateChange) {
    let turned_away = || traffic.gate.rate_limited_calls();
    match change {
        RateChange::Unchanged => {}
        RateChange::Begins { per_s } => {
            log::info!("local: a rate is named, incarnation={incarnation} per_s={per_s}");
        }
        RateChange::Changes { per_s } => {
            log::info!(
                "local: another rate is named, incarnation={incarnation} per_s={per_s} \
                 turned_away={}",
                turned_away()
            );
        }
        RateChange::Ends { held_ms } => {
            log::info!(
                "local: no rate is named any more, incarnation={incarnation} held_ms={held_ms} \
                 turned_away={}",
                turned_away()
            );
        }
    }
}

/// Applies the incarnation that an answer names after it refused a call that expected another one.
/// Returns it, if the answer names one.
fn correct_incarnation(traffic: &Traffic, expected: &Name, answer: &WholeAnswer) -> Option<Name> {
    let names = &traffic.settings.header_names;
    let actual = answer.headers.get(&names.incarnation)?.to_str().ok()?;
    let actual = Name::from(actual);
    log::info!("local: another incarnation answers, expected={expected} actual={actual}");
    let now = traffic.clock.now();
    traffic.update_local(|local| local.correct_incarnation(now, expected, &actual));
    Some(actual)
}

fn broken_answer() -> Refusal {
    Refusal::unknown(RefusalReason::BackendBroke, 0)
}
