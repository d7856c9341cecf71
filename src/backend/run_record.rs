//! What a stand-in backend server remembers of its runs.

use serde::Deserialize;
use serde::Serialize;

use crate::core::TimeMs;

/// One run of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunRecord {
    /// Counts the runs of this process from 1.
    pub run: u64,
    /// As the node gave it, empty without one.
    pub request_id: String,
    pub key: Option<String>,
    pub method: String,
    /// The path and query.
    pub path: String,
    /// On the clock of the process.
    pub started_ms: TimeMs,
    /// `None` while it runs.
    pub ended_ms: Option<TimeMs>,
    pub completed: bool,
    /// Given up in the middle: the caller left, cancelled it, or its deadline passed.
    pub cancelled: bool,
}

/// A line of the run log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEvent {
    Start(RunRecord),
    End(RunRecord),
}

/// Counts since the process started; these are never dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunCounters {
    pub arrived: u64,
    pub started: u64,
    pub completed: u64,
    pub cancelled: u64,
    pub shed: u64,
    /// Calls whose deadline passed before they got a slot.
    pub expired_in_queue: u64,
    /// Calls that arrived after the drain began.
    pub arrived_while_draining: u64,
    /// When the last of these arrived, in milliseconds after the drain began.
    pub last_arrival_after_drain_ms: u64,
    /// Completed runs that answered with a failure because a child call failed.
    pub failed_by_child: u64,
}

/// The answer of `GET /runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunList {
    pub service: String,
    pub instance: String,
    pub counters: RunCounters,
    /// Records that were dropped because there were too many.
    pub dropped: u64,
    pub runs: Vec<RunRecord>,
}
