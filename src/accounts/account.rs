//! One client account, as the operator sets it.

use serde::Deserialize;
use serde::Serialize;

use crate::accounts::KeyHash;
use crate::core::Name;

/// How much an account may send, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Allowance {
    /// Requests a second in the long run; above 0.
    pub rate_per_s: f32,
    /// Requests beyond that at once, after a quiet time.
    pub burst: f32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Account {
    pub name: Name,
    /// None is a valid state: all its keys were taken away.
    pub keys: Vec<KeyHash>,
    /// Goes before the rank of the route; 0 is the most important.
    pub rank: Option<u8>,
    /// `None` is no limit.
    pub allowance: Option<Allowance>,
}
