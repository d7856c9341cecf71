//! What a guard says beside its answer to a call without a key.

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

use crate::admission::Pressure;
use crate::core::Refusal;
use crate::core::RouteOrigin;
use crate::errors::WireError;
use crate::wire::LoadReport;
use crate::wire::Advertisement;
use crate::wire::codec;
use crate::wire::headers;

/// The part of an answer that is meant for the forwarding node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HopAnswer {
    /// Set when the guard refused instead of answering.
    pub refusal: Option<Refusal>,
    /// The backend server was sent the call, whatever it did with it.
    pub reached_backend: bool,
    /// The service on this call's way, here or deeper, that is pressed most.
    pub pressure: Option<Pressure>,
    /// Who uses the call's route, as far as this guard knows.
    pub origin: Option<RouteOrigin>,
    pub load: LoadReport,
    /// Which share of calls fails at the backend server lately, in thousandths.
    pub failing_permille: u32,
    /// What the backend server has said of itself, if it binds whoever sends it requests.
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
