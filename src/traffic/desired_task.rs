//! Follows the desired state in the store and puts each new version into force.

use std::sync::Arc;
use std::time::Duration;

use prometheus::IntGauge;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::desired::DesiredState;
use crate::desired::WATCH_CHECK_INTERVAL_MS;
use crate::desired::WATCH_LONG_POLL_MS;
use crate::desired::WATCH_MAX_BACKOFF_MS;
use crate::errors::DesiredStateError;
use crate::store::Backoff;
use crate::store::RowChange;
use crate::store::RowName;
use crate::store::Store;
use crate::store::TableChanges;
use crate::store::TableWatch;
use crate::traffic::DesiredInForce;

/// Decodes the operator's row into a desired state.
pub type DecodeDesired =
    Arc<dyn Fn(&[u8]) -> Result<DesiredState, DesiredStateError> + Send + Sync>;

/// The row where the operator keeps the desired state, and its decoder.
#[derive(Clone)]
pub struct DesiredSource {
    pub row: RowName,
    pub decode: DecodeDesired,
}

/// Announces to all members which version is in force here.
pub(super) type AnnounceVersion = Arc<dyn Fn(u64) + Send + Sync>;

/// Announces to all members that the store holds nothing newer than a version.
pub(super) type ConfirmVersion = Arc<dyn Fn(u64) + Send + Sync>;

/// Whether this node polls the store now, instead of relying on announcements of other nodes.
pub(super) type ShouldPollStore = Arc<dyn Fn() -> bool + Send + Sync>;

/// Watches the operator's row in the store.
pub(super) struct StoreFollower {
    pub(super) store: Arc<dyn Store>,
    pub(super) source: DesiredSource,
    pub(super) desired: Arc<DesiredInForce>,
    pub(super) announce: AnnounceVersion,
    pub(super) confirm: ConfirmVersion,
    pub(super) should_poll: ShouldPollStore,
    /// Notified when a peer announced a version but did not deliver it.
    pub(super) poll_now: Arc<Notify>,
    pub(super) reached: IntGauge,
    /// The version that was last read from the store; `None` if unknown.
    pub(super) stored: Option<u64>,
}

impl StoreFollower {
    /// Runs until the process ends.
    pub(super) async fn run(mut self) {
        let (table, part) = (self.source.row.table.clone(), self.source.row.part.clone());
        let mut watch = TableWatch::new(self.store.clone(), table, part);
        let mut pause = Backoff::default();
        let mut was_reached = true;
        loop {
            self.wait_until_polling().await;
            match watch.next(WATCH_LONG_POLL_MS).await {
                Ok(changes) => {
                    pause.reset();
                    self.reached.set(1);
                    if !was_reached {
                        log::info!("store: reached again");
                    }
                    was_reached = true;
                    self.apply(&changes);
                }
                Err(error) => {
                    self.reached.set(0);
                    if was_reached {
                        log::warn!("store: lost, error={error}");
                    }
                    was_reached = false;
                    let pause_ms = pause.after_failure_up_to(WATCH_MAX_BACKOFF_MS, fastrand::f64());
                    sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }

    /// Applies changes read from the store. Confirms the version in force if the store holds the
    /// same.
    ///
    /// A store that was restored from an older copy may hold an older state than the one in force.
    /// The latter then stays in force, and is not confirmed as the newest.
    fn apply(&mut self, changes: &TableChanges) {
        if changes.is_snapshot {
            self.stored = None;
        }
        let of_operator = changes
            .rows
            .iter()
            .filter(|row| row.name == self.source.row);
        for row in of_operator {
            self.stored = self.apply_row(row);
        }
        if self.stored == Some(self.desired.version()) {
            (self.confirm)(self.desired.version());
        }
    }

    /// Returns the version that the row holds.
    fn apply_row(&self, row: &RowChange) -> Option<u64> {
        let Some(value) = &row.value else {
            log::error!("config: the operator's row was deleted; the last version stays in force");
            return None;
        };
        match (self.source.decode)(value) {
            Ok(state) => {
                let version = state.version;
                if self.desired.apply_if_newer(state) {
                    (self.announce)(version);
                }
                Some(version)
            }
            Err(error) => {
                log::error!("config: the operator's row is invalid, error={error}");
                None
            }
        }
    }

    async fn wait_until_polling(&self) {
        while !(self.should_poll)() {
            let poll = sleep(Duration::from_millis(WATCH_CHECK_INTERVAL_MS));
            tokio::select! {
                () = poll => {}
                () = self.poll_now.notified() => return,
            }
        }
    }
}
