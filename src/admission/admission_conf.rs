//! Configuration of admission control at a guard.

/// Bounds and intervals of admission control.
#[derive(Clone, Debug)]
pub struct AdmissionConf {
    /// Whether the limit adapts to service times and to refusals. It must be `false` if the time
    /// spent in child calls is not known, or if the backend server also refuses for reasons other
    /// than load. The limit is then the number of announced slots.
    pub adapts_limit: bool,
    /// The limit for a backend server that has just started.
    pub initial_limit: u32,
    /// The lower bound of the limit. Some calls have to run so that the limit can be adjusted.
    pub min_limit: u32,
    /// The upper bound of the limit, whatever the backend server announces.
    pub max_limit: u32,
    /// The queue bound as a percentage of the limit.
    pub queue_percent: u32,
    /// The least queue bound, whatever the limit is.
    pub min_queue: usize,
    /// How often the limit and the level are recomputed.
    pub window_ms: u64,
    /// The target queueing time of the level. The level falls when calls wait for twice as
    /// long throughout a window, and rises when they wait for less.
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
