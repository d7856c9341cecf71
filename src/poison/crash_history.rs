//! The crashes of one suspect.

use crate::core::TimeMs;
use crate::poison::crash_report::CrashId;

/// How many crashes of one suspect are told apart. Two are enough to refuse it; the rest is for
/// contents that are always running somewhere and are cleared again and again.
const MAX_CRASHES: usize = 16;

/// One crash as held against one suspect.
#[derive(Clone, Copy, Debug)]
struct Entry {
    crash: CrashId,
    is_cleared: bool,
}

/// The crashes during which a request, or a content, was running.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    entries: Vec<Entry>,
    last_at: TimeMs,
}

impl CrashHistory {
    /// When the last one was noted.
    pub fn last_at(&self) -> TimeMs {
        self.last_at
    }

    /// Notes a crash once, however often it is reported.
    pub fn note(&mut self, now: TimeMs, crash: CrashId) {
        if self.position(crash).is_some() {
            return;
        }
        if self.entries.len() == MAX_CRASHES {
            self.make_room();
        }
        self.entries.push(Entry {
            crash,
            is_cleared: false,
        });
        self.last_at = now;
    }

    /// Clears one crash. One not noted yet is noted as cleared, since reports may change places.
    pub fn clear(&mut self, now: TimeMs, crash: CrashId) {
        self.note(now, crash);
        if let Some(position) = self.position(crash) {
            self.entries[position].is_cleared = true;
        }
    }

    /// Clears all crashes noted so far.
    pub fn clear_all(&mut self) {
        for entry in &mut self.entries {
            entry.is_cleared = true;
        }
    }

    /// The crashes that still count.
    pub fn held(&self) -> impl Iterator<Item = CrashId> {
        let held = self.entries.iter().filter(|entry| !entry.is_cleared);
        held.map(|entry| entry.crash)
    }

    /// The crashes that do not count any more.
    pub fn cleared(&self) -> impl Iterator<Item = CrashId> {
        let cleared = self.entries.iter().filter(|entry| entry.is_cleared);
        cleared.map(|entry| entry.crash)
    }

    /// Whether the crash is known and does not count any more.
    pub fn is_cleared(&self, crash: CrashId) -> bool {
        self.cleared().any(|cleared| cleared == crash)
    }

    /// Drops the oldest that is cleared, or else the oldest.
    fn make_room(&mut self) {
        let cleared = self.entries.iter().position(|entry| entry.is_cleared);
        self.entries.remove(cleared.unwrap_or(0));
    }

    fn position(&self, crash: CrashId) -> Option<usize> {
        self.entries.iter().position(|entry| entry.crash == crash)
    }
}
