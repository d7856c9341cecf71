//! Encoding of header values: a version byte and a postcard message, in URL-safe base64.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::WireError;

/// The version of the protocol between nodes. A message of another version is rejected with an
/// error that names both versions.
pub const PROTOCOL_VERSION: u8 = 5;

/// Encodes a message as a header value.
pub fn encode<T: Serialize>(message: &T) -> String {
    let mut bytes = vec![PROTOCOL_VERSION];
    bytes = postcard::to_extend(message, bytes).expect("plain structs always encode");
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Decodes a message from a header value.
///
/// # Errors
/// When the header is malformed, or the peer uses another version of the protocol.
pub fn decode<T: DeserializeOwned>(header: &'static str, value: &[u8]) -> Result<T, WireError> {
    let bytes = URL_SAFE_NO_PAD
        .decode(value)
        .map_err(|_| WireError::Encoding { header })?;
    let (&theirs, message) = bytes.split_first().ok_or(WireError::Missing { header })?;
    if theirs != PROTOCOL_VERSION {
        return Err(WireError::Version {
            theirs,
            ours: PROTOCOL_VERSION,
        });
    }
    postcard::from_bytes(message).map_err(|source| WireError::Decode { header, source })
}
