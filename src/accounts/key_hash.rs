//! A key of a client account, kept so that nobody can use what is kept.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Hashed before each key, so that hashes made elsewhere for other purposes never fit.
const PURPOSE: &[u8] = b"sassafrasgap account key\0";

/// The hash of a key, by which its account is found.
///
/// Guards against a key that leaks through a log line, a peer or a dump of what is in force: only the
/// hash is kept after decoding, and it opens nothing. It is not shown either, for a short key could be
/// guessed from it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct KeyHash(u64, u64);

/// What nodes tell each other of the key that a request came with: enough to ask whether its account
/// still holds it, and nothing that could be used in its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyTag(u32);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::new()
            .chain_update(PURPOSE)
            .chain_update(key)
            .finalize();
        let part = |from: usize| {
            let bytes = digest[from..from + 8].try_into();
            u64::from_le_bytes(bytes.expect("eight bytes were taken"))
        };
        Self(part(0), part(8))
    }

    /// The part of it that travels.
    pub fn tag(self) -> KeyTag {
        KeyTag(self.0 as u32)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}
