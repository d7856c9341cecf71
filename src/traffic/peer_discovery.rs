//! Discovery of other nodes after a start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::control::ControlHandle;
use crate::core::Name;
use crate::desired::is_watcher;
use crate::errors::StoreError;
use crate::store::Backoff;
use crate::store::Store;
use crate::store::StoreRates;
use crate::store::StoredRow;
use crate::store::key_after;
use crate::store::part_name;
use crate::traffic::roster_row::RosterRow;

/// The number of rows per read. Each names a node that can be asked for all others, so a few would
/// suffice; the rest allows for nodes that no longer run.
const SAMPLE_ROWS: usize = 16;
/// If fewer rows than this are left in a part, the next part is read as well.
const MIN_ROWS: usize = 8;
/// Maximum number of parts read for one sample.
const MAX_READS: usize = 4;
/// Delays before the nodes found are asked for the nodes that they know, in milliseconds. They are
/// asked twice, because nodes that start together know few others at first. Later, gossip suffices.
const ASK_DELAYS_MS: [u64; 2] = [0, 600];
/// Nodes that start together spread their first read over this time for each part of the table, in
/// milliseconds. A node that others have found by then does not read at all. The time grows with
/// the parts, because a store with many parts serves many nodes.
const READ_SPREAD_MS: u64 = 200;
/// Time after a first start, in milliseconds. By then all nodes have written their rows, and the
/// nodes that read a sample of rows have asked the nodes named there for others.
const FIRST_WRITES_MS: u64 = 5_000;
/// A node that knows this many nodes, itself included, has been found by others.
const FOUND_NODES: usize = 12;
/// Delay until a few nodes of each failure domain read a second sample, in milliseconds.
const SECOND_READ_DELAY_MS: u64 = 3_000;

/// Reads the rows of other nodes, a sample at a time.
///
/// If every node read all rows, the number of rows read at a start of the whole system would grow
/// with the square of the number of nodes. So a node reads a sample, and not even that if others
/// have read its row and sent it the other nodes before its turn. If all nodes of a sample
/// are gone, the next sample is read, until another node answers.
///
/// A fleet could also start as two groups of nodes that never learn of each other. To join them,
/// the first nodes of every failure domain in each group read a second sample a little later.
pub(super) struct PeerDiscovery {
    pub(super) store: Arc<dyn Store>,
    pub(super) control: Arc<ControlHandle>,
    pub(super) table: Name,
    pub(super) rates: StoreRates,
    pub(super) node: Name,
    pub(super) domain: Name,
    /// The key of this node's own row; the first sample starts after it.
    pub(super) own_key: Name,
    /// The whole system starts for the first time, so all nodes write their rows at about this
    /// time.
    pub(super) is_first_start: bool,
}

/// How long nodes that start together for the first time take to discover each other, in
/// milliseconds.
pub(super) fn discovery_time_ms(rates: StoreRates) -> u64 {
    FIRST_WRITES_MS + READ_SPREAD_MS * rates.parts()
}

/// Where the next sample starts.
struct Cursor {
    part: u64,
    from: Name,
}

impl PeerDiscovery {
    /// Runs until other nodes are known.
    pub(super) async fn run(self) {
        let mut cursor = self.start_cursor();
        if self.is_first_start {
            let spread_ms = fastrand::u64(..READ_SPREAD_MS * self.rates.parts());
            sleep(Duration::from_millis(spread_ms)).await;
        }
        if !self.has_found_peers() {
            let seeds = self.next_sample(&mut cursor).await;
            for pause_ms in ASK_DELAYS_MS {
                sleep(Duration::from_millis(pause_ms)).await;
                self.control.add_seeds(seeds.clone());
            }
        }
        if self.is_first_start {
            self.read_second_sample(&mut cursor).await;
        }
        // A node that still knows no other node has started during an outage, or has read only rows
        // of nodes that are gone. It keeps reading samples.
        let mut pause = Backoff::default();
        while self.control.view.load().nodes.len() < 2 {
            sleep(Duration::from_millis(pause.after_failure(fastrand::f64()))).await;
            let seeds = self.next_sample(&mut cursor).await;
            self.control.add_seeds(seeds);
        }
    }

    /// Starts after this node's own row, or, on a first start, in a random part: there are few rows
    /// yet, and nodes of all parts have to learn of each other.
    fn start_cursor(&self) -> Cursor {
        if self.is_first_start && self.rates.parts() > 1 {
            return Cursor {
                part: fastrand::u64(..self.rates.parts()),
                from: Name::from(""),
            };
        }
        Cursor {
            part: self.rates.part_of(&self.node),
            from: key_after(&self.own_key),
        }
    }

    fn has_found_peers(&self) -> bool {
        self.is_first_start && self.control.view.load().nodes.len() >= FOUND_NODES
    }

    async fn read_second_sample(&self, cursor: &mut Cursor) {
        sleep(Duration::from_millis(SECOND_READ_DELAY_MS)).await;
        let view = self.control.view.load_full();
        if !is_watcher(&view, &self.node, &self.domain) {
            return;
        }
        let seeds = self.next_sample(cursor).await;
        let is_unknown = |seed: &SocketAddr| {
            let mut nodes = view.nodes.values();
            !nodes.any(|node| node.control_address == *seed)
        };
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(is_unknown).collect();
        if !seeds.is_empty() {
            self.control.add_seeds(seeds);
        }
    }

    /// The addresses in the next sample; empty if it cannot be read.
    async fn next_sample(&self, cursor: &mut Cursor) -> Vec<SocketAddr> {
        let rows = match self.read(cursor).await {
            Ok(rows) => rows,
            Err(error) => {
                log::debug!("roster: rows of other nodes cannot be read, error={error}");
                return Vec::new();
            }
        };
        let others = rows.iter().filter(|row| row.name.key != self.own_key);
        let mut rows: Vec<RosterRow> = others.filter_map(RosterRow::decode).collect();
        // Nodes of this failure domain first: they are asked first, and their answers stay within
        // the domain.
        rows.sort_by_key(|row| row.domain.as_ref() != Some(&self.domain));
        rows.into_iter()
            .filter_map(|row| row.control_address)
            .collect()
    }

    /// Reads the rows from the cursor on, and those of the next parts near the end of a part.
    async fn read(&self, cursor: &mut Cursor) -> Result<Vec<StoredRow>, StoreError> {
        let mut rows = Vec::new();
        // With a single part, the second read continues at its start.
        let reads = MAX_READS.min(self.rates.parts() as usize + 1);
        for _ in 0..reads {
            let part = part_name(cursor.part);
            let from = cursor.from.clone();
            let table = self.table.clone();
            let read = self.store.read_some(table, part, from, SAMPLE_ROWS);
            let read = read.await?.value;
            match read.last() {
                Some(last) if read.len() >= SAMPLE_ROWS => cursor.from = key_after(&last.name.key),
                _ => {
                    cursor.part = (cursor.part + 1) % self.rates.parts();
                    cursor.from = Name::from("");
                }
            }
            rows.extend(read);
            if rows.len() >= MIN_ROWS {
                break;
            }
        }
        Ok(rows)
    }
}
