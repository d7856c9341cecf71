//! Tracks which resend window to use when presets change.

use crate::claims::ResendLimits;
use crate::core::TimeMs;

/// Follows the resend window of the preset in force. A longer window applies at once. A shorter one
/// applies only once keys that were sent under the longer one can no longer be sent again.
#[derive(Clone, Copy, Debug)]
pub struct WindowTracker {
    limits: ResendLimits,
    /// When the window in use was last the requested one.
    requested_at: TimeMs,
}

impl WindowTracker {
    /// Starts with the given window.
    pub fn new(now: TimeMs, window_ms: u64) -> Self {
        Self {
            limits: ResendLimits::new(window_ms),
            requested_at: now,
        }
    }

    /// Processes the window of the preset in force and returns the limits to use.
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
