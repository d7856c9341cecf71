//! Waits until processes of a mesh are ready.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::claims::SLOT_COUNT;
use crate::core::Clock;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::Target;
use crate::core::TargetState;
use crate::errors::MeshError;
use crate::mesh::ManagedProcess;
use crate::mesh::Mesh;
use crate::mesh::MeshTarget;
use crate::mesh::Web;

const POLL: Duration = Duration::from_millis(20);

/// Waits until a process listens at an address.
pub(super) async fn wait_serves(
    web: &Web,
    process: &mut ManagedProcess,
    address: SocketAddr,
    wait_ms: u64,
) -> Result<(), MeshError> {
    let clock = Clock::new();
    loop {
        let last = match web.get(&format!("http://{address}/")).await {
            Ok(_) => return Ok(()),
            Err(error) => error.to_string(),
        };
        let name = process.name().clone();
        if let Some(status) = process.exit_status() {
            return Err(MeshError::Ended {
                name,
                status,
                output: process.last_output(),
            });
        }
        if clock.now().0 > wait_ms {
            return Err(MeshError::NotReady {
                name,
                wait_ms,
                last,
            });
        }
        tokio::time::sleep(POLL).await;
    }
}

/// The part of a node's status that tells whether it is ready.
#[derive(Debug)]
#[derive(Deserialize)]
struct NodeStatus {
    preset: Option<Name>,
    service: Option<Name>,
    slots_open: usize,
    members: Vec<Target>,
    cut_off_domains: Vec<Name>,
}

/// Waits until every node that runs has a preset in force and knows every target that runs, and
/// every slot of every service has an owner.
pub(super) async fn wait_ready(mesh: &Mesh, wait_ms: u64) -> Result<(), MeshError> {
    let clock = Clock::new();
    loop {
        let Some((name, last)) = what_is_missing_anywhere(mesh).await else {
            return Ok(());
        };
        if clock.now().0 > wait_ms {
            return Err(MeshError::NotReady {
                name,
                wait_ms,
                last,
            });
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn what_is_missing_anywhere(mesh: &Mesh) -> Option<(Name, String)> {
    let mut open_slots: FastMap<Name, usize> = FastMap::default();
    for target in mesh.targets.iter().filter(|it| it.node.is_running()) {
        let status = match node_status(mesh, target).await {
            Ok(status) => status,
            Err(error) => return Some((target.name.clone(), error.to_string())),
        };
        if let Some(last) = what_is_missing(mesh, &status) {
            return Some((target.name.clone(), last));
        }
        if let Some(service) = status.service {
            *open_slots.entry(service).or_default() += status.slots_open;
        }
    }
    let without_preset = mesh.plan.presets.is_empty();
    let lacking = open_slots
        .into_iter()
        .find(|(_, open)| !without_preset && *open < SLOT_COUNT);
    lacking.map(|(service, open)| {
        (
            service,
            format!("{open} of {SLOT_COUNT} slots have an owner"),
        )
    })
}

async fn node_status(mesh: &Mesh, target: &MeshTarget) -> Result<NodeStatus, MeshError> {
    mesh.web.get_json(&target.operator_uri("/status")).await
}

/// What a node still lacks, or nothing when it is ready.
fn what_is_missing(mesh: &Mesh, status: &NodeStatus) -> Option<String> {
    if status.preset.is_none() && !mesh.plan.presets.is_empty() {
        return Some("no preset is in force".to_string());
    }
    if let Some(domain) = status.cut_off_domains.first() {
        return Some(format!("{domain} is taken to be cut off"));
    }
    let wanted = mesh.targets.iter().filter(|other| other.is_running());
    let unknown = |other: &&MeshTarget| {
        let is_up = |member: &Target| {
            member.node == other.name
                && member.service == other.service
                && member.state == TargetState::Up
        };
        !status.members.iter().any(is_up)
    };
    let missing = wanted.into_iter().find(unknown);
    missing.map(|other| format!("{} is not known as up", other.name))
}
