//! What the local backend server says of itself in its answers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderMap;
use http::HeaderName;

use crate::admission::RateChange;
use crate::admission::RateLimitState;
use crate::core::TimeMs;
use crate::node::gate::Gate;
use crate::wire::headers;
use crate::wire::rate_word;

const RATE_LIMIT: HeaderName = HeaderName::from_static(headers::RATE_LIMIT);

/// The rate that the backend server names, kept by the gate. On this interface a departure is announced.
#[derive(Debug, Default)]
pub(super) struct BackendWords {
    rate: Mutex<RateLimitState>,
}

impl BackendWords {
    /// Takes in the head of an answer to a call that was sent at `sent_at`.
    pub fn take(&self, gate: &Gate, now: TimeMs, sent_at: TimeMs, headers: &HeaderMap) {
        let word = rate_word(&RATE_LIMIT, headers);
        let mut rate = self.lock();
        let change = rate.note(now, sent_at, word);
        if change != RateChange::Unchanged {
            gate.set_rate(rate.per_s());
            log::info!("guard: the backend server's rate changes, change={change:?}");
        }
    }

    /// Another backend server may stand there from now on: it starts without a rate.
    pub fn forget(&self, gate: &Gate) {
        let mut rate = self.lock();
        *rate = RateLimitState::default();
        gate.set_rate(None);
    }

    fn lock(&self) -> MutexGuard<'_, RateLimitState> {
        self.rate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
