//! The header that the `node` module adds to every call that it forwards to another node.

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

/// The context of a call that the receiving guard needs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallHeader {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub priority: Priority,
    /// The depth in the call chain: 0 for the caller's own call.
    pub depth: u8,
    /// The time left until the deadline when the header is written.
    pub deadline_left_ms: u32,
    /// The longest time that the call may wait in the guard's queue, from the preset.
    pub wait_ms: u32,
    /// How many further attempts the call and all its child calls may make together.
    pub allotment: u16,
    /// Whether the call must not run twice.
    pub non_idempotent: bool,
    /// The idempotency key under which the call runs at most once.
    pub key: Option<Name>,
    /// The last stamp that the sender received from the owner of the key's slot, or 0 if none. It
    /// proves that the attempt was sent recently (docs/AT_MOST_ONCE.md, "Attempts that arrive
    /// late").
    pub owner_stamp: u64,
    /// The key was never sent before, so that even a new owner need not assume an earlier run
    /// (docs/DESIGN.md, "Keys of child calls").
    pub first_sending: bool,
    /// The version of the configuration that the call was classified with.
    pub config_version: u64,
    /// The length of the body that follows, if known. The receiver checks it.
    pub body_len: Option<u64>,
    /// The forwarding node, to which outcomes are reported.
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
