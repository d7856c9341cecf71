//! Whether a peer's answer is the answer to this very attempt, and all of it.

use http::HeaderMap;

use crate::core::AttemptId;
use crate::errors::AnswerError;
use crate::errors::WireError;
use crate::node::caller_headers::text;
use crate::wire::AnswerHeader;
use crate::wire::headers;

/// Checks the head of an answer.
///
/// Guards against a caller that gets the answer meant for another: a connection on which
/// something in between mixed up answers, or a peer with a fault. It shows as another attempt
/// identifier, since no two attempts share one.
///
/// # Errors
/// When the header is missing or malformed, or names another attempt or length.
pub(super) fn check_head(
    map: &HeaderMap,
    attempt: AttemptId,
    body_len: Option<u64>,
) -> Result<AnswerHeader, AnswerError> {
    let header = AnswerHeader::from_headers(map)?;
    if header.attempt != attempt {
        return Err(AnswerError::OtherAttempt);
    }
    check_len(&header, body_len)?;
    Ok(header)
}

/// Checks the length of a body against the announced one; either may be unknown.
///
/// # Errors
/// When both are known and differ.
pub(super) fn check_len(header: &AnswerHeader, len: Option<u64>) -> Result<(), AnswerError> {
    match (header.body_len, len) {
        (Some(announced), Some(actual)) if announced != actual => {
            Err(AnswerError::OtherLength { announced, actual })
        }
        _ => Ok(()),
    }
}

/// Whether a peer of another protocol version says in plain headers that it ran nothing. Guards
/// strip these headers from what backend servers answer, so only a node can have set them.
pub(super) fn is_plain_not_run(map: &HeaderMap, error: &AnswerError) -> bool {
    let is_version = matches!(error, AnswerError::Header(WireError::Version { .. }));
    is_version && text(map, headers::OUTCOME) == Some("not_run")
}
