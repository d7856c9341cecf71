//! Identifiers of requests and of attempts.

use std::fmt;
use std::hash::Hasher;

use rustc_hash::FxHasher;
use serde::Deserialize;
use serde::Serialize;

/// Identifies one root request and every call made on its behalf.
///
/// It is derived from the caller's idempotency key if there is one, so that every entry recognises
/// a resend as the same request. Otherwise it is random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// A new random identifier.
    pub fn random() -> Self {
        Self(fastrand::u128(..))
    }

    /// The identifier of a request with an idempotency key: the same at every entry and for every
    /// resend.
    pub fn of_key(service: &str, key: &str) -> Self {
        let half = |salt: u8| {
            let mut hasher = FxHasher::default();
            hasher.write_u8(salt);
            hasher.write_usize(service.len());
            hasher.write(service.as_bytes());
            hasher.write(key.as_bytes());
            u128::from(hasher.finish())
        };
        Self((half(1) << 64) | half(2))
    }

    /// The rank of the request within its class, from 0 to `u16::MAX`. It is the same at every hop,
    /// so that every hop sheds the same requests (docs/DESIGN.md, "The whole chain").
    pub fn rank(self) -> u16 {
        let mut hasher = FxHasher::default();
        hasher.write_u128(self.0);
        (hasher.finish() >> 48) as u16
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifies one attempt to run one call at one target. It is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct AttemptId(pub u128);

impl AttemptId {
    /// A new random identifier.
    pub fn random() -> Self {
        Self(fastrand::u128(..))
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A hash of a call's content, the same at every node.
///
/// It identifies a request that crashes backend servers even when the request is sent again under
/// another identifier (docs/DESIGN.md, "Poisoned requests").
pub fn fingerprint_of(service: &str, method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher.finish()
}
