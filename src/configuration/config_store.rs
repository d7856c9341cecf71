//! The configuration in the platform's table, as operators and polling nodes read it.

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

/// How often an operator's read is sent in all.
const PATIENT_READ_TRIES: u32 = 4;
/// The pause before a read is sent again.
const READ_AGAIN: Duration = Duration::from_millis(100);

/// A preset as the table lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedPreset {
    pub preset: Name,
    pub latest: LatestRow,
}

/// A row of the table, decoded, with the version by which a write is made conditional.
pub(super) struct Held<T> {
    pub row_version: Option<u64>,
    pub row: Option<T>,
}

/// The operators' and the polling nodes' way to the table. Publishing and switching are in files
/// of their own.
#[derive(Clone)]
pub struct ConfigStore {
    client: PlatformClient,
    read_tries: u32,
}

impl ConfigStore {
    /// A store behind this client, for a node that polls: a read that fails is left to the next
    /// poll.
    pub fn new(client: PlatformClient) -> Self {
        Self {
            client,
            read_tries: 1,
        }
    }

    /// A store for an operator. A change takes several reads; with a store that fails now and
    /// then it would hardly ever come through if one failure ended it.
    pub fn with_read_retries(client: PlatformClient) -> Self {
        Self {
            client,
            read_tries: PATIENT_READ_TRIES,
        }
    }

    /// Reads a row, again when the platform said that it did nothing.
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let mut tries = 1;
        loop {
            match self.client.get(key).await {
                Err(PlatformError::Unavailable | PlatformError::RateLimited)
                    if tries < self.read_tries =>
                {
                    tries += 1;
                    sleep(READ_AGAIN).await;
                }
                result => return result,
            }
        }
    }

    /// What is in force according to the table.
    ///
    /// # Errors
    /// When the platform cannot be read.
    pub async fn in_force(&self) -> Result<Option<InForceRow>, ConfigError> {
        let held: Held<InForceRow> = self.held(IN_FORCE_KEY).await?;
        Ok(held.row)
    }

    /// The last switches.
    ///
    /// # Errors
    /// When the platform cannot be read.
    pub async fn change_log(&self) -> Result<ChangeLog, ConfigError> {
        let held: Held<ChangeLog> = self.held(CHANGE_LOG_KEY).await?;
        Ok(held.row.unwrap_or_default())
    }

    /// All published presets by name.
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

    /// The document in force if its version is higher than `above`: one read while nothing has
    /// changed, two when something has.
    ///
    /// # Errors
    /// When the platform cannot be read, or holds what does not fit together.
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

    /// One revision of a preset with the version of its row.
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

    pub(super) async fn held<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Held<T>, ConfigError> {
        let Some(Row { version, value }) = self.get(key).await? else {
            return Ok(Held {
                row_version: None,
                row: None,
            });
        };
        Ok(Held {
            row_version: Some(version),
            row: Some(decode(key, &value)?),
        })
    }

    /// Applies a transaction and finds out what became of it when the answer is lost. A plain
    /// conflict becomes [`Resolution::NotApplied`], so that both ways of losing are told alike.
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
