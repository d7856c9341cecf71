//! `check`: everything that is wrong in files, offline.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;
use serde_yaml_ng::Value;

use crate::conf::NodeSettings;
use crate::conf::load_deployment;
use crate::conf::load_node_settings;
use crate::conf::load_preset;
use crate::conf::read_file;
use crate::core::Name;
use crate::ctl::Exit;
use crate::ctl::output::Output;
use crate::errors::CtlError;
use crate::errors::Problem;
use crate::errors::SettingsError;

/// What a file holds, told by its first field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FileKind {
    NodeSettings,
    Preset,
    Deployment,
    Unknown,
}

impl FileKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::NodeSettings => "node settings",
            Self::Preset => "preset",
            Self::Deployment => "deployment with its presets",
            Self::Unknown => "unknown",
        }
    }
}

/// One file with what is wrong in it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct CheckedFile {
    pub file: String,
    pub kind: FileKind,
    pub errors: Vec<SettingsError>,
}

/// Checks each file, and settings of several nodes against each other.
pub fn check_files(files: &[PathBuf]) -> Vec<CheckedFile> {
    let mut nodes = Vec::new();
    let mut checked: Vec<CheckedFile> = files
        .iter()
        .map(|file| check_file(file, &mut nodes))
        .collect();
    for error in check_nodes_together(&nodes) {
        let owner = checked.iter_mut().find(|file| file.file == error.file);
        if let Some(owner) = owner {
            owner.errors.push(error);
        }
    }
    checked
}

/// The command.
pub fn run(files: &[PathBuf]) -> Result<Output, CtlError> {
    let checked = check_files(files);
    let problems: usize = checked
        .iter()
        .flat_map(|file| &file.errors)
        .map(|error| error.problems.len())
        .sum();
    let mut lines: Vec<String> = checked.iter().map(describe).collect();
    lines.push(match problems {
        0 => format!("{} files, no problems", checked.len()),
        _ => format!("{} files, {problems} problems", checked.len()),
    });
    let mut output = Output::done(lines.join("\n"), &checked);
    if problems > 0 || files.is_empty() {
        output.exit = Exit::Refused;
    }
    Ok(output)
}

fn describe(checked: &CheckedFile) -> String {
    if checked.errors.is_empty() {
        return format!("{}: ok ({})", checked.file, checked.kind.as_str());
    }
    let errors: Vec<String> = checked.errors.iter().map(ToString::to_string).collect();
    errors.join("\n")
}

fn check_file(path: &Path, nodes: &mut Vec<(String, NodeSettings)>) -> CheckedFile {
    let file = path.display().to_string();
    let (kind, result) = match kind_of(path) {
        Err(error) => (FileKind::Unknown, Err(vec![error])),
        Ok(kind) => (kind, load(path, kind, nodes)),
    };
    CheckedFile {
        file,
        kind,
        errors: result.err().unwrap_or_default(),
    }
}

fn load(
    path: &Path,
    kind: FileKind,
    nodes: &mut Vec<(String, NodeSettings)>,
) -> Result<(), Vec<SettingsError>> {
    match kind {
        FileKind::NodeSettings => {
            let settings = load_node_settings(path).map_err(|error| vec![error])?;
            nodes.push((path.display().to_string(), settings));
            Ok(())
        }
        FileKind::Preset => load_preset(path).map(drop).map_err(|error| vec![error]),
        FileKind::Deployment => load_deployment(path).map(drop),
        FileKind::Unknown => Ok(()),
    }
}

fn kind_of(path: &Path) -> Result<FileKind, SettingsError> {
    let text = read_file(path)?;
    let failed = |value: &str, expected: String| SettingsError {
        file: path.display().to_string(),
        problems: vec![Problem {
            field: String::new(),
            value: value.to_owned(),
            expected,
        }],
    };
    let document: Value =
        serde_yaml_ng::from_str(&text).map_err(|error| failed("not YAML", error.to_string()))?;
    let has = |field: &str| document.get(field).is_some();
    match (has("deployment"), has("preset"), has("node")) {
        (true, _, _) => Ok(FileKind::Deployment),
        (_, true, _) => Ok(FileKind::Preset),
        (_, _, true) => Ok(FileKind::NodeSettings),
        _ => Err(failed(
            "of no known kind",
            "node settings have a field node, presets a field preset, deployments a field \
             deployment"
                .to_owned(),
        )),
    }
}

/// Two nodes of one name override each other's announcements, and two of one address cannot both
/// start. Loopback addresses are left out: each VM has its own.
fn check_nodes_together(nodes: &[(String, NodeSettings)]) -> Vec<SettingsError> {
    let mut names: BTreeMap<Name, &str> = BTreeMap::new();
    let mut addresses: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    let mut errors = Vec::new();
    for (file, settings) in nodes {
        let mut problems = Vec::new();
        if let Some(other) = names.insert(settings.node.clone(), file) {
            problems.push(Problem {
                field: "node".to_owned(),
                value: settings.node.to_string(),
                expected: format!("a name of its own; {other} has it already"),
            });
        }
        for (field, address) in addresses_of(settings) {
            let is_shared = address.ip().is_loopback() || address.port() == 0;
            if is_shared {
                continue;
            }
            if let Some(other) = addresses
                .insert(address, file)
                .filter(|other| *other != file)
            {
                problems.push(Problem {
                    field: field.to_owned(),
                    value: address.to_string(),
                    expected: format!("an address of its own; {other} has it already"),
                });
            }
        }
        if !problems.is_empty() {
            let file = file.clone();
            errors.push(SettingsError { file, problems });
        }
    }
    errors
}

fn addresses_of(settings: &NodeSettings) -> [(&'static str, SocketAddr); 4] {
    [
        ("caller_address", settings.caller_address),
        ("peer_advertised_address", settings.peer_advertised_address),
        (
            "control_advertised_address",
            settings.control_advertised_address,
        ),
        ("operator_address", settings.operator_address),
    ]
}
