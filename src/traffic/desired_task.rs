//! Keeps the desired state in force up to date from the store.

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
use crate::store::RowChange;
use crate::store::RowName;
use crate::store::Store;
use crate::store::TableNews;
use crate::store::TableWatch;
use crate::store::WatchPause;
use crate::traffic::DesiredInForce;

/// Decodes a desired state from the operator's row.
pub type DecodeDesired =
    Arc<dyn Fn(&[u8]) -> Result<DesiredState, DesiredStateError> + Send + Sync>;

/// Where the operator keeps the desired state, and how it is written there.
#[derive(Clone)]
pub struct DesiredSource {
    pub row: RowName,
    pub decode: DecodeDesired,
}

/// Tells all members which version is in force here.
pub(super) type AnnounceVersion = Arc<dyn Fn(u64) + Send + Sync>;

/// Tells all members that the store holds nothing newer than a version.
pub(super) type ConfirmVersion = Arc<dyn Fn(u64) + Send + Sync>;

/// Whether this node asks the store now, rather than rely on what others tell.
pub(super) type AsksStore = Arc<dyn Fn() -> bool + Send + Sync>;

/// Follows the operator's row.
pub(super) struct StoreFollower {
    pub(super) store: Arc<dyn Store>,
    pub(super) source: DesiredSource,
    pub(super) desired: Arc<DesiredInForce>,
    pub(super) announce: AnnounceVersion,
    pub(super) confirm: ConfirmVersion,
    pub(super) asks: AsksStore,
    /// Woken when others told of a version and could not hand it over.
    pub(super) ask_now: Arc<Notify>,
    pub(super) reached: IntGauge,
    /// The version that the store holds, as it last said; `None` where that is unknown.
    pub(super) stored: Option<u64>,
}

impl StoreFollower {
    /// Runs for good.
    pub(super) async fn run(mut self) {
        let (table, part) = (self.source.row.table.clone(), self.source.row.part.clone());
        let mut watch = TableWatch::new(self.store.clone(), table, part);
        let mut pause = WatchPause::default();
        let mut was_reached = true;
        loop {
            self.until_it_asks().await;
            match watch.next(WATCH_LONG_POLL_MS).await {
                Ok(news) => {
                    pause.reset();
                    self.reached.set(1);
                    if !was_reached {
                        log::info!("store: reached again");
                    }
                    was_reached = true;
                    self.take(&news);
                }
                Err(error) => {
                    self.reached.set(0);
                    if was_reached {
                        log::warn!("store: lost, error={error}");
                    }
                    was_reached = false;
                    let pause_ms = pause.up_to(WATCH_MAX_BACKOFF_MS, fastrand::f64());
                    sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }

    /// Takes in what the store holds, and confirms what is in force if that is the same.
    ///
    /// Guards against a store that was restored from an older copy and shows an older state than the one in
    /// force: that stays, and the store's word says nothing of whether it is the newest.
    fn take(&mut self, news: &TableNews) {
        if news.is_whole {
            self.stored = None;
        }
        let of_operator = news.rows.iter().filter(|row| row.name == self.source.row);
        for row in of_operator {
            self.stored = self.take_row(row);
        }
        if self.stored == Some(self.desired.version()) {
            (self.confirm)(self.desired.version());
        }
    }

    /// Answers which version the row holds.
    fn take_row(&self, row: &RowChange) -> Option<u64> {
        let Some(value) = &row.value else {
            log::error!("config: the operator's row was dropped; the last version stays in force");
            return None;
        };
        match (self.source.decode)(value) {
            Ok(state) => {
                let version = state.version;
                if self.desired.offer(state) {
                    (self.announce)(version);
                }
                Some(version)
            }
            Err(error) => {
                log::error!("config: the operator's row is not valid, error={error}");
                None
            }
        }
    }

    async fn until_it_asks(&self) {
        while !(self.asks)() {
            let look = sleep(Duration::from_millis(WATCH_CHECK_INTERVAL_MS));
            tokio::select! {
                () = look => {}
                () = self.ask_now.notified() => return,
            }
        }
    }
}
