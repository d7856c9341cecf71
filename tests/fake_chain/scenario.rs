//! A scenario of the simulated chain: load, slowness and the behaviour of callers.

/// The order of waiting calls of one class, set by the rank given to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    Rank,
    Fifo,
    Lifo,
    Deadline,
}

/// The parts of the overload control that are enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Forwards all calls, with three retries per hop.
    Baseline,
    /// Admission at guards, without levels.
    Local,
    /// Admission at guards, with levels reported in answers.
    Levels,
}

/// The parameters of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub depth: usize,
    pub control: Control,
    pub order: Order,
    /// The offered load of the surge, in percent of the capacity of the slowed deep service.
    pub surge_percent: u64,
    /// The service time of the deep service during the surge, in percent of its ordinary time.
    pub slow_percent: u64,
    /// The time from which effects of the start are over.
    pub settled_ms: u64,
    pub surge_from_ms: u64,
    pub surge_to_ms: u64,
    pub end_ms: u64,
    /// How often and how soon callers resend. They ignore Retry-After unless `polite`.
    pub resends: u32,
    pub resend_ms: u64,
    pub polite: bool,
    /// The share of root requests that stay at the first service, in percent.
    pub shallow_percent: u64,
    pub targets: usize,
    pub slots: usize,
    pub deep_slots: usize,
    pub announced_percent: u32,
    pub own_us: u64,
    pub deep_us: u64,
    /// The exponentially distributed part of service times, in percent.
    pub spread_percent: u64,
    /// The deep backend servers shed calls beyond their slots instead of queueing them.
    pub sheds: bool,
    /// One deep target joins cold at this time. Until `warm_ms` it takes four times as long.
    pub joins_ms: u64,
    pub warm_ms: u64,
    /// Resends are new requests, so that each has its own rank.
    pub new_rank: bool,
    /// The share of each class in percent, most important first.
    pub classes: [u64; 4],
}

/// The maximum wait of each class, most important first.
pub const WAIT_MS: [u32; 4] = [2_000, 1_000, 500, 200];
/// The deadline of each class, most important first.
pub const DEADLINE_MS: [u64; 4] = [8_000, 4_000, 3_000, 2_000];

impl Default for Scenario {
    fn default() -> Self {
        Self::ORDINARY
    }
}

impl Scenario {
    /// The base scenario, of which the others are variants.
    pub const ORDINARY: Self = Self {
        seed: 1,
        depth: 4,
        control: Control::Levels,
        order: Order::Rank,
        surge_percent: 400,
        slow_percent: 300,
        settled_ms: 2_000,
        surge_from_ms: 5_000,
        surge_to_ms: 15_000,
        end_ms: 25_000,
        resends: 10,
        resend_ms: 100,
        polite: false,
        shallow_percent: 0,
        targets: 3,
        slots: 100,
        deep_slots: 15,
        announced_percent: 100,
        own_us: 5_000,
        deep_us: 30_000,
        spread_percent: 50,
        sheds: false,
        joins_ms: 0,
        warm_ms: 0,
        new_rank: false,
        classes: [10, 20, 30, 40],
    };

    /// The ordinary capacity of the deep service, in calls per second.
    pub fn capacity(&self) -> f64 {
        (self.targets * self.deep_slots) as f64 * 1e6 / self.deep_us as f64
    }

    /// The capacity of the slowed deep service, in calls per second.
    pub fn slow_capacity(&self) -> f64 {
        self.capacity() * 100.0 / self.slow_percent as f64
    }

    /// The offered rate of deep root requests at a time, per second.
    pub fn rate(&self, now_ms: u64) -> f64 {
        if self.in_surge(now_ms) {
            self.slow_capacity() * self.surge_percent as f64 / 100.0
        } else {
            self.ordinary_rate()
        }
    }

    /// The load before and after the surge: 70% of the capacity.
    pub fn ordinary_rate(&self) -> f64 {
        self.capacity() * 0.7
    }

    pub fn in_surge(&self, now_ms: u64) -> bool {
        (self.surge_from_ms..self.surge_to_ms).contains(&now_ms)
    }
}
