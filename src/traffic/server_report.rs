//! Reports of a backend server.

use crate::core::Name;

/// The readiness of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    Ready,
    /// It stops soon, and accepts no new work.
    Draining,
    /// It is about to end: it accepts no new work and sends no further report.
    Left,
}

/// A report. Reports can arrive late: within an incarnation the sequence number shows which is
/// newer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// The identifier of the incarnation. It is usually new at each start, but a backend server
    /// that crashed may restart under the same identifier.
    pub incarnation: Name,
    /// When it started, in Unix milliseconds by its own clock, if it reports it.
    pub started_unix_ms: Option<u64>,
    pub state: ReportedState,
    /// The sequence number. This and the following fields are set in heartbeats only, not in
    /// departures.
    pub sequence: Option<u64>,
    pub service: Option<Name>,
    /// How many requests it claims to run at once: an upper bound, the actual number may be lower.
    pub slots: Option<u32>,
}

impl ServerReport {
    /// The report of a departure, without further details.
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
