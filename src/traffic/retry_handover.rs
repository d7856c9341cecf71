//! What a process that stops leaves to its successor about retries.

use serde::Deserialize;
use serde::Serialize;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::unix_ms;

/// The retries of a node in the window that ended with a planned stop, stored in the node's row.
///
/// Without them the successor would have to assume that the whole retry budget is spent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RetryHandover {
    /// When the process stopped, in Unix milliseconds.
    pub stopped_unix_ms: u64,
    /// Retries by service. Services without any are left out.
    pub retries: FastMap<Name, u32>,
}

impl RetryHandover {
    /// The handover of a process that stops now.
    pub(super) fn now(retries: FastMap<Name, u32>) -> Self {
        Self {
            stopped_unix_ms: unix_ms(),
            retries,
        }
    }

    /// Whether it was written so recently that no other process of the node can have spent a budget
    /// since: a process uses only a reserve for one window after its start. An older one may be of
    /// a write that the store applied late.
    pub(super) fn is_recent(&self, window_ms: u64) -> bool {
        let age_ms = unix_ms().checked_sub(self.stopped_unix_ms);
        age_ms.is_some_and(|age_ms| age_ms < window_ms)
    }
}
