//! How a node that has just started finds others.

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

/// How many rows are read at once. Each names a node to ask for all others, so a handful does; the rest
/// is for nodes that are gone.
const SAMPLE_ROWS: usize = 16;
/// With fewer rows than this up to the end of a part, the next part is read as well.
const LEAST_ROWS: usize = 8;
/// Parts read for one sample at most.
const MOST_READS: usize = 4;
/// After these pauses in milliseconds the nodes found are asked who is there: at once, and again, for
/// nodes that start together know few when they are asked first. From then on gossip tells of others.
const ASK_AGAIN_MS: [u64; 2] = [0, 600];
/// Nodes that start together begin to read within this time for each part of the table, in milliseconds:
/// whom others have found by then need not read, and a store of many parts is one for many nodes.
const READ_SPREAD_MS: u64 = 200;
/// In this time after a first start rows are written, and those who have read them have asked, in
/// milliseconds.
const WRITTEN_MS: u64 = 5_000;
/// A node that knows so many others, itself included, has been found.
const FOUND_NODES: usize = 12;
/// So long after their reading a few nodes of each failure domain read once more, in milliseconds.
const SECOND_LOOK_MS: u64 = 3_000;

/// Reads rows of other nodes, a sample at a time.
///
/// Guards against rows read in the square of the nodes, and against a read of every node at a start of
/// all: a node reads a sample, and not even that if others have read its row and told it of the rest
/// before its turn. A sample of rows whose nodes are all gone is followed by the next one, until another
/// node answers.
///
/// Guards against a fleet that starts in two parts which never hear of each other. It holds because of
/// each part the first ones of every failure domain read another sample a little later.
pub(super) struct FindOthers {
    pub(super) store: Arc<dyn Store>,
    pub(super) control: Arc<ControlHandle>,
    pub(super) table: Name,
    pub(super) rates: StoreRates,
    pub(super) node: Name,
    pub(super) domain: Name,
    /// Its own row, behind which the first sample begins.
    pub(super) own_key: Name,
    /// The whole system starts for the first time, so all nodes write their rows about now.
    pub(super) is_first_start: bool,
}

/// After how long nodes that start together for the first time have found each other, in milliseconds.
pub(super) fn found_after_ms(rates: StoreRates) -> u64 {
    WRITTEN_MS + READ_SPREAD_MS * rates.parts()
}

/// Where the next sample begins.
struct Cursor {
    part: u64,
    from: Name,
}

impl FindOthers {
    /// Runs until other nodes are known.
    pub(super) async fn run(self) {
        let mut cursor = self.begin();
        if self.is_first_start {
            let spread_ms = fastrand::u64(..READ_SPREAD_MS * self.rates.parts());
            sleep(Duration::from_millis(spread_ms)).await;
        }
        if !self.is_found() {
            let seeds = self.next_sample(&mut cursor).await;
            for pause_ms in ASK_AGAIN_MS {
                sleep(Duration::from_millis(pause_ms)).await;
                self.control.add_seeds(seeds.clone());
            }
        }
        if self.is_first_start {
            self.look_again(&mut cursor).await;
        }
        // A node that knows nobody after that has started during an outage, or read of nodes that are
        // gone: it asks on.
        let mut pause = Backoff::default();
        while self.control.view.load().nodes.len() < 2 {
            sleep(Duration::from_millis(pause.after_failure(fastrand::f64()))).await;
            let seeds = self.next_sample(&mut cursor).await;
            self.control.add_seeds(seeds);
        }
    }

    /// Behind the own row. Where all start together, in any part: rows are few yet, and nodes of all
    /// parts have to hear of each other.
    fn begin(&self) -> Cursor {
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

    fn is_found(&self) -> bool {
        self.is_first_start && self.control.view.load().nodes.len() >= FOUND_NODES
    }

    async fn look_again(&self, cursor: &mut Cursor) {
        sleep(Duration::from_millis(SECOND_LOOK_MS)).await;
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

    /// The addresses in the next sample; none when it cannot be read.
    async fn next_sample(&self, cursor: &mut Cursor) -> Vec<SocketAddr> {
        let rows = match self.read(cursor).await {
            Ok(rows) => rows,
            Err(error) => {
                log::debug!("roster: rows cannot be read, error={error}");
                return Vec::new();
            }
        };
        let others = rows.iter().filter(|row| row.name.key != self.own_key);
        let mut rows: Vec<RosterRow> = others.filter_map(RosterRow::decode).collect();
        // Those of the own failure domain first: they are asked first, and what they know stays in it.
        rows.sort_by_key(|row| row.domain.as_ref() != Some(&self.domain));
        rows.into_iter()
            .filter_map(|row| row.control_address)
            .collect()
    }

    /// The rows from the cursor on, and those of the next parts where the end of a part is near.
    async fn read(&self, cursor: &mut Cursor) -> Result<Vec<StoredRow>, StoreError> {
        let mut rows = Vec::new();
        // With one part, its end and then its beginning.
        let reads = MOST_READS.min(self.rates.parts() as usize + 1);
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
            if rows.len() >= LEAST_ROWS {
                break;
            }
        }
        Ok(rows)
    }
}
