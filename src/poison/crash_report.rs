//! What one guard tells all others after its backend server crashed.

use serde::Deserialize;
use serde::Serialize;

use crate::core::RequestId;

/// Names one crash of one backend server; random, never used twice. A report that arrives twice or
/// by two ways thereby counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct CrashId(pub u64);

impl CrashId {
    /// A fresh random identifier.
    pub fn random() -> Self {
        Self(fastrand::u64(..))
    }
}

/// A request that was running when the backend server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunningRequest {
    pub request: RequestId,
    /// As of [`fingerprint_of`](crate::core::fingerprint_of).
    pub fingerprint: u64,
}

/// A content that ran to its end after it had been suspected of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Clearance {
    pub fingerprint: u64,
    pub crash: CrashId,
}

/// One crash: the requests that were running, and the contents that the reporter knows to be
/// innocent of earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    pub crash: CrashId,
    pub running: Vec<RunningRequest>,
    pub cleared: Vec<Clearance>,
}
