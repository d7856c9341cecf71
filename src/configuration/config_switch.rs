//! Switches the preset in force by compare-and-set.

use futures::try_join;

use crate::configuration::Change;
use crate::configuration::ChangeLog;
use crate::configuration::ConfigStore;
use crate::configuration::InForceRow;
use crate::configuration::LatestRow;
use crate::configuration::PastChange;
use crate::configuration::config_store::VersionedRow;
use crate::configuration::rows::CHANGE_LOG_KEY;
use crate::configuration::rows::IN_FORCE_KEY;
use crate::configuration::rows::decode;
use crate::configuration::rows::document_key;
use crate::configuration::rows::encode;
use crate::configuration::rows::latest_key;
use crate::core::Name;
use crate::errors::ConfigError;
use crate::table_service::Check;
use crate::table_service::Resolution;
use crate::table_service::Transaction;

/// The outcome of a switch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwitchOutcome {
    /// The preset came into force under this version.
    InForce { version: u64, revision: u64 },
    /// The preset was in force already, so nothing was changed.
    AlreadyInForce { version: u64, revision: u64 },
    /// The preset came into force under `version`, and another change has replaced it since.
    Replaced { version: u64, by_version: u64 },
}

/// Both rows that a switch changes, as read before the change.
struct RowsBefore {
    in_force: VersionedRow<InForceRow>,
    log: VersionedRow<ChangeLog>,
}

impl RowsBefore {
    fn version(&self) -> u64 {
        self.in_force.row.as_ref().map_or(0, |row| row.version)
    }

    fn changes(&self) -> ChangeLog {
        self.log.row.clone().unwrap_or_default()
    }

    fn is_in_force(&self, preset: &Name, revision: u64) -> bool {
        let is_same = |row: &InForceRow| row.preset == *preset && row.revision == revision;
        self.in_force.row.as_ref().is_some_and(is_same)
    }
}

impl ConfigStore {
    /// Brings the latest revision of a preset into force by compare-and-set.
    ///
    /// `expected` is the version that must be in force, or `None` for any. The new version is above
    /// `floor`. After the table was restored from an old copy, nodes still hold higher versions and
    /// would never apply a lower one.
    ///
    /// # Errors
    /// `Conflict` names the change that won; `OutcomeUnknown` when the answer was lost and the
    /// outcome cannot be determined now. The same call with the same change id determines it later.
    pub async fn switch(
        &self,
        preset: &Name,
        expected: Option<u64>,
        floor: u64,
        change: &Change,
    ) -> Result<SwitchOutcome, ConfigError> {
        let latest_key = latest_key(preset);
        let (in_force, log, latest) = try_join!(
            self.read_row(IN_FORCE_KEY),
            self.read_row(CHANGE_LOG_KEY),
            self.read_row(&latest_key),
        )?;
        let before = RowsBefore { in_force, log };
        let changes = before.changes();
        if let Some(logged) = changes.find(&change.change_id) {
            return Ok(outcome(logged, &changes));
        }
        let version = before.version();
        if expected.is_some_and(|expected| expected != version) {
            // The log was read concurrently with the row in force and may lack the change that won.
            return Err(conflict(&self.change_log().await?));
        }
        let latest = self.latest_or_unknown(preset, latest).await?;
        let revision = latest.revision;
        if version > floor && before.is_in_force(preset, revision) {
            return Ok(SwitchOutcome::AlreadyInForce { version, revision });
        }
        let next = PastChange {
            version: version.max(floor) + 1,
            preset: preset.clone(),
            revision,
            change_id: change.change_id.clone(),
            operator: change.operator.clone(),
            at_unix_s: change.at_unix_s,
        };
        let transaction = self.switch_transaction(&before, &latest, &next).await?;
        let resolution = self.apply(&transaction, CHANGE_LOG_KEY, change).await?;
        self.switch_outcome(&next, version, resolution).await
    }

    async fn latest_or_unknown(
        &self,
        preset: &Name,
        latest: VersionedRow<LatestRow>,
    ) -> Result<LatestRow, ConfigError> {
        if let Some(latest) = latest.row {
            return Ok(latest);
        }
        let known = self.presets().await?;
        let known: Vec<&str> = known.iter().map(|known| &*known.preset).collect();
        Err(ConfigError::UnknownPreset {
            preset: preset.clone(),
            known: known.join(", "),
        })
    }

    /// Builds the transaction of a switch. It checks that the document still exists. Otherwise a
    /// document deleted in the meantime could come into force, and nodes could never fetch it.
    async fn switch_transaction(
        &self,
        before: &RowsBefore,
        latest: &LatestRow,
        next: &PastChange,
    ) -> Result<Transaction, ConfigError> {
        let (_, document_version) = self
            .document(&next.preset, next.revision, &latest.hash)
            .await?;
        let row = InForceRow {
            version: next.version,
            preset: next.preset.clone(),
            revision: next.revision,
            hash: latest.hash.clone(),
            change_id: next.change_id.clone(),
        };
        let mut changes = before.changes();
        changes.push(next.clone());
        let mut transaction =
            Transaction::put_if(IN_FORCE_KEY, before.in_force.row_version, encode(&row))
                .and_put_if(CHANGE_LOG_KEY, before.log.row_version, encode(&changes));
        transaction.checks.push(Check {
            key: document_key(&next.preset, next.revision),
            version: Some(document_version),
        });
        Ok(transaction)
    }

    async fn switch_outcome(
        &self,
        next: &PastChange,
        version_before: u64,
        resolution: Resolution,
    ) -> Result<SwitchOutcome, ConfigError> {
        let unknown = || ConfigError::OutcomeUnknown {
            change_id: next.change_id.clone(),
        };
        let log: ChangeLog = match resolution {
            Resolution::Applied(row) | Resolution::NotApplied(Some(row)) => {
                decode(CHANGE_LOG_KEY, &row.value)?
            }
            Resolution::NotApplied(None) => self.change_log().await?,
            Resolution::Unknown => return Err(unknown()),
        };
        match log.find(&next.change_id) {
            Some(logged) => Ok(outcome(logged, &log)),
            // A log without the change proves that it never took effect only if the log covers all
            // changes since.
            None if log.covers_changes_after(version_before) => Err(conflict(&log)),
            None => Err(unknown()),
        }
    }
}

fn outcome(logged: &PastChange, log: &ChangeLog) -> SwitchOutcome {
    let by_version = log.version();
    if logged.version < by_version {
        let version = logged.version;
        return SwitchOutcome::Replaced {
            version,
            by_version,
        };
    }
    SwitchOutcome::InForce {
        version: logged.version,
        revision: logged.revision,
    }
}

fn conflict(log: &ChangeLog) -> ConfigError {
    let winner = log.changes.last();
    ConfigError::Conflict {
        version: log.version(),
        preset: winner.map_or_else(|| Name::from("none"), |won| won.preset.clone()),
        operator: winner.map_or_else(|| Name::from("nobody"), |won| won.operator.clone()),
        change_id: winner.map_or_else(|| Name::from("none"), |won| won.change_id.clone()),
    }
}
