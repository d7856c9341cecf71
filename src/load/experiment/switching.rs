//! How long a change of the preset takes until it is in force on every node.

use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::time::Duration;

use futures::future::try_join_all;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::backend::BackendSettings;
use crate::configuration::Change;
use crate::configuration::ConfigStore;
use crate::configuration::SwitchOutcome;
use crate::core::Clock;
use crate::core::Name;
use crate::errors::ExperimentError;
use crate::errors::LoadError;
use crate::errors::MeshError;
use crate::load::experiment::Spread;
use crate::load::experiment::overload::write_json;
use crate::load::experiment::spread::show;
use crate::mesh::Binaries;
use crate::mesh::Mesh;
use crate::mesh::MeshPlan;
use crate::mesh::MeshTarget;
use crate::mesh::TargetPlan;
use crate::table_service::PlatformClient;

const REGION: &str = "bench";
const SERVICE: &str = "echo";
const PRESETS: [&str; 2] = ["ordinary", "peak"];
/// The failure domain that the fault `one domain cut off` takes the platform from.
const CUT_DOMAIN: &str = "domain-1";
/// How often a node that has not got the change is asked.
const LOOK: Duration = Duration::from_millis(20);
/// Pause between two switches, so that each meets nodes at rest.
const REST: Duration = Duration::from_millis(700);
/// The longest wait for a change; the brief's bound is 8 s.
const LONGEST_WAIT_MS: u64 = 20_000;
/// The operator's pause before he tries again.
const TRY_AGAIN: Duration = Duration::from_millis(100);
const OPERATOR_TIMEOUT_MS: u64 = 8_000;

/// How switching is measured.
#[derive(Clone, Debug)]
pub struct SwitchingExperiment {
    pub domains: usize,
    pub nodes_per_domain: usize,
    pub rounds: usize,
}

/// One switch.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SwitchingRow {
    pub fault: String,
    /// From the operator's command to the operator's answer.
    pub accepted_ms: u64,
    /// From the operator's answer until the first node has it in force.
    pub first_node_ms: u64,
    /// From the operator's answer until the last node has it in force.
    pub last_node_ms: u64,
}

/// What is wrong with the platform, by name.
fn faults() -> Vec<(&'static str, Option<Value>)> {
    vec![
        ("none", None),
        ("slow by 500 ms", Some(json!({"slow_delay_ms": 500}))),
        ("slow by 1500 ms", Some(json!({"slow_delay_ms": 1500}))),
        (
            "a third fails",
            Some(json!({"error_share": 0.33, "operations": "reads"})),
        ),
        (
            "answers lost",
            Some(json!({"applied_answer_lost": "broken"})),
        ),
        (
            "one domain cut off",
            Some(json!({"cut_off_domains": [CUT_DOMAIN]})),
        ),
    ]
}

impl SwitchingExperiment {
    /// Runs all rounds on one mesh, the faults interleaved, and writes them to `out`.
    ///
    /// # Errors
    /// When the mesh cannot be started, a switch fails or a file cannot be written.
    pub async fn run(&self, out: &Path) -> Result<Vec<SwitchingRow>, ExperimentError> {
        fs::create_dir_all(out).map_err(|source| LoadError::write(out, source))?;
        let mesh = Mesh::start(self.mesh_plan(Binaries::beside_current()?)).await?;
        let domain = Name::from("operators");
        let client = PlatformClient::new(mesh.platform_address, domain, OPERATOR_TIMEOUT_MS);
        let store = ConfigStore::with_read_retries(client);
        let mut rows = Vec::new();
        for round in 1..=self.rounds {
            for (fault, step) in faults() {
                let row = switch_under(&mesh, &store, fault, step, rows.len() + 1).await?;
                eprintln!("experiment: switching round {round}: {row:?}");
                rows.push(row);
                tokio::time::sleep(REST).await;
            }
        }
        write_json(&out.join("switching.json"), &rows)?;
        Ok(rows)
    }

