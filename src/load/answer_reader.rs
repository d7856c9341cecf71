//! Reads an answer to its end and judges whether it is the complete answer to its own request.

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::core::Name;
use crate::core::RunState;
use crate::load::AnswerCheck;
use crate::load::AttemptEnd;
use crate::load::AttemptRecord;
use crate::load::Told;
use crate::wire::headers;

/// The head of a body that is kept for the echo; the rest is only counted.
const KEPT_BYTES: usize = 64 * 1024;

/// What a stand-in backend server repeats of the request that it ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Echo {
    #[serde(default)]
    pub path: Option<String>,
    #[serde(default)]
    pub key: Option<String>,
}

/// What the answer to one request must show.
#[derive(Clone, Copy, Debug)]
pub struct Expected<'a> {
    pub check: AnswerCheck,
    /// The path and query that the backend server sees, unique to the request.
    pub path: &'a str,
    pub key: Option<&'a str>,
}

/// The body as far as it was kept.
struct ReadBody {
    head: Vec<u8>,
    length: u64,
    /// Every part so far continues the pattern of an archive.
    repeats_path: bool,
}

/// Reads an answer and says how the attempt ended.
pub async fn read_answer(answer: Response<Incoming>, expected: Expected<'_>) -> AttemptRecord {
    let (parts, body) = answer.into_parts();
    let mut record = AttemptRecord {
        end: AttemptEnd::Broken,
        told: told_by(&parts.headers),
        request_id: text_of(&parts.headers, headers::REQUEST_ID),
        retry_after_ms: retry_after_of(&parts.headers),
    };
    let Some(body) = read_body(body, expected).await else {
        return record;
    };
    record.end = if parts.status == StatusCode::OK {
        judge(&parts.headers, &body, expected)
    } else {
        failure_of(parts.status, &parts.headers)
    };
    record
}

async fn read_body(mut body: Incoming, expected: Expected<'_>) -> Option<ReadBody> {
    let mut read = ReadBody {
        head: Vec::new(),
        length: 0,
        repeats_path: true,
    };
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        match expected.check {
            AnswerCheck::Echo => read.keep_head(&data),
            AnswerCheck::Archive => read.compare(&data, expected.path),
            AnswerCheck::Length => {}
        }
        read.length += data.len() as u64;
    }
    Some(read)
}

impl ReadBody {
    fn keep_head(&mut self, data: &Bytes) {
        let room = KEPT_BYTES - self.head.len();
        self.head.extend_from_slice(&data[..data.len().min(room)]);
    }

    fn compare(&mut self, data: &Bytes, path: &str) {
        let line_bytes = path.len() as u64 + 1;
        let start = (self.length % line_bytes) as usize;
        let pattern = path.bytes().chain([b'\n']).cycle().skip(start);
        self.repeats_path &= data.iter().copied().eq(pattern.take(data.len()));
    }
}

fn judge(map: &HeaderMap, body: &ReadBody, expected: Expected<'_>) -> AttemptEnd {
    let announced = text_of(map, CONTENT_LENGTH.as_str()).and_then(|text| text.parse().ok());
    let complete = announced.is_none_or(|length: u64| length == body.length);
    if complete && is_own_answer(body, expected) {
        AttemptEnd::Good
    } else {
        AttemptEnd::Wrong
    }
}

fn is_own_answer(body: &ReadBody, expected: Expected<'_>) -> bool {
    match expected.check {
        AnswerCheck::Length => true,
        AnswerCheck::Archive => body.repeats_path && body.length > 0,
        AnswerCheck::Echo => echo_in(body).is_some_and(|echo| expected.matches(&echo)),
    }
}

fn echo_in(body: &ReadBody) -> Option<Echo> {
    let mut values = serde_json::Deserializer::from_slice(&body.head).into_iter();
    values.next()?.ok()
}

impl Expected<'_> {
    /// Whether an echo is that of this very request.
    pub fn matches(&self, echo: &Echo) -> bool {
        echo.path.as_deref() == Some(self.path) && echo.key.as_deref() == self.key
    }
}

/// The path that the backend server sees: without the first segment, which names the service.
pub fn path_at_backend(path: &str) -> &str {
    let rest = path.strip_prefix('/').unwrap_or(path);
    rest.find('/').map_or("/", |slash| &rest[slash..])
}

fn failure_of(status: StatusCode, map: &HeaderMap) -> AttemptEnd {
    match text_of(map, headers::REASON) {
        Some(reason) => AttemptEnd::Refused { reason },
        None => AttemptEnd::Failed {
            status: status.as_u16(),
        },
    }
}

fn told_by(map: &HeaderMap) -> Told {
    let Some(word) = text_of(map, headers::OUTCOME) else {
        return Told::Nothing;
    };
    [
        (RunState::NotRun, Told::NotRun),
        (RunState::Ran, Told::Ran),
        (RunState::Unknown, Told::Unknown),
    ]
    .into_iter()
    .find(|(state, _)| state.as_str() == &*word)
    .map_or(Told::Nothing, |(_, told)| told)
}

fn retry_after_of(map: &HeaderMap) -> Option<u64> {
    let precise = text_of(map, headers::RETRY_AFTER_MS).and_then(|text| text.parse().ok());
    precise.or_else(|| {
        let seconds: u64 = text_of(map, RETRY_AFTER.as_str())?.parse().ok()?;
        Some(seconds * 1_000)
    })
}

fn text_of(map: &HeaderMap, header: &str) -> Option<Name> {
    map.get(header)?.to_str().ok().map(Name::from)
}
