//! Reads the configuration in the platform's table, for operators and polling nodes.

use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::configuration::Change;
use crate::configuration::ChangeLog;
use crate::configuration::InForceRow;
use crate::configuration::LatestRow;
use crate::configuration::document_hash;
use crate::configuration::rows::CHANGE_LOG_KEY;
use crate::configuration::rows::IN_FORCE_KEY;
use crate::configuration::rows::LATEST_PREFIX;
use crate::configuration::rows::decode;
use crate::configuration::rows::document_key;
use crate::control::ConfigDocument;
use crate::core::Name;
use crate::errors::ConfigError;
use crate::errors::PlatformError;
use crate::table_service::PlatformClient;
use crate::table_service::Resolution;
use crate::table_service::Row;
use crate::table_service::Transaction;
use crate::table_service::transact_resolved;

/// The largest number of attempts of an operator's read.
const OPERATOR_READ_ATTEMPTS: u32 = 4;
/// The pause before a read is retried.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A published preset with its latest revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedPreset {
    pub preset: Name,
    pub latest: LatestRow,
}

/// A decoded row of the table, with the version on which a write is made conditional.
pub(super) struct VersionedRow<T> {
    pub row_version: Option<u64>,
    pub row: Option<T>,
}

/// The access of operators and polling nodes to the configuration in the table. Publishing and
/// switching are in separate files.
#[derive(Clone)]
pub struct ConfigStore {
    client: PlatformClient,
    max_read_attempts: u32,
}

impl ConfigStore {
    /// Creates a store for a node that polls. A failed read is not retried before the next poll.
    pub fn new(client: PlatformClient) -> Self {
        Self {
            client,
            max_read_attempts: 1,
        }
    }

    /// Creates a store for an operator. A change takes several reads. If one failed read ended it,
    /// a change would rarely succeed while the platform fails now and then.
    pub fn with_read_retries(client: PlatformClient) -> Self {
        Self {
            client,
            max_read_attempts: OPERATOR_READ_ATTEMPTS,
        }
    }

    /// Reads a row. Retries when the platform has answered that it did nothing.
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let mut attempts = 1;
        loop {
            match self.client.get(key).await {
                Err(PlatformError::Unavailable | PlatformError::RateLimited)
                    if attempts < self.max_read_attempts =>
                {
                    attempts += 1;
                    sleep(READ_RETRY_PAUSE).await;
                }
                result => return result,
            }
        }
    }

    /// The configuration in force according to the table.
    ///
    /// # Errors
    /// When the platform cannot be read.
    pub async fn in_force(&self) -> Result<Option<InForceRow>, ConfigError> {
        let held: VersionedRow<InForceRow> = self.read_row(IN_FORCE_KEY).await?;
        Ok(held.row)
    }

    /// The log of the latest switches.
    ///
    /// # Errors
    /// When the platform cannot be read.
    pub async fn change_log(&self) -> Result<ChangeLog, ConfigError> {
        let held: VersionedRow<ChangeLog> = self.read_row(CHANGE_LOG_KEY).await?;
        Ok(held.row.unwrap_or_default())
    }

    /// All published presets.
    ///
    /// # Errors
    /// When the platform cannot be read.
    pub async fn presets(&self) -> Result<Vec<PublishedPreset>, ConfigError> {
        let rows = self.client.scan(LATEST_PREFIX).await?;
        let mut presets = Vec::new();
        for row in rows {
            let name = row.key.strip_prefix(LATEST_PREFIX).unwrap_or_default();
            presets.push(PublishedPreset {
                preset: Name::from(name),
                latest: decode(&row.key, &row.value)?,
            });
        }
        Ok(presets)
    }

    /// The document in force if its version is higher than `above`. This takes one read if nothing
    /// has changed, and two otherwise.
    ///
    /// # Errors
    /// When the platform cannot be read, or when the document is missing or does not have the hash
    /// in the row in force.
    pub async fn newer_than(&self, above: u64) -> Result<Option<ConfigDocument>, ConfigError> {
        let Some(row) = self.in_force().await?.filter(|row| row.version > above) else {
            return Ok(None);
        };
        let (document, _) = self.document(&row.preset, row.revision, &row.hash).await?;
        Ok(Some(ConfigDocument {
            version: row.version,
            preset: row.preset,
            document,
        }))
    }

    /// The document of one revision of a preset, with the version of its row. A document with
    /// another hash than `hash` counts as missing.
    pub(super) async fn document(
        &self,
        preset: &Name,
        revision: u64,
        hash: &str,
    ) -> Result<(String, u64), ConfigError> {
        let key = document_key(preset, revision);
        let row = self.get(&key).await?;
        match row.filter(|row| document_hash(&row.value) == hash) {
            Some(row) => Ok((row.value, row.version)),
            None => Err(ConfigError::DocumentMissing { key }),
        }
    }

    pub(super) async fn read_row<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<VersionedRow<T>, ConfigError> {
        let Some(Row { version, value }) = self.get(key).await? else {
            return Ok(VersionedRow {
                row_version: None,
                row: None,
            });
        };
        Ok(VersionedRow {
            row_version: Some(version),
            row: Some(decode(key, &value)?),
        })
    }

    /// Applies a transaction, and finds out its outcome when the answer is lost. A conflict becomes
    /// [`Resolution::NotApplied`], so that callers handle both kinds of rejection in one way.
    pub(super) async fn apply(
        &self,
        transaction: &Transaction,
        key: &str,
        change: &Change,
    ) -> Result<Resolution, ConfigError> {
        let result = transact_resolved(&self.client, transaction, key, &change.change_id).await;
        match result {
            Ok(resolution) => Ok(resolution),
            Err(PlatformError::Conflict { .. }) => Ok(Resolution::NotApplied(None)),
            Err(error) => Err(error.into()),
        }
    }
}
