//! A fixed list of targets and a preset file, which nodes use in place of membership and
//! configuration.

use std::path::Path;

use crate::conf::parse_preset;
use crate::core::Target;
use crate::core::TargetState;
use crate::errors::MeshError;
use crate::mesh::AddressPlan;
use crate::mesh::MeshPlan;
use crate::mesh::mesh_target::write_file;

/// Writes both files and gives the arguments that name them.
pub(super) fn fixed_inputs(
    plan: &MeshPlan,
    folder: &Path,
    addresses: &AddressPlan,
) -> Result<Vec<String>, MeshError> {
    let targets: Vec<Target> = (0..plan.targets.len())
        .map(|index| fixed_target(plan, index, addresses))
        .collect();
    let targets = serde_json::to_string(&targets).expect("plain structs always encode");
    let targets = write_file(folder, "targets.json", &targets)?;
    let mut arguments = vec!["--fixed-targets".to_string(), targets];
    let is_first = |text: &&String| {
        let preset = parse_preset("preset", text);
        preset.is_ok_and(|preset| preset.name == plan.first_preset)
    };
    if let Some(preset) = plan.presets.iter().find(is_first) {
        let preset = write_file(folder, "preset.yaml", preset)?;
        arguments.extend(["--preset".to_string(), preset]);
    }
    Ok(arguments)
}

fn fixed_target(plan: &MeshPlan, index: usize, addresses: &AddressPlan) -> Target {
    let target = &plan.targets[index];
    let node = addresses.node(index);
    let (peer_address, control_address) = match plan.relayed {
        true => (node.relayed_peer, node.relayed_control),
        false => (node.peer, node.control),
    };
    Target {
        node: target.node.clone(),
        service: target.backend.service.as_str().into(),
        region: plan.region.clone(),
        domain: target.domain.clone(),
        peer_address,
        control_address,
        incarnation: 1,
        state: TargetState::Up,
        slots: target.backend.slots,
    }
}
