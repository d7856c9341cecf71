//! What a guard says beside every answer and refusal: news at no cost in messages.

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

use crate::core::AttemptId;
use crate::core::Priority;
use crate::core::Refusal;
use crate::core::RunState;
use crate::errors::WireError;
use crate::wire::OwnerHint;
use crate::wire::codec;
use crate::wire::headers;

/// The guard's own first-hand figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    pub in_flight: u32,
    pub limit: u32,
    pub queued: u32,
}

/// The part of an answer that is meant for the forwarding node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnswerHeader {
    /// Repeats the attempt, so that an answer is never taken for that of another call.
    pub attempt: AttemptId,
    pub run_state: RunState,
    /// Set when the guard refused instead of answering.
    pub refusal: Option<Refusal>,
    /// What the call and those below it left of their allotment.
    pub allotment_unused: u16,
    /// The lowest priority that the target and the services behind it admit at present.
    pub admit: Priority,
    pub load: LoadReport,
    /// The version of the configuration in force at the guard.
    pub config_version: u64,
    /// The length of the body that follows, where known; a shorter one is an error.
    pub body_len: Option<u64>,
    /// For calls with a key: the owner of its slot as this guard knows it.
    pub owner: Option<OwnerHint>,
}

impl AnswerHeader {
    /// The value of the [`headers::ANSWER`] header.
    pub fn encode(&self) -> String {
        codec::encode(self)
    }

    /// Reads the header of a peer's answer.
    ///
    /// # Errors
    /// When the header is missing, malformed or of another protocol version.
    pub fn from_headers(map: &HeaderMap) -> Result<Self, WireError> {
        let header = headers::ANSWER;
        let value = map.get(header).ok_or(WireError::Missing { header })?;
        codec::decode(header, value.as_bytes())
    }
}
