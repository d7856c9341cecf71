//! The outcome of an attempt to run a call at one target.

use crate::adapters::WholeAnswer;
use crate::admission::Pressure;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RouteOrigin;
use crate::wire::Advertisement;
use crate::wire::LoadReport;

/// The status of the guard, sent with its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct GuardStatus {
    pub load: LoadReport,
    /// The share of calls that fail at the backend server, in thousandths.
    pub failing_permille: u32,
    /// The service with the highest pressure: the target's own or a downstream one.
    pub pressure: Option<Pressure>,
    /// Whether callers or backend servers use the call's route.
    pub origin: Option<RouteOrigin>,
    /// The departure or rate limit advertised by the backend server, if any.
    pub advertisement: Option<Advertisement>,
}

/// The outcome of an attempt.
#[derive(Clone, Debug)]
pub(super) struct AttemptEnd {
    pub result: Result<WholeAnswer, Refusal>,
    /// The call was sent to the backend server, or may have been.
    pub reached_backend: bool,
    /// `None` if the guard did not answer, or could not read the call.
    pub guard_status: Option<GuardStatus>,
}

impl AttemptEnd {
    /// An attempt that ended without a status of the guard.
    pub(super) fn without_status(refusal: Refusal, reached_backend: bool) -> Self {
        Self {
            result: Err(refusal),
            reached_backend,
            guard_status: None,
        }
    }

    /// Whether the backend server ran the call and answered with a success status.
    pub(super) fn has_succeeded(&self) -> bool {
        let answer = self.result.as_ref();
        answer.is_ok_and(|answer| answer.status.is_success())
    }

    /// The reason of the refusal, if it was refused.
    pub(super) fn reason(&self) -> Option<RefusalReason> {
        self.result.as_ref().err().map(|refusal| refusal.reason)
    }
}
