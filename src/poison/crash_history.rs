//! The crashes of one suspect.

use crate::core::TimeMs;
use crate::poison::crash_report::CrashId;

/// Maximum number of crashes recorded per suspect. Two are enough to refuse it. More are recorded
/// for contents that are running all the time, and are cleared after many crashes.
const MAX_CRASHES: usize = 16;

/// One crash of one suspect.
#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    crash: CrashId,
    is_cleared: bool,
}

/// The crashes during which a request, or a content, was running.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    records: Vec<CrashRecord>,
    last_at: TimeMs,
}

impl CrashHistory {
    /// When the last crash was recorded.
    pub fn last_at(&self) -> TimeMs {
        self.last_at
    }

    /// Records a crash once, however often it is reported.
    pub fn record(&mut self, now: TimeMs, crash: CrashId) {
        if self.position(crash).is_some() {
            return;
        }
        if self.records.len() == MAX_CRASHES {
            self.evict_one();
        }
        self.records.push(CrashRecord {
            crash,
            is_cleared: false,
        });
        self.last_at = now;
    }

    /// Clears one crash. An unknown crash is recorded as cleared, since reports may arrive out of
    /// order.
    pub fn clear(&mut self, now: TimeMs, crash: CrashId) {
        self.record(now, crash);
        if let Some(position) = self.position(crash) {
            self.records[position].is_cleared = true;
        }
    }

    /// Clears all crashes recorded so far.
    pub fn clear_all(&mut self) {
        for record in &mut self.records {
            record.is_cleared = true;
        }
    }

    /// The crashes that still count against the suspect.
    pub fn uncleared(&self) -> impl Iterator<Item = CrashId> {
        let uncleared = self.records.iter().filter(|record| !record.is_cleared);
        uncleared.map(|record| record.crash)
    }

    /// The crashes that no longer count.
    pub fn cleared(&self) -> impl Iterator<Item = CrashId> {
        let cleared = self.records.iter().filter(|record| record.is_cleared);
        cleared.map(|record| record.crash)
    }

    /// Whether the crash is recorded and cleared.
    pub fn is_cleared(&self, crash: CrashId) -> bool {
        self.cleared().any(|cleared| cleared == crash)
    }

    /// Evicts the oldest cleared crash, or the oldest one if none is cleared.
    fn evict_one(&mut self) {
        let cleared = self.records.iter().position(|record| record.is_cleared);
        self.records.remove(cleared.unwrap_or(0));
    }

    fn position(&self, crash: CrashId) -> Option<usize> {
        self.records.iter().position(|record| record.crash == crash)
    }
}
