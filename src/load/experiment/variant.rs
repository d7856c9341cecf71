//! A variant of an experiment: a name and changes of node settings.

use std::str::FromStr;

use crate::conf::NodeSettings;
use crate::errors::ExperimentError;

/// A change of one field of the settings of every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    ControlEnabled(bool),
    TrafficThreads(usize),
    SilenceMs(u64),
    IdleConnectionMs(u64),
    MaxHeldBodyBytes(usize),
}

/// How the nodes of a mesh are set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Variant {
    pub name: String,
    changes: Vec<Change>,
}

impl Variant {
    /// Settings as they come.
    pub fn controlled() -> Self {
        Self {
            name: "controlled".into(),
            changes: Vec::new(),
        }
    }

    /// No control: everything is forwarded, three retries a hop.
    pub fn baseline() -> Self {
        Self {
            name: "baseline".into(),
            changes: vec![Change::ControlEnabled(false)],
        }
    }

    /// Applies the changes to the settings of a node.
    pub fn apply(&self, settings: &mut NodeSettings) {
        for change in &self.changes {
            match *change {
                Change::ControlEnabled(enabled) => settings.control_enabled = enabled,
                Change::TrafficThreads(threads) => settings.traffic_threads = threads,
                Change::SilenceMs(wait_ms) => settings.silence_ms = wait_ms,
                Change::IdleConnectionMs(idle_ms) => settings.idle_connection_ms = idle_ms,
                Change::MaxHeldBodyBytes(bytes) => settings.max_held_body_bytes = bytes,
            }
        }
    }
}

/// `name` alone, or `name:key=value,key=value`.
impl FromStr for Variant {
    type Err = ExperimentError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, changes) = text.split_once(':').unwrap_or((text, ""));
        let changes = changes.split(',').filter(|change| !change.is_empty());
        Ok(Self {
            name: name.to_owned(),
            changes: changes.map(parse_change).collect::<Result<_, _>>()?,
        })
    }
}

fn parse_change(text: &str) -> Result<Change, ExperimentError> {
    let unknown = || ExperimentError::Change { text: text.into() };
    let (key, value) = text.split_once('=').ok_or_else(unknown)?;
    match key {
        "control_enabled" => value.parse().ok().map(Change::ControlEnabled),
        "traffic_threads" => value.parse().ok().map(Change::TrafficThreads),
        "silence_ms" => value.parse().ok().map(Change::SilenceMs),
        "idle_connection_ms" => value.parse().ok().map(Change::IdleConnectionMs),
        "max_held_body_bytes" => value.parse().ok().map(Change::MaxHeldBodyBytes),
        _ => None,
    }
    .ok_or_else(unknown)
}
