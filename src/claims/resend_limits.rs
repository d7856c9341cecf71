//! The durations that follow from the resend window of the preset in force.

/// For how long callers may resend a key, and everything that has to outlast it.
///
/// A sending can be under way for a while before the owner's guard sees it. That time is bounded
/// by half of the window: an eighth for a pause of the entry that goes unnoticed, a quarter for
/// which an entry may go on sending, an eighth for an attempt between the entry and the guard
/// (docs/AT_MOST_ONCE.md, "Attempts that arrive late").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResendLimits {
    window_ms: u64,
}

/// The shortest window: below it the bounds on late attempts would refuse ordinary ones.
const SHORTEST_WINDOW_MS: u64 = 2_000;

impl ResendLimits {
    /// Limits for a window; one that is too short counts as the shortest.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms: window_ms.max(SHORTEST_WINDOW_MS),
        }
    }

    /// For how long a caller may send a key again after it sent it first.
    pub fn window_ms(self) -> u64 {
        self.window_ms
    }

    /// For how long a new owner without a ledger refuses keys that it has not seen: whatever its
    /// predecessor ran was sent before the take-over, and its last sending arrives by then.
    pub fn grace_ms(self) -> u64 {
        self.window_ms + self.window_ms / 2
    }

    /// For how long the ledger remembers a key after its call ended.
    pub fn retention_ms(self) -> u64 {
        self.window_ms * 2
    }

    /// For how long kept answers are repeated, memory permitting.
    pub fn answer_ms(self) -> u64 {
        self.window_ms
    }

    /// Two of these periods bound the time between an entry and the guard.
    pub fn stamp_period_ms(self) -> u64 {
        self.window_ms / 16
    }

    /// How long after a keyed call arrived an entry may still send attempts of it.
    pub fn entry_sends_ms(self) -> u64 {
        self.window_ms / 4
    }

    /// A pause of an entry longer than this makes keyed calls suspicious that it reads afterwards.
    pub fn unnoticed_pause_ms(self) -> u64 {
        self.window_ms / 8
    }
}
