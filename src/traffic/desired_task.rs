//! Keeps the desired state in force up to date, from the store and from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prometheus::IntGauge;
use tokio::sync::mpsc::Receiver;

use crate::control::PeerClients;
use crate::desired::DesiredState;
use crate::desired::WatchPace;
use crate::errors::DesiredStateError;
use crate::store::RowChange;
use crate::store::RowName;
use crate::store::Store;
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

/// How closely this node has to follow the store at present.
pub(super) type Pace = Arc<dyn Fn() -> WatchPace + Send + Sync>;

/// Follows the operator's row for good.
pub(super) async fn watch_store(
    store: Arc<dyn Store>,
    source: DesiredSource,
    desired: Arc<DesiredInForce>,
    announce: AnnounceVersion,
    pace: Pace,
    reached: IntGauge,
) {
    let (table, part) = (source.row.table.clone(), source.row.part.clone());
    let mut watch = TableWatch::new(store, table, part);
    let mut pause = WatchPause::default();
    let mut was_reached = true;
    loop {
        match watch.next(pace().wait_ms).await {
            Ok(changes) => {
                pause.reset();
                reached.set(1);
                if !was_reached {
                    log::info!("store: reached again");
                }
                was_reached = true;
                take_changes(&changes, &source, &desired, &announce);
            }
            Err(error) => {
                reached.set(0);
                if was_reached {
                    log::warn!("store: lost, error={error}");
                }
                was_reached = false;
                let pause_ms = pause.up_to(pace().longest_pause_ms, fastrand::f64());
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

fn take_changes(
    changes: &[RowChange],
    source: &DesiredSource,
    desired: &DesiredInForce,
    announce: &AnnounceVersion,
) {
    let of_operator = changes.iter().filter(|row| row.name == source.row);
    for row in of_operator {
        let Some(value) = &row.value else {
            log::error!("config: the operator's row was dropped; the last version stays in force");
            continue;
        };
        match (source.decode)(value) {
            Ok(state) => {
                let version = state.version;
                if desired.offer(state) {
                    announce(version);
                }
            }
            Err(error) => log::error!("config: the operator's row is not valid, error={error}"),
        }
    }
}

/// News that a peer has a version in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionNews {
    pub from: SocketAddr,
    pub version: u64,
}

/// Fetches from peers what they have in force and this node has not.
///
/// Guards against a store that turns this node away while it serves the operator and others: the
/// operator's change is acknowledged, and only peers can tell of it.
pub(super) async fn fetch_news(
    mut news: Receiver<VersionNews>,
    clients: Arc<PeerClients>,
    desired: Arc<DesiredInForce>,
    announce: AnnounceVersion,
) {
    while let Some(VersionNews { from, version }) = news.recv().await {
        if version <= desired.version() {
            continue;
        }
        match clients.config_above(from, desired.version()).await {
            Ok(Some(document)) => {
                if desired.offer_document(&document) {
                    announce(document.version);
                }
            }
            Ok(None) => {}
            Err(error) => log::debug!("config: a peer gave no answer, peer={from} error={error}"),
        }
    }
}
