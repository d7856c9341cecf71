//! Hashes of API keys of client accounts, from which the key cannot be recovered.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Hashed before each key, so that hashes of the same key made for other purposes never match.
const DOMAIN_SEPARATOR: &[u8] = b"sassafrasgap account key\0";

/// The hash of a key, by which its account is found.
///
/// Only the hash is kept after decoding, so a key cannot leak through a log line, a peer or a dump
/// of the active configuration. `Debug` does not print the hash either, because a short key could
/// be guessed from it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct KeyHash(u64, u64);

/// The part of a key's hash that nodes send to each other with a request. It suffices to check
/// whether the account still holds the key, and cannot be used in place of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyTag(u32);

impl KeyHash {
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::new()
            .chain_update(DOMAIN_SEPARATOR)
            .chain_update(key)
            .finalize();
        let part = |from: usize| {
            let bytes = digest[from..from + 8].try_into();
            u64::from_le_bytes(bytes.expect("eight bytes were taken"))
        };
        Self(part(0), part(8))
    }

    /// The part of the hash that is sent to other nodes.
    pub fn tag(self) -> KeyTag {
        KeyTag(self.0 as u32)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}
