//! How a node that has just started finds others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::control::ControlHandle;
use crate::core::Name;
use crate::errors::StoreError;
use crate::store::Store;
use crate::store::StoredRow;
use crate::store::WatchPause;
use crate::store::key_after;
use crate::traffic::roster_row::RosterRow;

/// How many rows are read at once. Each names a node to ask for all others, so a handful does; the rest
/// is for nodes that are gone.
const SAMPLE_ROWS: usize = 16;
/// With fewer rows than this up to the last key, the first ones are read as well.
const LEAST_ROWS: usize = 8;
/// After these pauses in milliseconds the nodes found are asked who is there: at once, and again, for
/// nodes that start together know few when they are asked first. From then on gossip tells of others.
const ASK_AGAIN_MS: [u64; 2] = [0, 600];

/// Reads rows of other nodes, a sample at a time.
///
/// Guards against rows read in the square of the nodes: each node that starts reads a sample, not all,
/// and gossip tells it of the rest. It holds because a node reads after it has written its own row, or
/// its row is there from before: of all that start together, each but the first one to write knows one
/// that wrote before it, so all hang together. And a sample of rows whose nodes are all gone is followed
/// by the next one, until another node answers.
pub(super) struct FindOthers {
    pub(super) store: Arc<dyn Store>,
    pub(super) control: Arc<ControlHandle>,
    pub(super) table: Name,
    /// Its own row, behind which the first sample begins.
    pub(super) own_key: Name,
}

impl FindOthers {
    /// Runs until other nodes are known.
    pub(super) async fn run(self) {
        let mut from = key_after(&self.own_key);
        let seeds = self.next_sample(&mut from).await;
        for pause_ms in ASK_AGAIN_MS {
            sleep(Duration::from_millis(pause_ms)).await;
            self.control.add_seeds(seeds.clone());
        }
        // A node that knows nobody after that has started during an outage, or read of nodes that are
        // gone: it asks on.
        let mut pause = WatchPause::default();
        while self.control.view.load().nodes.len() < 2 {
            sleep(Duration::from_millis(pause.after_failure(fastrand::f64()))).await;
            let seeds = self.next_sample(&mut from).await;
            self.control.add_seeds(seeds);
        }
    }

    /// The addresses in the next sample; none when it cannot be read.
    async fn next_sample(&self, from: &mut Name) -> Vec<SocketAddr> {
        let rows = match self.read(from).await {
            Ok(rows) => rows,
            Err(error) => {
                log::debug!("roster: rows cannot be read, error={error}");
                return Vec::new();
            }
        };
        if let Some(last) = rows.last() {
            *from = key_after(&last.name.key);
        }
        let others = rows.iter().filter(|row| row.name.key != self.own_key);
        let rows = others.filter_map(RosterRow::decode);
        rows.filter_map(|row| row.control_address).collect()
    }

    /// The rows from a key on, and from the first one on where the last one is near.
    async fn read(&self, from: &Name) -> Result<Vec<StoredRow>, StoreError> {
        let mut rows = self.read_from(from.clone()).await?;
        if rows.len() < LEAST_ROWS {
            rows.extend(self.read_from(Name::from("")).await?);
        }
        Ok(rows)
    }

    async fn read_from(&self, from: Name) -> Result<Vec<StoredRow>, StoreError> {
        let (table, part) = (self.table.clone(), Name::from(""));
        self.store.read_some(table, part, from, SAMPLE_ROWS).await
    }
}
