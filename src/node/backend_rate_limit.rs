//! The rate limit that the local backend server advertises in its answers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderMap;
use http::HeaderName;

use crate::admission::RateChange;
use crate::admission::RateLimitState;
use crate::core::TimeMs;
use crate::node::gate::Gate;
use crate::wire::advertised_rate;
use crate::wire::headers;

const RATE_LIMIT: HeaderName = HeaderName::from_static(headers::RATE_LIMIT);

/// The advertised rate, which the gate enforces. A backend server states its departure at
/// `/announce`, not in its answers.
#[derive(Debug, Default)]
pub(super) struct BackendRateLimit {
    rate: Mutex<RateLimitState>,
}

impl BackendRateLimit {
    /// Records the advertised rate in the head of an answer to a call that was sent at `sent_at`.
    pub fn record_answer(&self, gate: &Gate, now: TimeMs, sent_at: TimeMs, headers: &HeaderMap) {
        let advertised = advertised_rate(&RATE_LIMIT, headers);
        let mut rate = self.lock();
        let change = rate.record(now, sent_at, advertised);
        if change != RateChange::Unchanged {
            gate.set_rate(rate.per_s());
            log::info!(
                "guard: the rate advertised by the backend server changed, change={change:?}"
            );
        }
    }

    /// Clears the rate, since another backend server may be started in place of this one.
    pub fn reset(&self, gate: &Gate) {
        let mut rate = self.lock();
        *rate = RateLimitState::default();
        gate.set_rate(None);
    }

    fn lock(&self) -> MutexGuard<'_, RateLimitState> {
        self.rate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
