//! Demand and usage of one account in a failure domain.

use crate::accounts::DecayedRate;
use crate::core::TimeMs;

/// Time constants of the current demand, in milliseconds. The short one shows a surge within one or
/// two reports. The long one bridges the gaps between the few requests of a small account.
const SHORT_TIME_CONSTANT_MS: f32 = 400.0;
const LONG_TIME_CONSTANT_MS: f32 = 1_200.0;
/// Time constant of the demand by which failure domains share an allowance, in milliseconds. It is
/// long, so that random variation does not move their shares back and forth.
const SHARING_TIME_CONSTANT_MS: f32 = 3_000.0;

/// Demand and usage of one account, as reported to one coordinator.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DomainUsage {
    /// Demand in the own failure domain, averaged with three time constants.
    short: DecayedRate,
    long: DecayedRate,
    sharing: DecayedRate,
    /// Burst tokens: requests that may be used beyond the rate. Negative where more was used than
    /// allowed.
    pub tokens: f32,
    pub tokens_at: TimeMs,
    /// When a report last contained the account, or else when the account was first tracked.
    pub last_update_at: TimeMs,
    /// The own failure domain's share of the allowance, as last agreed with all others.
    pub share: f32,
    /// Whether the share was agreed. Until then it is estimated from the number of known nodes.
    pub is_share_agreed: bool,
    /// The fraction of requests to admit, as last computed.
    pub admitted_fraction: f32,
}

impl DomainUsage {
    /// Creates the state of an account without requests so far; all are admitted.
    pub fn new(now: TimeMs, share: f32, tokens: f32) -> Self {
        Self {
            tokens,
            tokens_at: now,
            last_update_at: now,
            share,
            admitted_fraction: 1.0,
            ..Self::default()
        }
    }

    /// Records `wanted` requests.
    pub fn record_requests(&mut self, now: TimeMs, wanted: f32) {
        self.last_update_at = now;
        self.short.record(now, wanted, SHORT_TIME_CONSTANT_MS);
        self.long.record(now, wanted, LONG_TIME_CONSTANT_MS);
        self.sharing.record(now, wanted, SHARING_TIME_CONSTANT_MS);
    }

    /// The demand by which failure domains share the allowance.
    pub fn sharing_demand_per_s(&self, now: TimeMs) -> f32 {
        self.sharing.per_s(now, SHARING_TIME_CONSTANT_MS)
    }

    /// The current demand: the larger of the short and the long average. A few requests in a short
    /// time may be chance. Their standard deviation, the square root of their number, is therefore
    /// subtracted from the short average.
    pub fn demand_per_s(&self, now: TimeMs) -> f32 {
        let recent =
            self.short.per_s(now, SHORT_TIME_CONSTANT_MS) * SHORT_TIME_CONSTANT_MS / 1_000.0;
        let significant_per_s =
            (recent - recent.sqrt()).max(0.0) * 1_000.0 / SHORT_TIME_CONSTANT_MS;
        significant_per_s.max(self.long.per_s(now, LONG_TIME_CONSTANT_MS))
    }
}
