//! When the platform is polled next.

use crate::core::TimeMs;

/// Every node polls this rarely, so that one whose view or gossip is wrong still catches up: 24
/// reads a second for 720 nodes.
const SAFETY_POLL_MS: u64 = 30_000;
/// The longest wait of a poller after errors; well under the 8 s that a change may take.
const LONGEST_BACKOFF_MS: u64 = 4_000;
/// Waits are spread by this share to either side, so that polls do not fall into step.
const JITTER_PERCENT: u64 = 20;

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    Answered,
    Failed,
}

/// The wait before the next poll, growing with errors in a row: a store that is down or slow
/// should not be met by retries as well.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    poll_ms: u64,
    failures_in_row: u32,
    /// `None` before the first poll, which is due at once.
    last_end: Option<TimeMs>,
}

impl PollSchedule {
    /// A schedule whose first poll is due at once.
    pub fn new(poll_ms: u64) -> Self {
        Self {
            poll_ms,
            failures_in_row: 0,
            last_end: None,
        }
    }

    /// Notes how a poll ended.
    pub fn record(&mut self, outcome: PollOutcome, now: TimeMs) {
        self.last_end = Some(now);
        self.failures_in_row = match outcome {
            PollOutcome::Answered => 0,
            PollOutcome::Failed => self.failures_in_row.saturating_add(1),
        };
    }

    /// When the next poll is due. `random` is a draw from 0..=1000.
    pub fn due(&self, is_poller: bool, random: u64) -> TimeMs {
        let Some(last_end) = self.last_end else {
            return TimeMs(0);
        };
        let backoff_ms = self.poll_ms << self.failures_in_row.min(8);
        let wait_ms = match is_poller {
            true => backoff_ms.min(LONGEST_BACKOFF_MS.max(self.poll_ms)),
            false => SAFETY_POLL_MS,
        };
        let least_ms = wait_ms * (100 - JITTER_PERCENT) / 100;
        let spread_ms = wait_ms * 2 * JITTER_PERCENT / 100;
        last_end + least_ms + spread_ms * random.min(1_000) / 1_000
    }
}
