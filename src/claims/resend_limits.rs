//! Durations derived from the resend window of the preset in force.

/// How long callers may resend a key, and all durations that have to be longer than that.
///
/// A request can be under way for a while before the owner's guard sees it. That time is bounded by
/// half of the window: an eighth for an undetected pause of the entry, a quarter in which an entry
/// may send attempts, and an eighth for an attempt between the entry and the guard
/// (docs/AT_MOST_ONCE.md, "Attempts that arrive late").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResendLimits {
    window_ms: u64,
}

/// The shortest window. With a shorter one, the bounds on late attempts would refuse ordinary ones.
const MIN_WINDOW_MS: u64 = 2_000;

impl ResendLimits {
    /// Limits for a window. A shorter window than the minimum is raised to it.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms: window_ms.max(MIN_WINDOW_MS),
        }
    }

    /// How long after its first request a caller may send a key again.
    pub fn window_ms(self) -> u64 {
        self.window_ms
    }

    /// How long a new owner without a ledger refuses unseen keys. Everything that its predecessor
    /// ran was sent before the take-over, and the last resend of it arrives within this time.
    pub fn grace_ms(self) -> u64 {
        self.window_ms + self.window_ms / 2
    }

    /// How long the ledger keeps a key after its call ended.
    pub fn retention_ms(self) -> u64 {
        self.window_ms * 2
    }

    /// How long the ledger keeps an answer for resends, if memory permits.
    pub fn answer_ms(self) -> u64 {
        self.window_ms
    }

    /// Length of a stamp period. Two periods bound the time between an entry and the guard.
    pub fn stamp_period_ms(self) -> u64 {
        self.window_ms / 16
    }

    /// How long after the arrival of a keyed call an entry may send attempts of it.
    pub fn attempt_window_ms(self) -> u64 {
        self.window_ms / 4
    }

    /// The longest pause of an entry that needs no detection. After a longer one, the entry treats
    /// keyed requests as possibly older than the pause.
    pub fn max_undetected_pause_ms(self) -> u64 {
        self.window_ms / 8
    }
}
