//! What a stand-in backend server does wrong, changed while it runs by `POST /behave`.

use serde::Deserialize;
use serde::Serialize;

/// What the load endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadMode {
    #[default]
    Honest,
    /// Figures that are several seconds old.
    Lagging,
    /// Claims that nothing runs.
    AlwaysIdle,
    /// Claims that every slot is taken.
    AlwaysFull,
    /// Never answers.
    Silent,
}

/// The behaviour in force.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Behaviour {
    /// How many times as long as usual calls take.
    pub slow_factor: f64,
    pub shed_above_queued: Option<u32>,
    pub load: LoadMode,
    /// Calls run, but their answers are never sent.
    pub silent: bool,
    pub honours_deadlines: bool,
    pub honours_cancellation: bool,
    /// How many of a hundred calls fail with 500 after they ran.
    pub fail_percent: u8,
    /// The requests a second that its answers say it takes.
    pub rate_per_s: Option<f64>,
}

/// A change: what is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BehaviourChange {
    pub slow_factor: Option<f64>,
    pub shed_above_queued: Option<u32>,
    /// Ends the shedding that `shed_above_queued` began.
    pub stop_shedding: bool,
    pub load: Option<LoadMode>,
    pub silent: Option<bool>,
    pub honours_deadlines: Option<bool>,
    pub honours_cancellation: Option<bool>,
    pub fail_percent: Option<u8>,
    pub rate_per_s: Option<f64>,
    /// Its answers name no rate any more.
    pub stop_limiting: bool,
    /// Ends the process at once with the exit code of a crash.
    pub crash: bool,
}

impl Behaviour {
    /// Takes over what a change names.
    pub fn apply(&mut self, change: &BehaviourChange) {
        self.slow_factor = change.slow_factor.unwrap_or(self.slow_factor);
        self.shed_above_queued = change.shed_above_queued.or(self.shed_above_queued);
        if change.stop_shedding {
            self.shed_above_queued = None;
        }
        self.load = change.load.unwrap_or(self.load);
        self.silent = change.silent.unwrap_or(self.silent);
        self.honours_deadlines = change.honours_deadlines.unwrap_or(self.honours_deadlines);
        self.honours_cancellation = change
            .honours_cancellation
            .unwrap_or(self.honours_cancellation);
        self.fail_percent = change.fail_percent.unwrap_or(self.fail_percent);
        self.rate_per_s = change.rate_per_s.or(self.rate_per_s);
        if change.stop_limiting {
            self.rate_per_s = None;
        }
    }
}
