//! What a backend server says of itself.

use crate::core::Name;

/// What a backend server says of its readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    Ready,
    /// It stops soon: no new work.
    Draining,
    /// It is about to end: no new work, and no further report.
    Left,
}

/// One report. Reports can be late: within an incarnation the sequence tells which is newer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// New with each start of the backend server, mostly: one that crashes may come back under the
    /// identifier that it had.
    pub incarnation: Name,
    /// When it started, in Unix milliseconds by its own clock, if it says so.
    pub started_unix_ms: Option<u64>,
    pub state: ReportedState,
    /// What a heartbeat says besides; a departure says nothing more.
    pub sequence: Option<u64>,
    pub service: Option<Name>,
    /// How many requests it says it runs at once; an upper bound, not the truth.
    pub slots: Option<u32>,
}

impl ServerReport {
    /// The backend server leaves, and says nothing more.
    pub fn departure(incarnation: Name, started_unix_ms: Option<u64>) -> Self {
        Self {
            incarnation,
            started_unix_ms,
            state: ReportedState::Left,
            sequence: None,
            service: None,
            slots: None,
        }
    }
}
