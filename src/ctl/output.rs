//! What a command prints: text for people or JSON for scripts.

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::ctl::Exit;
use crate::errors::ConfigError;
use crate::errors::CtlError;

/// The result of one command.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    pub text: String,
    pub json: Value,
    pub exit: Exit,
}

impl Output {
    /// A command that succeeded.
    pub fn done(text: impl Into<String>, message: &impl Serialize) -> Self {
        Self {
            text: text.into(),
            json: serde_json::to_value(message).expect("plain structs always encode"),
            exit: Exit::Ok,
        }
    }

    /// A command that failed.
    pub fn failed(error: &CtlError) -> Self {
        let exit = Exit::of(error);
        Self {
            text: error.to_string(),
            json: json!({ "error": exit.as_str(), "message": error.to_string(),
                "details": details(error) }),
            exit,
        }
    }
}

/// The fields of an error that scripts act on.
fn details(error: &CtlError) -> Value {
    match error {
        CtlError::Config(ConfigError::Conflict {
            version,
            preset,
            operator,
            change_id,
        }) => json!({ "version": version, "preset": preset, "operator": operator,
            "change_id": change_id }),
        CtlError::Config(ConfigError::OutcomeUnknown { change_id }) => {
            json!({ "change_id": change_id })
        }
        CtlError::Config(ConfigError::Settings(error)) => {
            json!({ "file": error.file, "problems": error.problems })
        }
        _ => Value::Null,
    }
}
