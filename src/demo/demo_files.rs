//! The files of `examples/demo` built into the program so that the
//! demo runs from any folder.

use crate::backend::BackendSettings;
use crate::core::Name;
use crate::load::Plan;
use crate::mesh::Binaries;
use crate::mesh::MeshPlan;
use crate::mesh::TargetPlan;

const PLAN: &str = include_str!("../../examples/demo/plan.yaml");
const BACKENDS: &str = include_str!("../../examples/demo/backends.yaml");
const PRESET: &str = include_str!("../../examples/demo/preset.yaml");
const REGION: &str = "tw-north";
const DOMAINS: [&str; 3] = ["tw-north-a", "tw-north-b", "tw-north-c"];
const FIRST_PRESET: &str = "ordinary";

/// What callers send.
pub fn load_plan() -> Plan {
    serde_yaml_ng::from_str(PLAN).expect("the file is built in and tested")
}

/// The processes: one target of each service in each failure domain.
pub fn mesh_plan(binaries: Binaries) -> MeshPlan {
    let mut targets = Vec::new();
    for backend in backends() {
        for (index, domain) in DOMAINS.iter().enumerate() {
            let mut backend = backend.clone();
            backend.seed = targets.len() as u64 + 1;
            targets.push(TargetPlan {
                node: Name::from(format!("{}-{}", backend.service, index + 1)),
                domain: Name::from(*domain),
                backend,
            });
        }
    }
    MeshPlan {
        binaries,
        region: Name::from(REGION),
        targets,
        presets: vec![PRESET.to_string()],
        first_preset: Name::from(FIRST_PRESET),
        node_change: Box::new(|_| {}),
        relayed: false,
        node_log: log::LevelFilter::Warn,
    }
}

fn backends() -> Vec<BackendSettings> {
    serde_yaml_ng::from_str(BACKENDS).expect("the file is built in and tested")
}
