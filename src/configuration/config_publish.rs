//! Publishes a preset: writes its document as an immutable row, and the row that names the latest
//! revision.

use crate::conf::parse_preset;
use crate::configuration::Change;
use crate::configuration::ConfigStore;
use crate::configuration::InForceRow;
use crate::configuration::LatestRow;
use crate::configuration::config_store::VersionedRow;
use crate::configuration::document_hash;
use crate::configuration::rows::IN_FORCE_KEY;
use crate::configuration::rows::document_key;
use crate::configuration::rows::encode;
use crate::configuration::rows::latest_key;
use crate::core::Name;
use crate::errors::ConfigError;
use crate::table_service::Check;
use crate::table_service::Resolution;
use crate::table_service::Transaction;

/// The number of revisions kept of one preset. The one in force is always kept.
const KEPT_REVISIONS: u64 = 20;
/// The largest preset document. Nodes send it to each other whole, within their byte budget.
const MAX_DOCUMENT_BYTES: usize = 64 * 1024;

/// The outcome of publishing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Publication {
    Published {
        preset: Name,
        revision: u64,
    },
    /// The latest revision has the same content, so nothing was written.
    Unchanged {
        preset: Name,
        revision: u64,
    },
}

impl ConfigStore {
    /// Publishes a preset document as the next revision, without bringing it into force.
    ///
    /// # Errors
    /// `Settings` when the document has problems; `PublishConflict` when another operator
    /// published the same preset concurrently; `OutcomeUnknown` when the answer was lost and the
    /// outcome could not be determined. Publishing the same document again is safe.
    pub async fn publish(
        &self,
        file: &str,
        document: &str,
        change: &Change,
    ) -> Result<Publication, ConfigError> {
        if document.len() > MAX_DOCUMENT_BYTES {
            return Err(ConfigError::TooLarge {
                bytes: document.len(),
                limit_bytes: MAX_DOCUMENT_BYTES,
            });
        }
        let preset = parse_preset(file, document)?.name;
        let key = latest_key(&preset);
        let held: VersionedRow<LatestRow> = self.read_row(&key).await?;
        let hash = document_hash(document);
        if let Some(latest) = held.row.as_ref().filter(|latest| latest.hash == hash) {
            let revision = latest.revision;
            return Ok(Publication::Unchanged { preset, revision });
        }
        let latest = LatestRow {
            revision: held.row.as_ref().map_or(0, |latest| latest.revision) + 1,
            hash,
            change_id: change.change_id.clone(),
            operator: change.operator.clone(),
            at_unix_s: change.at_unix_s,
        };
        let transaction = self
            .publish_transaction(&preset, document, &held, &latest)
            .await?;
        let resolution = self.apply(&transaction, &key, change).await?;
        self.publish_outcome(preset, &latest, resolution).await
    }

    async fn publish_transaction(
        &self,
        preset: &Name,
        document: &str,
        held: &VersionedRow<LatestRow>,
        latest: &LatestRow,
    ) -> Result<Transaction, ConfigError> {
        let document_key = document_key(preset, latest.revision);
        let mut transaction = Transaction::put_if(
            latest_key(preset),
            held.row_version,
            encode(latest),
        )
        .and_put_if(document_key, None, document);
        if latest.revision > KEPT_REVISIONS {
            let old = latest.revision - KEPT_REVISIONS;
            self.add_deletion(&mut transaction, preset, old).await?;
        }
        Ok(transaction)
    }

    /// Adds the deletion of an old revision unless it is in force. The transaction checks the row
    /// in force, so it fails if that revision is switched to concurrently.
    async fn add_deletion(
        &self,
        transaction: &mut Transaction,
        preset: &Name,
        revision: u64,
    ) -> Result<(), ConfigError> {
        let in_force: VersionedRow<InForceRow> = self.read_row(IN_FORCE_KEY).await?;
        let is_in_force = |row: &InForceRow| row.preset == *preset && row.revision == revision;
        if in_force.row.as_ref().is_some_and(is_in_force) {
            return Ok(());
        }
        transaction.checks.push(Check {
            key: Name::from(IN_FORCE_KEY),
            version: in_force.row_version,
        });
        transaction.deletes.push(document_key(preset, revision));
        Ok(())
    }

    /// Determines the outcome of publishing. After a lost answer, the row of the latest revision
    /// does not show the outcome if another operator has published the next revision since. The
    /// immutable document of this revision does.
    async fn publish_outcome(
        &self,
        preset: Name,
        latest: &LatestRow,
        resolution: Resolution,
    ) -> Result<Publication, ConfigError> {
        let revision = latest.revision;
        let change_id = latest.change_id.clone();
        let is_published = match resolution {
            Resolution::Applied(_) => true,
            Resolution::NotApplied(_) => {
                let document = self.document(&preset, revision, &latest.hash).await;
                document.is_ok()
            }
            Resolution::Unknown => return Err(ConfigError::OutcomeUnknown { change_id }),
        };
        if is_published {
            return Ok(Publication::Published { preset, revision });
        }
        Err(ConfigError::PublishConflict { preset, revision })
    }
}
