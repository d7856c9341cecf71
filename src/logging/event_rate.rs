//! Rate limits on log lines, by event.

use crate::core::FastMap;
use crate::core::TimeMs;

/// Average rate of lines for one event. A person reads only a few; the counters cover the rest.
const LINES_PER_SECOND: f64 = 5.0;
/// Lines of one event that may be written in a burst, so that the start of a problem is logged in
/// full.
const BURST: f64 = 50.0;
/// How many events have a rate limit of their own. A further event resets all limits, so that
/// memory stays bounded.
const MAX_EVENTS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: TimeMs,
}

/// Limits the rate of log lines for each event.
///
/// During an overload, thousands of requests a second are refused for the same reason. Without a
/// limit, logging them would cost more than handling them. The caller passes in the time.
#[derive(Clone, Debug, Default)]
pub struct EventRate {
    events: FastMap<String, TokenBucket>,
    suppressed: u64,
}

impl EventRate {
    /// Whether a line of this event may be written now.
    pub fn admits(&mut self, now: TimeMs, event: &str) -> bool {
        if self.events.len() >= MAX_EVENTS && !self.events.contains_key(event) {
            self.events.clear();
        }
        if !self.events.contains_key(event) {
            let full = TokenBucket {
                tokens: BURST,
                refilled_at: now,
            };
            self.events.insert(event.to_owned(), full);
        }
        let Some(bucket) = self.events.get_mut(event) else {
            return true;
        };
        let gained = now.since(bucket.refilled_at) as f64 / 1_000.0 * LINES_PER_SECOND;
        bucket.tokens = (bucket.tokens + gained).min(BURST);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            self.suppressed += 1;
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Returns the number of lines suppressed since the last call and resets it.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}
