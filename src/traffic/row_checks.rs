//! Schedules checks of whether the store still holds a node's row.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::store::EraWatch;

/// All nodes check their row within this time after a restore of the store, in milliseconds.
const SPREAD_MS: u64 = 2_000;
/// Delay of a second check after the first, in milliseconds. An earlier write whose answer was lost
/// may be performed seconds later.
const RECHECK_MS: u64 = 8_000;

/// The times at which the row is to be read back.
///
/// A store that was restored from an older copy may have lost a write that it had acknowledged: a
/// departure, or a new incarnation of a backend server. Without a check, the loss shows only after
/// a later restart of the node, which then sends work to a backend server that is leaving. So each
/// node learns of the store's new era, from the store or from other nodes, reads its row back, and
/// writes it again if it differs.
pub(super) struct RowChecks {
    newest: watch::Receiver<Option<u64>>,
    /// The era in which the row was written; no check is due in it.
    known_era: Option<u64>,
    due: VecDeque<Instant>,
}

impl RowChecks {
    /// No check is due before the next era.
    pub(super) fn new(eras: &EraWatch) -> Self {
        Self {
            newest: eras.subscribe(),
            known_era: eras.newest(),
            due: VecDeque::new(),
        }
    }

    /// Waits until the row is to be read back.
    pub(super) async fn due(&mut self) {
        loop {
            let next = self.due.front().copied();
            tokio::select! {
                changed = self.newest.changed() => match changed {
                    Ok(()) => self.schedule(),
                    // The sender is gone, so there will be no later era.
                    Err(_) => std::future::pending().await,
                },
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                    self.due.pop_front();
                    return;
                }
            }
        }
    }

    fn schedule(&mut self) {
        let newest = *self.newest.borrow_and_update();
        // The first era that is known is the one in which the row was written.
        if self.known_era.is_none() {
            self.known_era = newest;
            return;
        }
        let spread = Duration::from_millis(fastrand::u64(..SPREAD_MS));
        let first = Instant::now() + spread;
        self.due = VecDeque::from([first, first + Duration::from_millis(RECHECK_MS)]);
    }
}
