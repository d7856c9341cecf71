//! The schedule of polls of the platform.

use crate::core::TimeMs;

/// The poll period of nodes that are not pollers. These polls bring a node up to date even if its
/// view or the state received by gossip is wrong. They cost 24 reads a second for 720 nodes.
const FALLBACK_POLL_MS: u64 = 30_000;
/// The longest back-off of a poller after errors, well under the 8 s that a change may take.
const MAX_BACKOFF_MS: u64 = 4_000;
/// The jitter of a wait in either direction, so that the polls of nodes do not synchronize.
const JITTER_PERCENT: u64 = 20;

/// The outcome of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    Answered,
    Failed,
}

/// Schedules polls. The wait grows with consecutive errors, so that retries do not add load to a
/// store that is down or slow.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    poll_ms: u64,
    consecutive_failures: u32,
    /// `None` before the first poll, which is due at once.
    last_poll_end: Option<TimeMs>,
}

impl PollSchedule {
    /// Creates a schedule whose first poll is due at once.
    pub fn new(poll_ms: u64) -> Self {
        Self {
            poll_ms,
            consecutive_failures: 0,
            last_poll_end: None,
        }
    }

    /// Records the outcome of a poll.
    pub fn record(&mut self, outcome: PollOutcome, now: TimeMs) {
        self.last_poll_end = Some(now);
        self.consecutive_failures = match outcome {
            PollOutcome::Answered => 0,
            PollOutcome::Failed => self.consecutive_failures.saturating_add(1),
        };
    }

    /// When the next poll is due. `random` is a random number in 0..=1000.
    pub fn due(&self, is_poller: bool, random: u64) -> TimeMs {
        let Some(last_poll_end) = self.last_poll_end else {
            return TimeMs(0);
        };
        let backoff_ms = self.poll_ms << self.consecutive_failures.min(8);
        let wait_ms = match is_poller {
            true => backoff_ms.min(MAX_BACKOFF_MS.max(self.poll_ms)),
            false => FALLBACK_POLL_MS,
        };
        let min_ms = wait_ms * (100 - JITTER_PERCENT) / 100;
        let spread_ms = wait_ms * 2 * JITTER_PERCENT / 100;
        last_poll_end + min_ms + spread_ms * random.min(1_000) / 1_000
    }
}
