//! Checks that a peer's answer belongs to the attempt and is complete.

use http::HeaderMap;

use crate::core::AttemptId;
use crate::errors::AnswerError;
use crate::errors::WireError;
use crate::node::caller_headers::text;
use crate::wire::AnswerHeader;
use crate::wire::headers;

/// Checks the head of an answer.
///
/// Prevents a caller from receiving the answer to another call, if a relay mixes up answers on a
/// connection or a peer has a fault. Attempt identifiers are unique, so such an answer names
/// another attempt.
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

/// Checks the length of a body against the announced length. Either may be unknown.
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

/// Whether a peer of another protocol version states in plain headers that it ran nothing. Guards
/// strip these headers from the answers of backend servers, so only a node can have set them.
pub(super) fn is_plain_not_run(map: &HeaderMap, error: &AnswerError) -> bool {
    let is_version = matches!(error, AnswerError::Header(WireError::Version { .. }));
    is_version && text(map, headers::OUTCOME) == Some("not_run")
}
