//! Notices that this process was paused.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::core::TimeMs;

/// For how long after a pause requests are still read that arrived during it.
const SETTLE_MS: u64 = 2_000;

/// Guards against a keyed request that lay in the receive buffer of a paused entry for longer than
/// its owner remembers the key: the caller sent it again through another entry, and the paused one
/// would run it a second time. It shows as a request that is new here and old everywhere else. The
/// watch holds because the control thread notes the time every tick, and a gap is seen either by
/// that tick or by whoever asks first.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_tick_ms: AtomicU64,
    pause_suspected_until_ms: AtomicU64,
}

impl PauseDetector {
    /// A pause that is suspicious before the resend window is known.
    pub const DEFAULT_PAUSE_MS: u64 = 1_000;

    /// Notes that the process runs; called several times a second.
    pub fn record_tick(&self, now: TimeMs, unnoticed_pause_ms: u64) {
        let last = self.last_tick_ms.swap(now.0, Ordering::SeqCst);
        if last != 0 && now.0.saturating_sub(last) > unnoticed_pause_ms {
            self.pause_suspected_until_ms
                .store(now.0 + SETTLE_MS, Ordering::SeqCst);
        }
    }

    /// Whether a keyed request read at `now` may have arrived before a pause. It is refused as
    /// `unknown` then.
    pub fn may_predate_pause(&self, now: TimeMs, unnoticed_pause_ms: u64) -> bool {
        let last = self.last_tick_ms.load(Ordering::SeqCst);
        let until = self.pause_suspected_until_ms.load(Ordering::SeqCst);
        now.0 < until || (last != 0 && now.0.saturating_sub(last) > unnoticed_pause_ms)
    }
}
