//! Durations of leases and of the reads and promises that renew them.

use serde::Deserialize;
use serde::Serialize;

/// Added to every wait that must be longer than a duration measured on another VM's clock.
const MARGIN_MS: u64 = 500;

/// Durations that an owner relies on. They are recorded in the row, because a member that takes
/// over from the owner has to derive its waits from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseTerms {
    /// How long a lease lasts after a clean read of the row or a round of promises, counted from
    /// the moment of the request. A read is clean if the row lists the owner and contains no intent
    /// against it.
    pub lease_ms: u64,
    /// How long promises may replace reads of the table, counted from the last clean read.
    pub outage_ms: u64,
}

impl LeaseTerms {
    /// How long another member waits on its own clock until the owner's lease has certainly expired
    /// on the owner's clock.
    pub fn lease_expiry_wait_ms(self) -> u64 {
        with_clock_margin(self.lease_ms)
    }

    /// How long another member waits until the owner certainly no longer relies on promises.
    pub fn outage_expiry_wait_ms(self) -> u64 {
        with_clock_margin(self.outage_ms)
    }
}

/// Adds 5% and a fixed margin. Each of two VM clocks may run up to 1% fast or slow, and 5% covers
/// both.
fn with_clock_margin(duration_ms: u64) -> u64 {
    duration_ms + duration_ms / 20 + MARGIN_MS
}

/// Intervals and thresholds by which a node renews its lease and takes over slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConf {
    pub terms: LeaseTerms,
    /// Interval between two reads of the row. With 5 s, 720 nodes make 144 reads a second in all.
    pub read_interval_ms: u64,
    /// Delay before the next read after a failed one.
    pub read_retry_ms: u64,
    /// How long after the last clean read the node begins to ask for promises.
    pub promises_after_ms: u64,
    /// Interval between two rounds of promises.
    pub promise_interval_ms: u64,
    /// How long a member has to be missing from the membership view before its slots are taken
    /// over.
    pub missing_threshold_ms: u64,
    /// Extra delay for each further candidate, so that one of them acts and not all at once.
    pub rank_step_ms: u64,
    /// How long the backend server has to be down before the node hands its slots over.
    pub not_serving_threshold_ms: u64,
    /// Delay before the next hand-over after a failed one.
    pub hand_over_retry_ms: u64,
}

impl Default for LeaseConf {
    fn default() -> Self {
        Self::for_lease(15_000)
    }
}

impl LeaseConf {
    /// Derives all durations from the lease, in the proportions measured in docs/AT_MOST_ONCE.md.
    pub fn for_lease(lease_ms: u64) -> Self {
        let terms = LeaseTerms {
            lease_ms,
            outage_ms: lease_ms * 240,
        };
        Self {
            terms,
            read_interval_ms: lease_ms / 3,
            read_retry_ms: lease_ms / 8,
            promises_after_ms: lease_ms * 2 / 5,
            promise_interval_ms: lease_ms / 5,
            missing_threshold_ms: lease_ms / 4,
            rank_step_ms: lease_ms / 4,
            not_serving_threshold_ms: lease_ms / 5,
            hand_over_retry_ms: lease_ms / 2,
        }
    }
}
