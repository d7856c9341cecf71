//! A route: which requests it matches, where they go, and under which limits.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Repeatability {
    /// A second run does no harm.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// Like [`Self::NonIdempotent`], with a large body.
    LargeUpload,
}

impl Repeatability {
    /// Whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        self == Self::Idempotent
    }
}

/// A service and its weight among a route's destinations.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightedService {
    pub service: Name,
    pub weight: u32,
}

/// Matches requests to one host whose path begins with one prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    pub name: Name,
    /// The host as callers write it, without a port, in lower case.
    pub host: Name,
    /// Begins and ends with a slash.
    pub prefix: Name,
    pub repeatability: Repeatability,
    /// Maximum time that a caller waits for the answer.
    pub timeout_ms: u64,
    /// The latency objective: an answer within this time is worth most.
    pub objective_ms: u64,
    /// 0 is the most important.
    pub rank: u8,
    /// Maximum number of targets to which one request may be sent.
    pub max_attempts: u32,
    /// Callers need no API key.
    pub is_public: bool,
    /// Where requests go. Never empty, and at least one weight is above 0.
    pub destinations: Vec<WeightedService>,
}
