//! Reads deployment files in YAML, and checks a deployment together with its presets.

use std::path::Path;

use crate::conf::Deployment;
use crate::conf::Section;
use crate::conf::ServiceSize;
use crate::conf::load_preset;
use crate::conf::parse_document;
use crate::conf::read_file;
use crate::core::Name;
use crate::errors::Problem;
use crate::errors::SettingsError;
use crate::preset::Preset;

const MAX_TARGETS: u64 = 10_000;
const MAX_SLOTS: u64 = 100_000;
const MAX_CONNECTIONS: u64 = 1_000_000;
const MAX_LATENCY_US: u64 = 1_000_000;
const ANY: &str = "*";

/// A validated deployment with the presets that its file names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentFiles {
    pub deployment: Deployment,
    /// The presets, each with the document that it was read from, as published.
    pub presets: Vec<(Preset, String)>,
}

/// Reads and checks a deployment file and the presets it names.
///
/// # Errors
/// All problems, grouped by file.
pub fn load_deployment(path: &Path) -> Result<DeploymentFiles, Vec<SettingsError>> {
    let file = path.display().to_string();
    let text = read_file(path).map_err(|error| vec![error])?;
    let deployment = parse_deployment(&file, &text).map_err(|error| vec![error])?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let mut presets = Vec::new();
    let mut errors = Vec::new();
    for preset in &deployment.presets {
        match load_preset_text(&folder.join(preset)) {
            Ok(loaded) => presets.push(loaded),
            Err(error) => errors.push(error),
        }
    }
    let problems = check_presets(&deployment, &presets, errors.is_empty());
    if !problems.is_empty() {
        errors.push(SettingsError { file, problems });
    }
    if errors.is_empty() {
        return Ok(DeploymentFiles {
            deployment,
            presets,
        });
    }
    Err(errors)
}

fn load_preset_text(path: &Path) -> Result<(Preset, String), SettingsError> {
    let text = read_file(path)?;
    let preset = load_preset(path)?;
    Ok((preset, text))
}

/// Reports rules for services that the deployment does not have, since they would never match. Also
/// reports presets of the same name, and a first preset that is not among them.
fn check_presets(
    deployment: &Deployment,
    presets: &[(Preset, String)],
    complete: bool,
) -> Vec<Problem> {
    let mut problems = Vec::new();
    let known = |service: &Name| {
        &**service == ANY || deployment.services.iter().any(|size| size.name == *service)
    };
    let mut names: Vec<&Name> = Vec::new();
    for (preset, _) in presets {
        let unknown = preset.rules.iter().filter(|rule| !known(&rule.service));
        problems.extend(unknown.map(|rule| Problem {
            field: "services".to_owned(),
            value: format!("without {}", rule.service),
            expected: format!("preset {} has a rule for {}", preset.name, rule.service),
        }));
        if names.contains(&&preset.name) {
            problems.push(Problem {
                field: "presets".to_owned(),
                value: format!("{} twice", preset.name),
                expected: "each preset needs a name of its own".to_owned(),
            });
        }
        names.push(&preset.name);
    }
    if complete && !names.contains(&&deployment.first_preset) {
        problems.push(Problem {
            field: "first_preset".to_owned(),
            value: deployment.first_preset.to_string(),
            expected: "the name of one of the presets".to_owned(),
        });
    }
    problems
}

/// Parses and validates a deployment document. Problems are reported under the name `file`.
///
/// # Errors
/// All problems of the text.
pub fn parse_deployment(file: &str, text: &str) -> Result<Deployment, SettingsError> {
    parse_document(file, text, read_deployment)
}

fn read_deployment(section: &mut Section) -> Option<Deployment> {
    let name = section.name("deployment");
    let region = section.name("region");
    let domains = section.names("domains");
    if domains.is_empty() {
        section.problem(
            "domains",
            "missing",
            "at least one failure domain is required",
        );
    }
    check_unique(section, "domains", &domains);
    let domain_latency_us = section.number_or("domain_latency_us", 0..=MAX_LATENCY_US, 0);
    let client_latency_us = section.number_or("client_latency_us", 0..=MAX_LATENCY_US, 0);
    let connect_cost_us = section.number_or("connect_cost_us", 0..=MAX_LATENCY_US, 0);
    let services = read_services(section);
    let presets = section.texts("presets");
    if presets.is_empty() {
        section.problem("presets", "missing", "at least one preset file is required");
    }
    let first_preset = section.name("first_preset");
    Some(Deployment {
        name: name?,
        region: region?,
        domains,
        domain_latency_us,
        client_latency_us,
        connect_cost_us,
        services: services?,
        presets,
        first_preset: first_preset?,
    })
}

fn read_services(section: &mut Section) -> Option<Vec<ServiceSize>> {
    let mut services = Vec::new();
    let mut complete = true;
    for (name, mut service) in section.named_sections("services") {
        match read_service(name, &mut service) {
            Some(size) => services.push(size),
            None => complete = false,
        }
        service.finish();
    }
    if services.is_empty() && complete {
        section.problem("services", "missing", "at least one service is required");
    }
    complete.then_some(services)
}

fn read_service(name: Name, section: &mut Section) -> Option<ServiceSize> {
    let targets = section.number("targets", 1..=MAX_TARGETS);
    let slots = section.number("slots", 1..=MAX_SLOTS);
    let connections = section.number("connections", 1..=MAX_CONNECTIONS);
    if let (Some(slots), Some(connections)) = (slots, connections)
        && connections < slots
    {
        let expected = format!("at least as many as the {slots} slots");
        section.problem("connections", &connections.to_string(), expected);
    }
    Some(ServiceSize {
        name,
        targets: targets? as usize,
        slots: slots? as u32,
        connections: connections? as u32,
    })
}

fn check_unique(section: &Section, field: &str, names: &[Name]) {
    for (index, name) in names.iter().enumerate() {
        if names[..index].contains(name) {
            section.problem(&format!("{field}[{index}]"), name, "each name once");
        }
    }
}
