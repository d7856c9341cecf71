//! Waits until processes of a mesh are ready.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::core::Clock;
use crate::core::Name;
use crate::core::Target;
use crate::core::TargetState;
use crate::errors::MeshError;
use crate::mesh::Mesh;
use crate::mesh::MeshTarget;
use crate::mesh::Web;

const POLL: Duration = Duration::from_millis(20);

/// Waits until something is listening at an address.
pub(super) async fn wait_serves(
    web: &Web,
    name: &str,
    address: SocketAddr,
    wait_ms: u64,
) -> Result<(), MeshError> {
    let clock = Clock::new();
    loop {
        let last = match web.get(&format!("http://{address}/")).await {
            Ok(_) => return Ok(()),
            Err(error) => error.to_string(),
        };
        if clock.now().0 > wait_ms {
            let name = Name::from(name);
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
#[derive(Debug, Deserialize)]
struct NodeStatus {
    preset: Option<Name>,
    members: Vec<Target>,
}

/// Waits until every node that runs has a preset in force and knows every target that runs.
pub(super) async fn wait_ready(mesh: &Mesh, wait_ms: u64) -> Result<(), MeshError> {
    let clock = Clock::new();
    for target in mesh
        .targets
        .iter()
        .filter(|target| target.node.is_running())
    {
        loop {
            let Some(last) = what_is_missing(mesh, target).await else {
                break;
            };
            if clock.now().0 > wait_ms {
                let name = target.name.clone();
                return Err(MeshError::NotReady {
                    name,
                    wait_ms,
                    last,
                });
            }
            tokio::time::sleep(POLL).await;
        }
    }
    Ok(())
}

/// What a node still lacks, or nothing when it is ready.
async fn what_is_missing(mesh: &Mesh, target: &MeshTarget) -> Option<String> {
    let uri = target.operator_uri("/status");
    let status: NodeStatus = match mesh.web.get_json(&uri).await {
        Ok(status) => status,
        Err(error) => return Some(error.to_string()),
    };
    if status.preset.is_none() && !mesh.plan.presets.is_empty() {
        return Some("no preset is in force".to_string());
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
