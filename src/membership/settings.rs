//! The periods and bounds of gossip.

/// How often members probe each other and how much they may send.
///
/// The defaults are those measured in docs/MEMBERSHIP.md. Tests shorten the periods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// One member is probed in each period.
    pub probe_period_ms: u64,
    /// Time without an answer after which indirect probes are requested from other members.
    pub direct_timeout_ms: u64,
    /// Time without an answer after which the probed member is suspected.
    pub probe_timeout_ms: u64,
    /// How long a suspected member has to refute before it is probed for the last time.
    pub suspicion_ms: u64,
    /// If a whole failure domain answers again after a longer silence than this, suspicions of its
    /// members are dropped as inconclusive.
    pub quiet_ms: u64,
    /// Silence of a whole failure domain after which it counts as cut off.
    pub cut_off_ms: u64,
    /// How often lost members and an unknown seed are pinged, so that separated partitions merge
    /// again.
    pub rejoin_period_ms: u64,
    /// How long a member that died or left is remembered.
    pub tombstone_ms: u64,
    /// How many members that died or left are remembered. The oldest are removed first.
    pub max_tombstones: usize,
    /// Members beyond this number are not added, which bounds the memory.
    pub max_members: usize,
    /// Minimum time between two comparisons of member tables that this node starts.
    pub compare_period_ms: u64,
    /// Payload size above which no further update is added to a datagram.
    pub max_datagram_bytes: usize,
    /// Long-term rate of updates and rumors that this node sends. Probes are not limited by it.
    pub update_bytes_per_s: u64,
    /// How many bytes of updates and rumors may be sent at once after an idle time.
    pub update_burst_bytes: u64,
    /// To how many members a new update is pushed at once.
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
            update_bytes_per_s: 1_000,
            update_burst_bytes: 4_000,
            rumor_fan_out: 4,
        }
    }
}
