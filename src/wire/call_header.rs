//! The context with which one node forwards a call to another.

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

use crate::core::AttemptId;
use crate::core::Name;
use crate::core::Priority;
use crate::core::RequestId;
use crate::errors::WireError;
use crate::wire::codec;
use crate::wire::headers;

/// What a guard has to know of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallHeader {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub priority: Priority,
    /// How deep in the chain: 0 for the caller's own call.
    pub depth: u8,
    /// What remains of the deadline when the header is written.
    pub deadline_left_ms: u32,
    /// How long the preset lets the call wait in the guard's queue.
    pub wait_ms: u32,
    /// How many further attempts the call and all calls below it may make.
    pub allotment: u16,
    /// Whether a second run would do harm.
    pub non_idempotent: bool,
    /// The key under which it runs at most once.
    pub key: Option<Name>,
    /// The owner's stamp that the sender heard last, 0 if none: it proves that the attempt was
    /// sent lately (docs/AT_MOST_ONCE.md, "Attempts that arrive late").
    pub owner_stamp: u64,
    /// No earlier sending of the key exists, so that not even a new owner has to doubt it
    /// (docs/DESIGN.md, "Keys of child calls").
    pub first_sending: bool,
    /// The version of the configuration by which the call was classified.
    pub config_version: u64,
    /// The length of the body that follows, checked on arrival.
    pub body_len: Option<u64>,
    /// The node that forwards, to which outcomes are reported.
    pub from_node: Name,
}

impl CallHeader {
    /// The value of the [`headers::CALL`] header.
    pub fn encode(&self) -> String {
        codec::encode(self)
    }

    /// Reads the header of a forwarded call.
    ///
    /// # Errors
    /// When the header is missing, malformed or of another protocol version.
    pub fn from_headers(map: &HeaderMap) -> Result<Self, WireError> {
        let header = headers::CALL;
        let value = map.get(header).ok_or(WireError::Missing { header })?;
        codec::decode(header, value.as_bytes())
    }
}