    fn mesh_plan(&self, binaries: Binaries) -> MeshPlan {
        let mut targets = Vec::new();
        for domain in 1..=self.domains {
            for index in 1..=self.nodes_per_domain {
                targets.push(TargetPlan {
                    node: Name::from(format!("node-{domain}-{index}")),
                    domain: Name::from(format!("domain-{domain}")),
                    backend: BackendSettings {
                        service: SERVICE.to_owned(),
                        ..BackendSettings::default()
                    },
                });
            }
        }
        MeshPlan {
            binaries,
            region: Name::from(REGION),
            targets,
            presets: PRESETS.map(preset).to_vec(),
            first_preset: Name::from(PRESETS[0]),
            node_change: Box::new(|_| {}),
            relayed: false,
            node_log: log::LevelFilter::Warn,
        }
    }
}

fn preset(name: &str) -> String {
    format!(
        "preset: {name}\norder: [work]\nclasses:\n  work: {{wait_ms: 500, deadline_ms: 5000}}\n\
         default_class: work\n"
    )
}

/// Switches to the other preset while the fault lasts, and ends it when the change is everywhere.
async fn switch_under(
    mesh: &Mesh,
    store: &ConfigStore,
    fault: &str,
    step: Option<Value>,
    number: usize,
) -> Result<SwitchingRow, ExperimentError> {
    if let Some(step) = &step {
        mesh.add_platform_fault(step).await?;
        tokio::time::sleep(REST).await;
    }
    let clock = Clock::new();
    let version = switch(store, number).await?;
    let accepted_ms = clock.now().0;
    let waits = mesh
        .targets
        .iter()
        .map(|target| in_force(mesh, target, version, clock));
    let moments = try_join_all(waits).await?;
    mesh.clear_platform_faults().await?;
    let since_accepted = |moment: Option<&u64>| {
        let moment = moment.copied().unwrap_or(accepted_ms);
        moment.saturating_sub(accepted_ms)
    };
    Ok(SwitchingRow {
        fault: fault.to_owned(),
        accepted_ms,
        first_node_ms: since_accepted(moments.iter().min()),
        last_node_ms: since_accepted(moments.iter().max()),
    })
}

/// Repeats under one change id, as an operator does, until the platform says what became of it.
async fn switch(store: &ConfigStore, number: usize) -> Result<u64, ExperimentError> {
    let change = Change {
        change_id: Name::from(format!("switch-{number}")),
        operator: Name::from("experiment"),
        at_unix_s: 0,
    };
    let preset = Name::from(PRESETS[number % PRESETS.len()]);
    let clock = Clock::new();
    loop {
        match store.switch(&preset, None, 0, &change).await {
            Ok(
                SwitchOutcome::InForce { version, .. }
                | SwitchOutcome::AlreadyInForce { version, .. },
            ) => {
                return Ok(version);
            }
            Ok(SwitchOutcome::Replaced { by_version, .. }) => return Ok(by_version),
            Err(error) if clock.now().0 > LONGEST_WAIT_MS => return Err(error.into()),
            Err(_) => tokio::time::sleep(TRY_AGAIN).await,
        }
    }
}

/// The moment at which the node has the version in force.
async fn in_force(
    mesh: &Mesh,
    target: &MeshTarget,
    version: u64,
    clock: Clock,
) -> Result<u64, ExperimentError> {
    let uri = target.operator_uri("/status");
    loop {
        let status: Result<Value, MeshError> = mesh.web.get_json(&uri).await;
        let held = status?["config_version"].as_u64().unwrap_or(0);
        let now_ms = clock.now().0;
        if held >= version {
            return Ok(now_ms);
        }
        if now_ms > LONGEST_WAIT_MS {
            let wait_ms = LONGEST_WAIT_MS;
            return Err(ExperimentError::NotInForce { version, wait_ms });
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// A table of the medians with their spread, in milliseconds.
pub fn render_switching(rows: &[SwitchingRow]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<22}{:>26}{:>26}{:>26}",
        "platform", "accepted ms", "first node ms", "last node ms"
    );
    for (fault, _) in faults() {
        let of_fault: Vec<&SwitchingRow> = rows.iter().filter(|row| row.fault == fault).collect();
        let spread = |figure: fn(&SwitchingRow) -> u64| {
            show(Spread::of(of_fault.iter().map(|row| figure(row) as f64)), 0)
        };
        let _ = writeln!(
            out,
            "{fault:<22}{:>26}{:>26}{:>26}",
            spread(|row| row.accepted_ms),
            spread(|row| row.first_node_ms),
            spread(|row| row.last_node_ms),
        );
    }
    out
}
