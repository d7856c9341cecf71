//! When a node looks whether the store still holds its row.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::store::EraWatch;

/// All nodes look within this time after the store was restored, in milliseconds.
const SPREAD_MS: u64 = 2_000;
/// And once more so long after that, in milliseconds: a write of before, whose answer was lost, may be
/// performed seconds later.
const RECHECK_MS: u64 = 8_000;

/// The times at which the row is to be read back.
///
/// Guards against a store that was restored from an older copy and has lost a departure, or a backend
/// server's new incarnation, that it had acknowledged: the writer takes its row for written for good. It
/// shows only after a later restart of the node, which then sends work to a backend server that is leaving.
/// It holds because each node hears of the new era, from the store or from others, reads its row back and
/// writes it again where it is another one.
pub(super) struct RowChecks {
    newest: watch::Receiver<Option<u64>>,
    /// The era that was known when nothing was due yet.
    known_era: Option<u64>,
    due: VecDeque<Instant>,
}

impl RowChecks {
    /// Nothing is due before the next era.
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
                    // There will be no later era.
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
        // The first era that is heard of is the one in which the row was written.
        if self.known_era.is_none() {
            self.known_era = newest;
            return;
        }
        let spread = Duration::from_millis(fastrand::u64(..SPREAD_MS));
        let first = Instant::now() + spread;
        self.due = VecDeque::from([first, first + Duration::from_millis(RECHECK_MS)]);
    }
}
