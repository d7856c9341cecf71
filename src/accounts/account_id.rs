//! The identifier of an account in messages between nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::core::stable_hash;

/// A hash of an account's name. If two accounts have the same hash, each is limited by what both
/// use. Among a thousand accounts, the probability that any two collide is about 1 in 8,600.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct AccountId(#[serde(with = "postcard::fixint::le")] pub u32);

impl AccountId {
    /// The identifier of an account's name.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(name.bytes()) as u32)
    }
}
