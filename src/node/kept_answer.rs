//! Conversion of answers to the form kept by the ledger and sent to other nodes.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;

use crate::control::KeptAnswer;
use crate::node::answer::Answer;
use crate::node::body::NodeBody;

/// The answer to keep, unless it is too large to be in memory.
pub(super) fn kept(answer: &Answer) -> Option<KeptAnswer> {
    let body = answer.body.held()?;
    Some(kept_parts(answer.status, &answer.headers, body))
}

/// Like [`kept`], from the parts of an answer.
pub(super) fn kept_parts(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> KeptAnswer {
    let headers = headers.iter();
    KeptAnswer {
        status: status.as_u16(),
        headers: headers
            .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
            .collect(),
        body: body.to_vec(),
    }
}

/// Restores the answer from its kept form.
pub(super) fn answer_of(kept: &KeptAnswer) -> Answer {
    Answer {
        status: StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK),
        headers: headers_of(kept),
        body: NodeBody::Held(Bytes::copy_from_slice(&kept.body)),
    }
}

/// Restores the headers from their kept form.
pub(super) fn headers_of(kept: &KeptAnswer) -> HeaderMap {
    let parse = |(name, value): &(String, Vec<u8>)| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(value).ok()?))
    };
    let mut map = HeaderMap::new();
    for (name, value) in kept.headers.iter().filter_map(parse) {
        map.append(name, value);
    }
    map
}
