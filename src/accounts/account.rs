//! Configuration of a client account.

use serde::Deserialize;
use serde::Serialize;

use crate::accounts::KeyHash;
use crate::core::Name;

/// The rate that an account may send, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Allowance {
    /// Requests per second in the long run; above 0.
    pub rate_per_s: f32,
    /// Requests allowed at once beyond the rate, if the account sent less than its rate before.
    pub burst: f32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Account {
    pub name: Name,
    /// May be empty: all keys of the account were revoked.
    pub keys: Vec<KeyHash>,
    /// Takes precedence over the rank of the route; 0 is the most important.
    pub rank: Option<u8>,
    /// `None` means no limit.
    pub allowance: Option<Allowance>,
}
