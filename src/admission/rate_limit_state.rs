//! The rate that a backend server names in its answers: when it begins, changes and ends.
//!
//! Pure; see [docs/RATE_LIMITS.md](../../docs/RATE_LIMITS.md).

use crate::core::TimeMs;

/// So many answers without a rate end it. Each is to a request that was sent after the last answer with one.
const ENDING_ANSWERS: u32 = 3;

/// What one answer says of the rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdvertisedRate {
    /// No rate is named.
    Absent,
    /// So many requests a second, from all nodes together; finite and not negative.
    PerSecond(f64),
    /// A rate is named and cannot be told: it is no decimal number, negative, or not finite.
    Malformed,
}

impl AdvertisedRate {
    /// The word for a number.
    pub fn of(per_s: f64) -> Self {
        if per_s.is_finite() && per_s >= 0.0 {
            Self::PerSecond(per_s)
        } else {
            Self::Malformed
        }
    }

    /// Two words of one answer: the lower rate holds, and what cannot be told names none.
    pub fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::PerSecond(one), Self::PerSecond(other)) => Self::PerSecond(one.min(other)),
            (Self::PerSecond(one), _) | (_, Self::PerSecond(one)) => Self::PerSecond(one),
            (Self::Malformed, _) | (_, Self::Malformed) => Self::Malformed,
            (Self::Absent, Self::Absent) => Self::Absent,
        }
    }
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateChange {
    Unchanged,
    /// Requests are limited to this rate from now on.
    Begins {
        per_s: f64,
    },
    /// The rate is another one now.
    Changes {
        per_s: f64,
    },
    /// Requests are limited no more.
    Ends {
        held_ms: u64,
    },
}

/// A rate in force.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Named {
    per_s: f64,
    since: TimeMs,
    /// When the last answer that named a rate came.
    heard_at: TimeMs,
    /// Answers without a rate since then that count.
    answers_without: u32,
}

/// The rate that one incarnation of a backend server names.
///
/// Guards against an answer that was under way when the rate was first named and comes after it: it names
/// none, and would open the limit again. It holds because an answer ends the limit only if its request was
/// sent after the last one that named it, and only with others. A limit does not stay for ever, for a rate of
/// 0 still lets a trial through now and then.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RateLimitState {
    named: Option<Named>,
    /// Answers without a rate that this process has got; counted up to [`ENDING_ANSWERS`].
    answers_without: u32,
}

impl RateLimitState {
    /// The rate in force, if there is one.
    pub fn per_s(&self) -> Option<f64> {
        self.named.map(|named| named.per_s)
    }

    /// Takes over a rate that a peer was told, perhaps before this process started. What this process has heard
    /// itself goes before it.
    pub fn adopt(&mut self, now: TimeMs, per_s: f64) -> RateChange {
        if self.named.is_some() || self.answers_without >= ENDING_ANSWERS {
            return RateChange::Unchanged;
        }
        self.name(now, per_s)
    }

    /// Takes in the word of an answer to a request that was sent at `sent_at`.
    pub fn note(&mut self, now: TimeMs, sent_at: TimeMs, word: AdvertisedRate) -> RateChange {
        match word {
            AdvertisedRate::PerSecond(per_s) => self.name(now, per_s),
            AdvertisedRate::Malformed => {
                self.heard(now);
                RateChange::Unchanged
            }
            AdvertisedRate::Absent => self.note_absent(now, sent_at),
        }
    }

    fn name(&mut self, now: TimeMs, per_s: f64) -> RateChange {
        let before = self.named.replace(Named {
            per_s,
            since: self.named.map_or(now, |named| named.since),
            heard_at: now,
            answers_without: 0,
        });
        match before {
            None => RateChange::Begins { per_s },
            Some(before) if before.per_s != per_s => RateChange::Changes { per_s },
            Some(_) => RateChange::Unchanged,
        }
    }

    fn heard(&mut self, now: TimeMs) {
        if let Some(named) = &mut self.named {
            named.heard_at = now;
            named.answers_without = 0;
        }
    }

    fn note_absent(&mut self, now: TimeMs, sent_at: TimeMs) -> RateChange {
        let Some(named) = &mut self.named else {
            self.answers_without = ENDING_ANSWERS.min(self.answers_without + 1);
            return RateChange::Unchanged;
        };
        if sent_at <= named.heard_at {
            return RateChange::Unchanged;
        }
        named.answers_without += 1;
        if named.answers_without < ENDING_ANSWERS {
            return RateChange::Unchanged;
        }
        let held_ms = now.since(named.since);
        self.named = None;
        self.answers_without = ENDING_ANSWERS;
        RateChange::Ends { held_ms }
    }
}
