//! `publish`: preset documents become revisions in the platform's table.

use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;

use crate::conf::load_preset;
use crate::conf::read_file;
use crate::configuration::Change;
use crate::configuration::ConfigStore;
use crate::configuration::Publication;
use crate::ctl::output::Output;
use crate::errors::ConfigError;
use crate::errors::CtlError;

/// The command. All files are checked before the first is published.
pub async fn run(
    store: &ConfigStore,
    files: &[PathBuf],
    change: &Change,
) -> Result<Output, CtlError> {
    for file in files {
        load_preset(file).map_err(ConfigError::from)?;
    }
    let mut lines = Vec::new();
    let mut published = Vec::new();
    for file in files {
        let text = read_file(file).map_err(ConfigError::from)?;
        let publication = store
            .publish(&file.display().to_string(), &text, change)
            .await?;
        lines.push(describe(&publication));
        published.push(to_json(&publication));
    }
    Ok(Output::done(lines.join("\n"), &published))
}

fn describe(publication: &Publication) -> String {
    match publication {
        Publication::Published { preset, revision } => {
            format!("published {preset} as revision {revision}; switch to it with: switch {preset}")
        }
        Publication::Unchanged { preset, revision } => {
            format!("{preset} is published already, as revision {revision}")
        }
    }
}

fn to_json(publication: &Publication) -> Value {
    match publication {
        Publication::Published { preset, revision } => {
            json!({ "preset": preset, "revision": revision, "changed": true })
        }
        Publication::Unchanged { preset, revision } => {
            json!({ "preset": preset, "revision": revision, "changed": false })
        }
    }
}
