//! The rate limit that a backend server advertises in its answers: when it begins, changes and
//! ends.
//!
//! The module has no side effects; see [docs/RATE_LIMITS.md](../../docs/RATE_LIMITS.md).

use crate::core::TimeMs;

/// This many answers without a rate end the limit. Each has to be to a request that was sent after
/// the last answer with a rate.
const ANSWERS_TO_END: u32 = 3;

/// The rate limit as advertised in one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdvertisedRate {
    /// No rate is advertised.
    Absent,
    /// Requests per second from all nodes together; finite and not negative.
    PerSecond(f64),
    /// A rate is advertised and cannot be read: it is not a decimal number, negative, or not
    /// finite.
    Malformed,
}

impl AdvertisedRate {
    /// The advertised rate for a number.
    pub fn of(per_s: f64) -> Self {
        if per_s.is_finite() && per_s >= 0.0 {
            Self::PerSecond(per_s)
        } else {
            Self::Malformed
        }
    }

    /// Combines two rates of one answer. The lower one holds, and a malformed one is ignored beside
    /// a valid one.
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
    /// The rate has changed to this one.
    Changes {
        per_s: f64,
    },
    /// Requests are no longer limited, after `held_ms` with a limit.
    Ends {
        held_ms: u64,
    },
}

/// A rate limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ActiveLimit {
    per_s: f64,
    since: TimeMs,
    /// When the last answer with a rate arrived.
    received_at: TimeMs,
    /// Answers without a rate since then that count.
    answers_without: u32,
}

/// The rate limit advertised by one incarnation of a backend server.
///
/// Guards against an answer that was under way when the rate was first advertised and arrives after
/// it. It carries no rate and would lift the limit. An answer therefore counts towards the end of
/// the limit only if its request was sent after the last answer with a rate, and several such
/// answers are needed. A limit cannot last for ever, because even a rate of 0 admits a request now
/// and then.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RateLimitState {
    active: Option<ActiveLimit>,
    /// Answers without a rate that this process has received, counted up to [`ANSWERS_TO_END`].
    answers_without: u32,
}

impl RateLimitState {
    /// The rate in force, if there is one.
    pub fn per_s(&self) -> Option<f64> {
        self.active.map(|active| active.per_s)
    }

    /// Adopts a rate that a peer has received, perhaps before this process started. What this
    /// process has received itself takes precedence.
    pub fn adopt(&mut self, now: TimeMs, per_s: f64) -> RateChange {
        if self.active.is_some() || self.answers_without >= ANSWERS_TO_END {
            return RateChange::Unchanged;
        }
        self.activate(now, per_s)
    }

    /// Records the advertised rate of an answer to a request that was sent at `sent_at`.
    pub fn record(
        &mut self,
        now: TimeMs,
        sent_at: TimeMs,
        advertised: AdvertisedRate,
    ) -> RateChange {
        match advertised {
            AdvertisedRate::PerSecond(per_s) => self.activate(now, per_s),
            AdvertisedRate::Malformed => {
                self.renew(now);
                RateChange::Unchanged
            }
            AdvertisedRate::Absent => self.record_absent(now, sent_at),
        }
    }

    fn activate(&mut self, now: TimeMs, per_s: f64) -> RateChange {
        let before = self.active.replace(ActiveLimit {
            per_s,
            since: self.active.map_or(now, |active| active.since),
            received_at: now,
            answers_without: 0,
        });
        match before {
            None => RateChange::Begins { per_s },
            Some(before) if before.per_s != per_s => RateChange::Changes { per_s },
            Some(_) => RateChange::Unchanged,
        }
    }

    fn renew(&mut self, now: TimeMs) {
        if let Some(active) = &mut self.active {
            active.received_at = now;
            active.answers_without = 0;
        }
    }

    fn record_absent(&mut self, now: TimeMs, sent_at: TimeMs) -> RateChange {
        let Some(active) = &mut self.active else {
            self.answers_without = ANSWERS_TO_END.min(self.answers_without + 1);
            return RateChange::Unchanged;
        };
        if sent_at <= active.received_at {
            return RateChange::Unchanged;
        }
        active.answers_without += 1;
        if active.answers_without < ANSWERS_TO_END {
            return RateChange::Unchanged;
        }
        let held_ms = now.since(active.since);
        self.active = None;
        self.answers_without = ANSWERS_TO_END;
        RateChange::Ends { held_ms }
    }
}
