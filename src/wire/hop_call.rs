//! The header that the `traffic` module adds to every call that it forwards to another node: a
//! short form of the call header, for calls without a key.

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

/// The client account on whose behalf a call is made, for a guard that may have a newer desired
/// state than the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallAccount {
    pub name: Name,
    /// The tag of the API key that the request carried.
    pub key: KeyTag,
    /// The version of the desired state in which the entry found the account.
    pub version: u64,
}

/// The context of a call between two nodes.
///
/// Traffic between failure domains is billed by the byte, so the header repeats nothing that the
/// request itself contains.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HopCall {
    /// The service that is to run the call. A guard of another service refuses it.
    pub service: Name,
    /// The name of the call's route.
    pub route: Name,
    /// The service of the node at which the call entered.
    pub caller_service: Name,
    /// The sender is in the failure domain of the target.
    #[serde(rename = "is_near")]
    pub is_same_domain: bool,
    /// Whether callers or backend servers use the call's route, as far as the sender knows.
    pub origin: Option<RouteOrigin>,
    /// The sender knows the origin of this call itself and does not derive it from the route.
    pub is_certain_origin: bool,
    /// The client account that the request belongs to.
    pub account: Option<CallAccount>,
    pub priority: Priority,
    /// The latency objective in milliseconds: a later answer is worth less to the caller.
    pub objective_ms: u32,
    /// The probability that the call is a repeat, in thousandths: either the call itself is
    /// repeated, or it is made by work that is. The budget for repeats counts both.
    pub repeated_permille: u16,
    /// The time left until the deadline when the header is written.
    pub deadline_left_ms: u32,
    /// The last advertisement that the sender received of the target's backend server, if it states
    /// a rate or a departure. A restarted guard has neither until the backend server states it
    /// again.
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
