//! What a guard has to know of a call that has no key: the short form of the call header.

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

use crate::accounts::KeyTag;
use crate::core::Name;
use crate::core::Priority;
use crate::core::RouteOrigin;
use crate::errors::WireError;
use crate::wire::Advertisement;
use crate::wire::codec;
use crate::wire::headers;

/// On whose behalf a call is made, for a guard that may know better than the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallAccount {
    pub name: Name,
    /// Of the key that the request came with.
    pub key: KeyTag,
    /// The version of the desired state by which the entry found the account.
    pub version: u64,
}

/// The context of a call between two nodes. Bytes between failure domains are paid for, so it
/// carries nothing that the request itself says.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HopCall {
    /// The service that is to run the call; a guard beside another one refuses.
    pub service: Name,
    /// The name of its route.
    pub route: Name,
    /// The service beside which the call began.
    pub caller_service: Name,
    /// The sender is in the target's failure domain.
    #[serde(rename = "is_near")]
    pub is_same_domain: bool,
    /// Who uses the call's route, as far as the sender knows.
    pub origin: Option<RouteOrigin>,
    /// The sender knows who made this very call, and does not judge by its route.
    pub is_certain_origin: bool,
    /// The client account whose request it is.
    pub account: Option<CallAccount>,
    pub priority: Priority,
    /// The latency objective: the time within which an answer is worth most.
    pub objective_ms: u32,
    /// How likely the call is to be a repeat, of its own or for being made by work that is one, in
    /// thousandths. The bound on repeats counts both.
    pub repeated_permille: u16,
    /// What remains of the deadline when the header is written.
    pub deadline_left_ms: u32,
    /// What the sender was told of the backend server, if it binds: the guard may have been restarted.
    #[serde(rename = "word")]
    pub advertisement: Option<Advertisement>,
}

impl HopCall {
    /// The value of the [`headers::HOP`] header.
    pub fn encode(&self) -> String {
        codec::encode(self)
    }

    /// Reads the header of a forwarded call.
    ///
    /// # Errors
    /// When the header is missing, malformed or of another protocol version.
    pub fn from_headers(map: &HeaderMap) -> Result<Self, WireError> {
        let header = headers::HOP;
        let value = map.get(header).ok_or(WireError::Missing { header })?;
        codec::decode(header, value.as_bytes())
    }
}
