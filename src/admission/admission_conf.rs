//! What can be set about admission at a guard.

/// Bounds and pace of admission. The defaults are those that were measured.
#[derive(Clone, Debug)]
pub struct AdmissionConf {
    /// Whether the limit is learnt from how long calls take and from refusals. `false` where the time
    /// that a backend server's own calls take cannot be told from its work, and where it refuses
    /// for other reasons than load: the limit then is what it announces.
    pub adapts_limit: bool,
    /// The limit before anything is known of a backend server that has just started.
    pub initial_limit: u32,
    /// The limit never falls below this, so that there is always something to learn from.
    pub min_limit: u32,
    /// The limit never rises above this, whatever is announced.
    pub max_limit: u32,
    /// Calls that may wait, as a percentage of the limit.
    pub queue_percent: u32,
    /// Calls that may wait whatever the limit is.
    pub min_queue: usize,
    /// How often the limit and the level are worked out anew.
    pub window_ms: u64,
    /// The wait in the queue that the level steers to: it falls when calls wait for twice as long
    /// throughout a window, and rises when they wait for less.
    pub wait_target_ms: u64,
}

impl Default for AdmissionConf {
    fn default() -> Self {
        Self {
            adapts_limit: true,
            initial_limit: 16,
            min_limit: 2,
            max_limit: 2_000,
            queue_percent: 100,
            min_queue: 16,
            window_ms: 100,
            wait_target_ms: 5,
        }
    }
}
