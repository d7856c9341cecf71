//! One route: which requests it takes, where they go, and on what terms.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Repeatability {
    /// A second run does no harm.
    Idempotent,
    /// The request may run once at most.
    NonIdempotent,
    /// As [`Self::NonIdempotent`], with a large body.
    LargeUpload,
}

impl Repeatability {
    /// Whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        self == Self::Idempotent
    }
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightedService {
    pub service: Name,
    pub weight: u32,
}

/// Requests of one host whose path begins with one prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    pub name: Name,
    /// The host as callers write it, without a port, in lower case.
    pub host: Name,
    /// Begins and ends with a slash.
    pub prefix: Name,
    pub repeatability: Repeatability,
    /// The longest time that the operator wants a caller kept waiting.
    pub timeout_ms: u64,
    /// The latency objective: the time within which an answer is worth most.
    pub objective_ms: u64,
    /// 0 is the most important.
    pub rank: u8,
    /// To how many targets one request may be sent at most.
    pub max_attempts: u32,
    /// Callers need no key of a client account.
    pub is_public: bool,
    /// Where requests go; never empty, and some weight is above 0.
    pub destinations: Vec<WeightedService>,
}
