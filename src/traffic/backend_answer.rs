//! Whether what came from the backend server is its answer to this very call.

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
use crate::traffic::Reported;
use crate::traffic::ServerReport;
use crate::traffic::guard::not_run;
use crate::traffic::traffic::Traffic;
use crate::wire::ServerWords;

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

/// Checks a whole answer to a request that was sent at `sent_at`, and takes in what it says of the backend
/// server.
///
/// # Errors
/// `not_run` where the backend server says so; otherwise the outcome is unknown.
pub(super) fn check(
    traffic: &Traffic,
    incarnation: &Name,
    id: Option<&HeaderValue>,
    sent_at: TimeMs,
    answer: &WholeAnswer,
) -> Result<(), Refusal> {
    let names = &traffic.settings.header_names;
    let words = names.words(&answer.headers);
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        if let Some(actual) = note_actual(traffic, incarnation, answer) {
            note_words(traffic, &actual, sent_at, words);
        }
        return Err(not_run(RefusalReason::BackendReplaced));
    }
    if answer.headers.get(&names.request_id) != id {
        traffic.metrics.wrong_answers.inc();
        log::warn!("guard: an answer to another request was dropped");
        return Err(broke());
    }
    let is_sound = is_sound(names, answer);
    // A spoilt answer that says nothing is no word that nothing is to be said.
    if is_sound || words.said().next().is_some() {
        note_words(traffic, incarnation, sent_at, words);
    }
    if answer.headers.contains_key(&names.not_run) {
        return Err(not_run(RefusalReason::BackendShed));
    }
    if !is_sound {
        traffic.metrics.broken_answers.inc();
        return Err(broke());
    }
    Ok(())
}

fn is_sound(names: &HeaderNames, answer: &WholeAnswer) -> bool {
    let headers = &answer.headers;
    let is_signed = headers.contains_key(&names.signature);
    !headers.contains_key(CONTENT_ENCODING) && (is_signed || !answer.status.is_success())
}

/// Takes in what an answer, to a request sent at `sent_at`, says of the incarnation that gave it.
///
/// A departure is the same fact as one that is reported, and is known here before the answer is passed on:
/// whoever gets that answer relies on it.
pub(super) fn note_words(
    traffic: &Traffic,
    incarnation: &Name,
    sent_at: TimeMs,
    words: ServerWords,
) {
    words
        .said()
        .for_each(|word| traffic.metrics.count_word(word));
    if words.rate == AdvertisedRate::Malformed {
        log::warn!("local: a rate cannot be read, incarnation={incarnation}");
    }
    let now = traffic.clock.now();
    if words.is_leaving {
        let departure = ServerReport::departure(incarnation.clone(), None);
        traffic.change_local(|local| local.take(now, &departure));
    }
    let mut change = RateChange::Unchanged;
    traffic.change_local(|local| {
        change = local.note_rate(now, incarnation, sent_at, words.rate);
        match change {
            RateChange::Unchanged => Reported::Nothing,
            _ => Reported::News,
        }
    });
    tell_change(traffic, incarnation, change);
}

/// One line for each beginning, change and end of a limit, with how many calls it has turned away so far.
fn tell_change(traffic: &Traffic, incarnation: &Name, change: RateChange) {
    let turned_away = || traffic.gate.turned_away();
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

/// The incarnation that refused a call meant for another one, if it names itself.
fn note_actual(traffic: &Traffic, expected: &Name, answer: &WholeAnswer) -> Option<Name> {
    let names = &traffic.settings.header_names;
    let actual = answer.headers.get(&names.incarnation)?.to_str().ok()?;
    let actual = Name::from(actual);
    log::info!("local: another incarnation answers, expected={expected} actual={actual}");
    let now = traffic.clock.now();
    traffic.change_local(|local| local.note_actual(now, expected, &actual));
    Some(actual)
}

fn broke() -> Refusal {
    Refusal::unknown(RefusalReason::BackendBroke, 0)
}
