//! Finds out whether a write took effect after its answer was lost.

use log::debug;

use crate::errors::PlatformError;
use crate::table_service::client::PlatformClient;
use crate::table_service::protocol::Committed;
use crate::table_service::protocol::Row;
use crate::table_service::protocol::Transaction;

/// How often a write of unknown outcome is sent in total.
const MAX_ATTEMPTS: u32 = 3;

/// What reading back its row shows about a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The row carries the change id.
    Applied(Row),
    /// The row is at another version and lacks the change id, so the write can no longer take
    /// effect. It may have taken effect earlier, unless rows keep the ids of their last few
    /// changes.
    NotApplied(Option<Row>),
    /// The row is unchanged, so the write may still be in flight, or the platform does not answer.
    Unknown,
}

/// Reads back the row `key` after a write of unknown outcome. The write was conditional on
/// `checked_version`, and its value contains `change_id`.
pub async fn resolve(
    client: &PlatformClient,
    key: &str,
    checked_version: Option<u64>,
    change_id: &str,
) -> Resolution {
    let Ok(row) = client.get(key).await else {
        return Resolution::Unknown;
    };
    classify(row, checked_version, change_id)
}

/// Applies a transaction that puts `key` conditional on its version, with a value that contains
/// `change_id`. If the outcome is unknown, the row is read back.
///
/// If the row is unchanged, the transaction is sent again. The version check keeps it from taking
/// effect twice. If the first copy arrives late and wins, the second one fails with a conflict that
/// shows a row with the change id.
///
/// # Errors
/// `Conflict` when another change was applied first, and every other error after which nothing was
/// done. If the outcome stays unknown, the result is `Ok(Resolution::Unknown)`.
pub async fn transact_resolved(
    client: &PlatformClient,
    transaction: &Transaction,
    key: &str,
    change_id: &str,
) -> Result<Resolution, PlatformError> {
    let checked_version = transaction.checked_version(key).flatten();
    let mut was_unknown = false;
    for _ in 0..MAX_ATTEMPTS {
        match client.transact(transaction).await {
            Ok(committed) => return Ok(applied(transaction, &committed, key)),
            Err(PlatformError::OutcomeUnknown) => was_unknown = true,
            Err(error) => match conflicting_row(&error, key) {
                Some(row) if was_unknown || row.value.contains(change_id) => {
                    return Ok(classify(Some(row), checked_version, change_id));
                }
                _ if !was_unknown => return Err(error),
                _ => debug!("platform client: sent again change={change_id} error={error}"),
            },
        }
        let resolution = resolve(client, key, checked_version, change_id).await;
        debug!("platform client: read back change={change_id} resolution={resolution:?}");
        if resolution != Resolution::Unknown {
            return Ok(resolution);
        }
    }
    Ok(Resolution::Unknown)
}

/// The row `key` as reported by a conflict. A late first copy of the write may have written it.
fn conflicting_row(error: &PlatformError, key: &str) -> Option<Row> {
    match error {
        PlatformError::Conflict {
            key: conflicting,
            version: Some(version),
            value: Some(value),
        } if &**conflicting == key => Some(Row {
            version: *version,
            value: value.clone(),
        }),
        _ => None,
    }
}

/// The row as written by the transaction.
fn applied(transaction: &Transaction, committed: &Committed, key: &str) -> Resolution {
    let version = committed.versions.iter().find(|each| &*each.key == key);
    let put = transaction.puts.iter().find(|put| &*put.key == key);
    Resolution::Applied(Row {
        version: version.map_or(0, |each| each.version),
        value: put.map_or_else(String::new, |put| put.value.clone()),
    })
}

fn classify(row: Option<Row>, checked_version: Option<u64>, change_id: &str) -> Resolution {
    let version = row.as_ref().map(|row| row.version);
    match row {
        Some(row) if row.value.contains(change_id) => Resolution::Applied(row),
        _ if version == checked_version => Resolution::Unknown,
        row => Resolution::NotApplied(row),
    }
}
