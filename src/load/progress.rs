//! Counts while a run goes on, printed once a second.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::load::CallRecord;

/// Running totals.
#[derive(Debug, Default)]
pub struct Progress {
    sent: AtomicU64,
    ended: AtomicU64,
    good: AtomicU64,
    resent: AtomicU64,
}

impl Progress {
    /// Notes that a whole request was sent.
    pub fn note_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes the end of a whole request.
    pub fn note_end(&self, record: &CallRecord) {
        self.ended.fetch_add(1, Ordering::Relaxed);
        self.good
            .fetch_add(u64::from(record.is_good()), Ordering::Relaxed);
        let resent = record.attempts.len() as u64 - 1;
        self.resent.fetch_add(resent, Ordering::Relaxed);
    }

    /// One line for people.
    pub fn line(&self, elapsed_ms: u64, planned: usize) -> String {
        let sent = self.sent.load(Ordering::Relaxed);
        let ended = self.ended.load(Ordering::Relaxed);
        let good = self.good.load(Ordering::Relaxed);
        let resent = self.resent.load(Ordering::Relaxed);
        format!(
            "load: {:>6.1} s  sent {sent}/{planned}  open {}  good {good}  not good {}  resent {resent}",
            elapsed_ms as f64 / 1_000.0,
            sent.saturating_sub(ended),
            ended.saturating_sub(good),
        )
    }
}
