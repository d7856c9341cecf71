//! The periods and bounds of the gossip, with the values of the measurement as defaults.

/// How often members probe each other and how much they may send.
///
/// The defaults are those measured in docs/MEMBERSHIP.md; tests shorten the periods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// One member is probed in each period.
    pub probe_period_ms: u64,
    /// Silence after which other members are asked to probe on this node's behalf.
    pub direct_timeout_ms: u64,
    /// Silence after which the probed member is suspected.
    pub probe_timeout_ms: u64,
    /// How long a suspect has to refute before it is probed for the last time.
    pub suspicion_ms: u64,
    /// Silence of a whole failure domain after which suspicions of its members prove nothing.
    pub quiet_ms: u64,
    /// Silence of a whole failure domain after which it counts as cut off.
    pub cut_off_ms: u64,
    /// How often one dead member or one unknown seed is tried, so that parts that were separated
    /// find each other again.
    pub rejoin_period_ms: u64,
    /// How long a dead or departed member is remembered.
    pub tombstone_ms: u64,
    /// How many dead or departed members are remembered; the oldest go first.
    pub max_tombstones: usize,
    /// Members beyond this number are not taken in: a bound on memory.
    pub max_members: usize,
    /// The least time between two comparisons of member tables that this node starts.
    pub compare_period_ms: u64,
    /// Payload above which no further update is packed into a datagram.
    pub max_datagram_bytes: usize,
    /// Long-term rate of news (updates and rumors) that this node sends; probes are not held back.
    pub news_bytes_per_s: u64,
    /// How much news may be sent at once after a quiet time.
    pub news_burst_bytes: u64,
    /// To how many members fresh news is pushed at once.
    pub rumor_fan_out: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period_ms: 1_000,
            direct_timeout_ms: 400,
            probe_timeout_ms: 1_000,
            suspicion_ms: 3_000,
            quiet_ms: 3_000,
            cut_off_ms: 8_000,
            rejoin_period_ms: 5_000,
            tombstone_ms: 2 * 3_600_000,
            max_tombstones: 1_000,
            max_members: 4_000,
            compare_period_ms: 3_000,
            max_datagram_bytes: 1_200,
            news_bytes_per_s: 1_000,
            news_burst_bytes: 4_000,
            rumor_fan_out: 4,
        }
    }
}
