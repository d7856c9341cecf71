//! What came of an attempt to run a call at one target.

use crate::adapters::WholeAnswer;
use crate::admission::Pressure;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RouteOrigin;
use crate::wire::Advertisement;
use crate::wire::LoadReport;

/// What the guard said beside its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct GuardNews {
    pub load: LoadReport,
    /// Which share of calls fails at the backend server, in thousandths.
    pub failing_permille: u32,
    /// The most pressed service there and behind it.
    pub pressure: Option<Pressure>,
    /// Who uses the call's route.
    pub origin: Option<RouteOrigin>,
    /// What the backend server has said of itself, if it binds.
    pub word: Option<Advertisement>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub(super) struct AttemptEnd {
    pub result: Result<WholeAnswer, Refusal>,
    /// The backend server was sent the call, as far as is known.
    pub reached_backend: bool,
    /// `None` when the guard did not answer.
    pub news: Option<GuardNews>,
}

impl AttemptEnd {
    /// The guard did not answer.
    pub(super) fn lost(refusal: Refusal, reached_backend: bool) -> Self {
        Self {
            result: Err(refusal),
            reached_backend,
            news: None,
        }
    }

    /// Whether the backend server ran it and answered with success.
    pub(super) fn ran_well(&self) -> bool {
        let answer = self.result.as_ref();
        answer.is_ok_and(|answer| answer.status.is_success())
    }

    /// Why it was refused, if it was.
    pub(super) fn reason(&self) -> Option<RefusalReason> {
        self.result.as_ref().err().map(|refusal| refusal.reason)
    }
}
