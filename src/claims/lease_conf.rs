//! The durations of leases and of what keeps them.

use serde::Deserialize;
use serde::Serialize;

/// Added to every wait that must outlast a duration on another VM's clock.
const MARGIN_MS: u64 = 500;

/// What an owner relies on, recorded in the row for those who would take over from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseTerms {
    /// For how long a sign that nobody takes over holds, from the moment it was asked for.
    pub lease_ms: u64,
    /// For how long promises may stand in for the table, from the last clean read on.
    pub outage_ms: u64,
}

impl LeaseTerms {
    /// How long one waits on one's own clock until the owner's lease is over on its clock.
    pub fn lease_over_ms(self) -> u64 {
        outlast(self.lease_ms)
    }

    /// How long one waits until the owner does not rely on promises any more.
    pub fn outage_over_ms(self) -> u64 {
        outlast(self.outage_ms)
    }
}

/// Clocks of two VMs differ by up to 1% in speed each; a twentieth covers both.
fn outlast(duration_ms: u64) -> u64 {
    duration_ms + duration_ms / 20 + MARGIN_MS
}

/// How a node keeps its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConf {
    pub terms: LeaseTerms,
    /// Between two reads of the row; 720 nodes read it 144 times a second at 5 s.
    pub read_every_ms: u64,
    /// After a read that failed.
    pub read_again_ms: u64,
    /// Without a clean read for so long, promises are asked for.
    pub promises_after_ms: u64,
    /// Between two rounds of promises.
    pub promises_every_ms: u64,
    /// For how long a member has to be gone from the view before its slots are taken over.
    pub missing_ms: u64,
    /// How much longer each further candidate waits, so that one of them acts and not all.
    pub rank_step_ms: u64,
    /// For how long the backend server has to be down before its slots are given away.
    pub not_serving_ms: u64,
    /// After a hand-over that failed.
    pub give_again_ms: u64,
}

impl Default for LeaseConf {
    fn default() -> Self {
        Self::for_lease(15_000)
    }
}

impl LeaseConf {
    /// The proportions that are measured in docs/AT_MOST_ONCE.md, for a lease of any length.
    pub fn for_lease(lease_ms: u64) -> Self {
        let terms = LeaseTerms {
            lease_ms,
            outage_ms: lease_ms * 240,
        };
        Self {
            terms,
            read_every_ms: lease_ms / 3,
            read_again_ms: lease_ms / 8,
            promises_after_ms: lease_ms * 2 / 5,
            promises_every_ms: lease_ms / 5,
            missing_ms: lease_ms / 4,
            rank_step_ms: lease_ms / 4,
            not_serving_ms: lease_ms / 5,
            give_again_ms: lease_ms / 2,
        }
    }
}
