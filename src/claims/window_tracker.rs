//! Which resend window is in use while presets are switched.

use crate::claims::ResendLimits;
use crate::core::TimeMs;

/// Follows the preset's resend window. A longer one is used at once; a shorter one only after
/// keys that were sent under the longer one cannot come back any more.
#[derive(Clone, Copy, Debug)]
pub struct WindowTracker {
    limits: ResendLimits,
    /// When the window in use was last asked for.
    requested_at: TimeMs,
}

impl WindowTracker {
    /// Begins with a window.
    pub fn new(now: TimeMs, window_ms: u64) -> Self {
        Self {
            limits: ResendLimits::new(window_ms),
            requested_at: now,
        }
    }

    /// Takes in the window of the preset in force and returns the limits to use.
    pub fn update(&mut self, now: TimeMs, window_ms: u64) -> ResendLimits {
        let requested = ResendLimits::new(window_ms);
        let is_over = now.since(self.requested_at) >= self.limits.retention_ms();
        if requested.window_ms() >= self.limits.window_ms() || is_over {
            self.limits = requested;
            self.requested_at = now;
        }
        self.limits
    }
}
