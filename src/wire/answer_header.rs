//! The header that a guard of the `node` module adds to every answer and refusal. It carries load
//! and admission updates, so these need no messages of their own.

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

/// The load of a guard, as measured by the guard itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    pub in_flight: u32,
    pub limit: u32,
    pub queued: u32,
}

/// The part of an answer that is addressed to the forwarding node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnswerHeader {
    /// Echoes the attempt of the call, so that an answer is never matched to another call.
    pub attempt: AttemptId,
    pub run_state: RunState,
    /// Set when the guard refused the call.
    pub refusal: Option<Refusal>,
    /// How many attempts of the call's allotment were used neither by the call nor by its child
    /// calls.
    pub allotment_unused: u16,
    /// The lowest priority that the target and its downstream services admit at present.
    pub admit: Priority,
    pub load: LoadReport,
    /// The version of the configuration in force at the guard.
    pub config_version: u64,
    /// The length of the body that follows, if known. A shorter body is an error.
    pub body_len: Option<u64>,
    /// For calls with a key: the owner of the key's slot, as far as this guard knows.
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
