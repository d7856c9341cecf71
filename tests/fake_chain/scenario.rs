//! What happens to the fake chain: load, slowness and how callers behave.

/// The order of waiting calls of one class, brought about by the rank that calls are given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    Rank,
    Fifo,
    Lifo,
    Deadline,
}

/// How much of the product takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Forward everything, three retries a hop.
    Baseline,
    /// Admission at guards, no levels.
    Local,
    /// Admission at guards, and levels learnt from answers.
    Levels,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub depth: usize,
    pub control: Control,
    pub order: Order,
    /// Offered load of the surge, in percent of what the slowed deep service can run.
    pub surge_percent: u64,
    /// How much longer the deep service takes during the surge, in percent of its ordinary time.
    pub slow_percent: u64,
    /// From when on the start has no more effect.
    pub settled_ms: u64,
    pub surge_from_ms: u64,
    pub surge_to_ms: u64,
    pub end_ms: u64,
    /// How often and how soon callers resend; they heed no Retry-After unless `polite`.
    pub resends: u32,
    pub resend_ms: u64,
    pub polite: bool,
    /// Share of root requests that stay at the first service, in percent.
    pub shallow_percent: u64,
    pub targets: usize,
    pub slots: usize,
    pub deep_slots: usize,
    pub announced_percent: u32,
    pub own_us: u64,
    pub deep_us: u64,
    /// The part of service times that varies, exponentially, in percent.
    pub spread_percent: u64,
    /// The deep backend servers shed what exceeds their slots instead of queueing it inside.
    pub sheds: bool,
    /// One deep target joins at this time, cold: until `warm_ms` it takes four times as long.
    pub joins_ms: u64,
    pub warm_ms: u64,
    /// Resends come as new requests, so that each has a rank of its own.
    pub new_rank: bool,
    /// The share of each class in percent, most important first.
    pub classes: [u64; 4],
}

/// Longest wait of each class, most important first.
pub const WAIT_MS: [u32; 4] = [2_000, 1_000, 500, 200];
/// Deadline of each class, most important first.
pub const DEADLINE_MS: [u64; 4] = [8_000, 4_000, 3_000, 2_000];

impl Default for Scenario {
    fn default() -> Self {
        Self::ORDINARY
    }
}

impl Scenario {
    /// The scenario that the others are variants of.
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

    /// What the deep service can run in a second, ordinarily.
    pub fn capacity(&self) -> f64 {
        (self.targets * self.deep_slots) as f64 * 1e6 / self.deep_us as f64
    }

    /// What it can run in a second while it is slow.
    pub fn slow_capacity(&self) -> f64 {
        self.capacity() * 100.0 / self.slow_percent as f64
    }

    /// Deep root requests offered per second at a time.
    pub fn rate(&self, now_ms: u64) -> f64 {
        if self.in_surge(now_ms) {
            self.slow_capacity() * self.surge_percent as f64 / 100.0
        } else {
            self.ordinary_rate()
        }
    }

    /// The load before and after the surge: seven tenths of what could be run.
    pub fn ordinary_rate(&self) -> f64 {
        self.capacity() * 0.7
    }

    pub fn in_surge(&self, now_ms: u64) -> bool {
        (self.surge_from_ms..self.surge_to_ms).contains(&now_ms)
    }
}
