//! `switch`: another preset comes into force.

use serde_json::json;

use crate::configuration::Change;
use crate::configuration::ConfigStore;
use crate::configuration::SwitchOutcome;
use crate::core::Name;
use crate::ctl::arguments::SwitchArguments;
use crate::ctl::output::Output;
use crate::errors::CtlError;

/// The command.
pub async fn run(
    store: &ConfigStore,
    arguments: &SwitchArguments,
    change: &Change,
) -> Result<Output, CtlError> {
    let preset = Name::from(arguments.preset.as_str());
    let switched = store
        .switch(&preset, arguments.expect, arguments.above, change)
        .await?;
    let change_id = &change.change_id;
    Ok(match switched {
        SwitchOutcome::InForce { version, revision } => Output::done(
            format!("{preset} revision {revision} is in force as version {version}"),
            &json!({ "preset": preset, "version": version, "revision": revision,
                "changed": true, "change_id": change_id }),
        ),
        SwitchOutcome::AlreadyInForce { version, revision } => Output::done(
            format!("{preset} revision {revision} is in force already, as version {version}"),
            &json!({ "preset": preset, "version": version, "revision": revision,
                "changed": false }),
        ),
        SwitchOutcome::Replaced {
            version,
            by_version,
        } => Output::done(
            format!(
                "{preset} came into force as version {version}; version {by_version} has \
                 replaced it since"
            ),
            &json!({ "preset": preset, "version": version, "changed": true,
                "replaced_by_version": by_version, "change_id": change_id }),
        ),
    })
}
