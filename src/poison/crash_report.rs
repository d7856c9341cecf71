//! The report that a guard sends to all others after its backend server crashed.

use serde::Deserialize;
use serde::Serialize;

use crate::core::RequestId;

/// Identifies one crash of one backend server. It is random and never reused, so a report that
/// arrives twice or by two paths counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct CrashId(pub u64);

impl CrashId {
    pub fn random() -> Self {
        Self(fastrand::u64(..))
    }
}

/// A request that was running when the backend server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunningRequest {
    pub request: RequestId,
    /// The fingerprint of the request's content; see
    /// [`fingerprint_of`](crate::core::fingerprint_of).
    pub fingerprint: u64,
}

/// Clears a content of one crash: it ran to completion after it had been suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Clearance {
    pub fingerprint: u64,
    pub crash: CrashId,
}

/// One crash: the requests that were running, and the contents that the reporter has cleared of
/// earlier crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    pub crash: CrashId,
    pub running: Vec<RunningRequest>,
    pub cleared: Vec<Clearance>,
}
