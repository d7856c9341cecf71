//! Reads and writes the row of a service's slots in the platform's table.

use crate::claims::ReadResult;
use crate::claims::SlotMap;
use crate::claims::WriteResult;
use crate::errors::PlatformError;
use crate::table_service::PlatformClient;
use crate::table_service::Transaction;

pub(super) async fn read_row(platform: &PlatformClient, row: &str) -> ReadResult {
    match platform.get(row).await {
        Ok(None) => ReadResult::Row(None),
        Ok(Some(found)) => match SlotMap::decode(found.value.as_bytes()) {
            Ok(map) => ReadResult::Row(Some((found.version, map))),
            Err(error) => {
                log::error!("claims: row cannot be decoded row={row} error={error}");
                ReadResult::Failed
            }
        },
        Err(error) => {
            log::debug!("claims: row read failed row={row} error={error}");
            ReadResult::Failed
        }
    }
}

/// Writes the row if it has the expected version. Returns [`WriteResult::NotWritten`] or
/// [`WriteResult::Conflict`] only if the row was certainly not written.
pub(super) async fn write_row(
    platform: &PlatformClient,
    row: &str,
    expected: Option<u64>,
    map: &SlotMap,
) -> WriteResult {
    let transaction = Transaction::put_if(row, expected, map.encode());
    match platform.transact(&transaction).await {
        Ok(committed) => {
            let written = committed.versions.iter().find(|each| &*each.key == row);
            match written {
                Some(written) => WriteResult::Applied {
                    version: written.version,
                },
                None => WriteResult::Unknown,
            }
        }
        Err(PlatformError::Conflict { .. }) => WriteResult::Conflict,
        Err(
            PlatformError::Unavailable
            | PlatformError::RateLimited
            | PlatformError::Rejected { .. }
            | PlatformError::InvalidKey { .. },
        ) => WriteResult::NotWritten,
        Err(_) => WriteResult::Unknown,
    }
}
