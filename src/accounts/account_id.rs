//! An account as nodes name it to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::core::stable_hash;

/// A hash of an account's name. Of two accounts with the same hash, which one in a million pairs of a
/// thousand accounts has, each is held to what both use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct AccountId(#[serde(with = "postcard::fixint::le")] pub u32);

impl AccountId {
    /// The identifier of an account's name.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(name.bytes()) as u32)
    }
}
