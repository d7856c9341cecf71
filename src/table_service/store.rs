//! The table, objects, rate limits and counters of the stand-in platform.

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use log::debug;

use crate::adapters::Body;
use crate::adapters::full_body;
use crate::core::TimeMs;
use crate::table_service::answers::json;
use crate::table_service::answers::plain;
use crate::table_service::objects::Objects;
use crate::table_service::protocol::ConflictAnswer;
use crate::table_service::protocol::MAX_OBJECT_BYTES;
use crate::table_service::protocol::MAX_TRANSACTION_ITEMS;
use crate::table_service::protocol::MAX_VALUE_BYTES;
use crate::table_service::protocol::SCAN_ROWS_PER_READ;
use crate::table_service::protocol::Scan;
use crate::table_service::protocol::Transaction;
use crate::table_service::protocol::is_valid_key;
use crate::table_service::rate_limit::RateLimit;
use crate::table_service::server_settings::ServerSettings;
use crate::table_service::stats::Stats;
use crate::table_service::table::Rejection;
use crate::table_service::table::Table;

/// The stored data and its counters. Requests are answered immediately; the server applies the
/// faults.
pub struct Store {
    table: Table,
    objects: Objects,
    reads: RateLimit,
    writes: RateLimit,
    pub stats: Stats,
}

impl Store {
    /// An empty store.
    pub fn new(settings: ServerSettings) -> Self {
        Self {
            table: Table::default(),
            objects: Objects::default(),
            reads: RateLimit::new(settings.reads_per_s),
            writes: RateLimit::new(settings.writes_per_s),
            stats: Stats::default(),
        }
    }

    /// Reads one row.
    pub fn get(&mut self, now: TimeMs, key: &str) -> Response<Body> {
        if !self.admit_read(now, key, 1) {
            return plain(StatusCode::TOO_MANY_REQUESTS);
        }
        let Some(row) = self.table.get(key).cloned() else {
            return plain(StatusCode::NOT_FOUND);
        };
        self.count_bytes_out(key, row.value.len());
        json(StatusCode::OK, &row)
    }

    /// Reads all rows whose keys begin with the prefix.
    pub fn scan(&mut self, now: TimeMs, prefix: &str) -> Response<Body> {
        let rows = self.table.scan(prefix);
        let cost = rows.len().div_ceil(SCAN_ROWS_PER_READ).max(1);
        if !self.admit_read(now, prefix, cost) {
            return plain(StatusCode::TOO_MANY_REQUESTS);
        }
        let bytes = rows.iter().map(|row| row.value.len()).sum();
        self.count_bytes_out(prefix, bytes);
        json(StatusCode::OK, &Scan { rows })
    }

    /// Applies a transaction atomically.
    pub fn transact(&mut self, now: TimeMs, transaction: &Transaction) -> Response<Body> {
        if !is_valid(transaction) {
            return plain(StatusCode::BAD_REQUEST);
        }
        let key = first_key(transaction);
        let bytes = transaction.puts.iter().map(|put| put.value.len()).sum();
        if !self.admit_write(now, key, transaction.writes(), bytes) {
            return plain(StatusCode::TOO_MANY_REQUESTS);
        }
        match self.table.transact(transaction) {
            Ok(committed) => json(StatusCode::OK, &committed),
            Err(Rejection::Full) => plain(StatusCode::INSUFFICIENT_STORAGE),
            Err(Rejection::Conflict(conflict)) => {
                self.stats.count(key, |counters| counters.conflicts += 1);
                json(StatusCode::CONFLICT, &ConflictAnswer { conflict })
            }
        }
    }

    /// Reads one object.
    pub fn get_object(&mut self, now: TimeMs, name: &str) -> Response<Body> {
        if !self.admit_read(now, name, 1) {
            return plain(StatusCode::TOO_MANY_REQUESTS);
        }
        let Some(content) = self.objects.get(name) else {
            return plain(StatusCode::NOT_FOUND);
        };
        self.count_bytes_out(name, content.len());
        Response::new(full_body(content))
    }

    /// Writes a complete object.
    pub fn put_object(&mut self, now: TimeMs, name: &str, content: Bytes) -> Response<Body> {
        if content.len() > MAX_OBJECT_BYTES {
            return plain(StatusCode::PAYLOAD_TOO_LARGE);
        }
        if !self.admit_write(now, name, 1, content.len()) {
            return plain(StatusCode::TOO_MANY_REQUESTS);
        }
        if self.objects.put(name, content) {
            return plain(StatusCode::OK);
        }
        plain(StatusCode::INSUFFICIENT_STORAGE)
    }

    fn admit_read(&mut self, now: TimeMs, key: &str, cost: usize) -> bool {
        if !self.reads.take(now, cost) {
            self.count_refused(key);
            return false;
        }
        self.stats
            .count(key, |counters| counters.reads += cost as u64);
        true
    }

    fn admit_write(&mut self, now: TimeMs, key: &str, cost: usize, bytes: usize) -> bool {
        if !self.writes.take(now, cost) {
            self.count_refused(key);
            return false;
        }
        self.stats.count(key, |counters| {
            counters.writes += cost as u64;
            counters.bytes_in += bytes as u64;
        });
        true
    }

    fn count_refused(&mut self, key: &str) {
        debug!("platform: refused reason=rate_limit key={key}");
        self.stats.count(key, |counters| counters.refused += 1);
    }

    fn count_bytes_out(&mut self, key: &str, bytes: usize) {
        self.stats
            .count(key, |counters| counters.bytes_out += bytes as u64);
    }
}

fn is_valid(transaction: &Transaction) -> bool {
    let items = transaction.checks.len() + transaction.puts.len() + transaction.deletes.len();
    let mut keys = transaction
        .checks
        .iter()
        .map(|check| &check.key)
        .chain(transaction.puts.iter().map(|put| &put.key))
        .chain(&transaction.deletes);
    let values_fit = transaction
        .puts
        .iter()
        .all(|put| put.value.len() <= MAX_VALUE_BYTES);
    (1..=MAX_TRANSACTION_ITEMS).contains(&items) && keys.all(|key| is_valid_key(key)) && values_fit
}

/// The key whose prefix determines where a transaction is counted.
fn first_key(transaction: &Transaction) -> &str {
    let put = transaction.puts.first().map(|put| &*put.key);
    let deleted = transaction.deletes.first().map(|key| &**key);
    put.or(deleted).unwrap_or("")
}
