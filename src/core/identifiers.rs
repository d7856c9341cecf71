//! Identifiers of requests and of attempts to run them.

use std::fmt;
use std::hash::Hasher;

use rustc_hash::FxHasher;
use serde::Deserialize;
use serde::Serialize;

/// Names one root request and every call made on its behalf.
///
/// It is derived from the caller's idempotency key where there is one, so that a resend is seen
/// as the same request at every entry; otherwise it is random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// A fresh random identifier.
    pub fn random() -> Self {
        Self(fastrand::u128(..))
    }

    /// The identifier of a request that its caller named by a key: the same at every entry and
    /// for every resend.
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

    /// A stable value in 0..=u16::MAX, the same at every hop, by which requests of one class are
    /// ranked so that the same requests survive everywhere (docs/DESIGN.md, "The whole chain").
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

/// Names one attempt to run one call at one target; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct AttemptId(pub u128);

impl AttemptId {
    /// A fresh random identifier.
    pub fn random() -> Self {
        Self(fastrand::u128(..))
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A stable hash of a call's content, used to recognise a request that crashes backend servers
/// even when it comes back under another identifier (docs/DESIGN.md, "Poisoned requests").
pub fn fingerprint_of(service: &str, method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher.finish()
}
