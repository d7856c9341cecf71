//! Incarnations of the local backend server that have ended or are leaving.

use std::collections::VecDeque;

use crate::core::Name;
use crate::traffic::Departure;
use crate::traffic::ServerReport;

/// Maximum number of incarnations remembered, so that their late reports change nothing.
const MAX_GONE: usize = 32;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Gone {
    incarnation: Name,
    started_unix_ms: Option<u64>,
    /// It has reported that it leaves. Otherwise another incarnation has taken its place, which may
    /// be a wrong assumption from a late report.
    has_left: bool,
}

/// The most recent of these incarnations, the oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct GoneServers {
    gone: VecDeque<Gone>,
}

impl GoneServers {
    /// Records an incarnation, with the latest of its start times. `has_left` means that it has
    /// reported that it leaves.
    pub fn record(&mut self, incarnation: &Name, started_unix_ms: Option<u64>, has_left: bool) {
        let mut known = self.gone.iter_mut();
        let known = known.find(|gone| gone.incarnation == *incarnation);
        if let Some(known) = known {
            known.started_unix_ms = known.started_unix_ms.max(started_unix_ms);
            known.has_left |= has_left;
            return;
        }
        if self.gone.len() >= MAX_GONE {
            self.gone.pop_front();
        }
        self.gone.push_back(Gone {
            incarnation: incarnation.clone(),
            started_unix_ms,
            has_left,
        });
    }

    /// Whether this incarnation is gone, for any of its start times.
    pub fn contains(&self, incarnation: &Name) -> bool {
        self.gone
            .iter()
            .any(|gone| gone.incarnation == *incarnation)
    }

    /// Whether this incarnation has left, for any of its start times.
    pub fn has_left(&self, incarnation: &Name) -> bool {
        self.gone
            .iter()
            .any(|gone| gone.has_left && gone.incarnation == *incarnation)
    }

    /// The most recently recorded departure.
    pub fn last_departure(&self) -> Option<Departure> {
        let departed = self.gone.iter().rev().find(|gone| gone.has_left)?;
        Some(Departure {
            incarnation: departed.incarnation.clone(),
            started_unix_ms: departed.started_unix_ms,
        })
    }

    /// Whether a report comes from an incarnation that is gone, and not from a later start under
    /// the same identifier.
    pub fn is_report_of_gone(&self, report: &ServerReport) -> bool {
        let is_same = |gone: &&Gone| gone.incarnation == report.incarnation;
        let mut same = self.gone.iter().filter(is_same);
        same.any(|gone| !is_later(report.started_unix_ms, gone.started_unix_ms))
    }

    /// Removes an incarnation that is current again.
    pub fn forget(&mut self, incarnation: &Name) {
        self.gone.retain(|gone| gone.incarnation != *incarnation);
    }
}

/// Whether one start time is known to be after another.
pub(super) fn is_later(one: Option<u64>, other: Option<u64>) -> bool {
    one.zip(other).is_some_and(|(one, other)| one > other)
}
