//! `presets`: what is published, and the last changes.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use serde_json::json;

use crate::configuration::ChangeLog;
use crate::configuration::ConfigStore;
use crate::configuration::InForceRow;
use crate::configuration::PublishedPreset;
use crate::ctl::output::Output;
use crate::ctl::text_table;
use crate::errors::CtlError;

/// How many of the last changes people see.
const SHOWN_CHANGES: usize = 10;

/// The command.
pub async fn run(store: &ConfigStore) -> Result<Output, CtlError> {
    let presets = store.presets().await?;
    let in_force = store.in_force().await?;
    let log = store.change_log().await?;
    let published: Vec<_> = presets
        .iter()
        .map(|preset| json!({ "preset": preset.preset, "latest": preset.latest }))
        .collect();
    let message = json!({ "in_force": in_force, "presets": published, "changes": log.changes });
    let text = format!(
        "{}\n\n{}",
        presets_table(&presets, in_force.as_ref()),
        changes_table(&log)
    );
    Ok(Output::done(text, &message))
}

fn presets_table(presets: &[PublishedPreset], in_force: Option<&InForceRow>) -> String {
    let mut rows = vec![row(["preset", "latest", "published", "by", "in force"])];
    for preset in presets {
        let held = in_force.filter(|row| row.preset == preset.preset);
        let held = held.map_or_else(String::new, |row| {
            format!("revision {} as version {}", row.revision, row.version)
        });
        rows.push(vec![
            preset.preset.to_string(),
            preset.latest.revision.to_string(),
            moment(preset.latest.at_unix_s),
            preset.latest.operator.to_string(),
            held,
        ]);
    }
    text_table(&rows)
}

fn changes_table(log: &ChangeLog) -> String {
    let mut rows = vec![row([
        "version",
        "preset",
        "revision",
        "at",
        "by",
        "change id",
    ])];
    for change in log.changes.iter().rev().take(SHOWN_CHANGES) {
        rows.push(vec![
            change.version.to_string(),
            change.preset.to_string(),
            change.revision.to_string(),
            moment(change.at_unix_s),
            change.operator.to_string(),
            change.change_id.to_string(),
        ]);
    }
    text_table(&rows)
}

fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.iter().map(ToString::to_string).collect()
}

/// The operator's own wall clock wrote it; for display only.
fn moment(at_unix_s: u64) -> String {
    let at = UNIX_EPOCH + Duration::from_secs(at_unix_s);
    humantime::format_rfc3339_seconds(at).to_string()
}
