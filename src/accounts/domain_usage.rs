//! Demand and usage of one account in a failure domain.

use crate::accounts::DecayedRate;
use crate::core::TimeMs;

/// Time constants of the demand, in milliseconds. The short one shows a surge within a report or
/// two. The long one bridges the gaps between the few requests of a small account.
const SHORT_MEMORY_MS: f32 = 400.0;
const LONG_MEMORY_MS: f32 = 1_200.0;
/// Time constant of the demand by which failure domains share an allowance, in milliseconds. It is
/// long, so that random variation does not move their shares back and forth.
const SHARING_MEMORY_MS: f32 = 3_000.0;

/// Demand and usage of one account, as a coordinator knows them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DomainUsage {
    /// Demand in the own failure domain.
    short: DecayedRate,
    long: DecayedRate,
    sharing: DecayedRate,
    /// Burst tokens: requests that may be used beyond the rate. Negative where more was used than
    /// allowed.
    pub tokens: f32,
    pub tokens_at: TimeMs,
    /// When the coordinator last received anything about the account.
    pub last_heard: TimeMs,
    /// The own failure domain's share, as last agreed with all others.
    pub share: f32,
    /// Whether the share was agreed, rather than estimated from the known nodes.
    pub is_share_agreed: bool,
    /// The fraction of requests to admit, as last computed.
    pub admitted: f32,
}

impl DomainUsage {
    /// Creates the state of an account without requests so far; all are admitted.
    pub fn new(now: TimeMs, share: f32, tokens: f32) -> Self {
        Self {
            tokens,
            tokens_at: now,
            last_heard: now,
            share,
            admitted: 1.0,
            ..Self::default()
        }
    }

    /// Records `wanted` requests.
    pub fn record_requests(&mut self, now: TimeMs, wanted: f32) {
        self.last_heard = now;
        self.short.record(now, wanted, SHORT_MEMORY_MS);
        self.long.record(now, wanted, LONG_MEMORY_MS);
        self.sharing.record(now, wanted, SHARING_MEMORY_MS);
    }

    /// The demand by which failure domains share the allowance.
    pub fn sharing_demand_per_s(&self, now: TimeMs) -> f32 {
        self.sharing.per_s(now, SHARING_MEMORY_MS)
    }

    /// The current demand. A few requests in a short time may be chance, so the short average
    /// counts only after the square root of its requests is subtracted.
    pub fn demand_per_s(&self, now: TimeMs) -> f32 {
        let short = self.short.per_s(now, SHORT_MEMORY_MS) * SHORT_MEMORY_MS / 1_000.0;
        let certain = (short - short.sqrt()).max(0.0) * 1_000.0 / SHORT_MEMORY_MS;
        certain.max(self.long.per_s(now, LONG_MEMORY_MS))
    }
}
