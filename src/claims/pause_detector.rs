//! Detects pauses of this process.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::core::TimeMs;

/// How long after a pause the entry may still read requests that arrived during it.
const SETTLE_MS: u64 = 2_000;

/// Guards against a keyed request that lay in the receive buffer of a paused entry for longer than
/// the key's owner keeps the key. The caller sent it again through another entry, and the
/// paused entry would run it a second time. The paused entry cannot tell such a request from a new
/// one.
///
/// The control thread records the time at every tick. A gap is detected either by the next tick or
/// by the first request that is checked after the pause.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_tick_ms: AtomicU64,
    pause_suspected_until_ms: AtomicU64,
}

impl PauseDetector {
    /// Length of a pause that is detected as such before the resend window is known.
    pub const DEFAULT_PAUSE_MS: u64 = 1_000;

    /// Records that the process is running. Called several times a second.
    pub fn record_tick(&self, now: TimeMs, max_undetected_pause_ms: u64) {
        let last = self.last_tick_ms.swap(now.0, Ordering::SeqCst);
        if last != 0 && now.0.saturating_sub(last) > max_undetected_pause_ms {
            self.pause_suspected_until_ms
                .store(now.0 + SETTLE_MS, Ordering::SeqCst);
        }
    }

    /// Whether a keyed request read at `now` may have arrived before a pause. Such a request is
    /// refused as `unknown`.
    pub fn may_predate_pause(&self, now: TimeMs, max_undetected_pause_ms: u64) -> bool {
        let last = self.last_tick_ms.load(Ordering::SeqCst);
        let until = self.pause_suspected_until_ms.load(Ordering::SeqCst);
        now.0 < until || (last != 0 && now.0.saturating_sub(last) > max_undetected_pause_ms)
    }
}
