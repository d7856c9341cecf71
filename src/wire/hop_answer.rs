//! The header that a guard of the `traffic` module adds to every answer and refusal. The calls that
//! this module forwards have no keys.

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

use crate::admission::Pressure;
use crate::core::Refusal;
use crate::core::RouteOrigin;
use crate::errors::WireError;
use crate::wire::Advertisement;
use crate::wire::LoadReport;
use crate::wire::codec;
use crate::wire::headers;

/// The part of an answer that is addressed to the forwarding node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HopAnswer {
    /// Set when the guard refused the call.
    pub refusal: Option<Refusal>,
    /// The call was sent to the backend server, whatever its outcome.
    pub reached_backend: bool,
    /// The most overloaded service on this call's path: the guard's own or one downstream.
    pub pressure: Option<Pressure>,
    /// Whether callers or backend servers use the call's route, as far as this guard knows.
    pub origin: Option<RouteOrigin>,
    pub load: LoadReport,
    /// The recent share of calls that fail at the backend server, in thousandths.
    pub failing_permille: u32,
    /// The backend server's advertisement, if it states a rate or a departure.
    #[serde(rename = "word")]
    pub advertisement: Option<Advertisement>,
}

impl HopAnswer {
    /// The value of the [`headers::HOP_ANSWER`] header.
    pub fn encode(&self) -> String {
        codec::encode(self)
    }

    /// Reads the header of a guard's answer.
    ///
    /// # Errors
    /// When the header is missing, malformed or of another protocol version.
    pub fn from_headers(map: &HeaderMap) -> Result<Self, WireError> {
        let header = headers::HOP_ANSWER;
        let value = map.get(header).ok_or(WireError::Missing { header })?;
        codec::decode(header, value.as_bytes())
    }
}
