//! What a mesh is made of.

use crate::backend::BackendSettings;
use crate::conf::Deployment;
use crate::conf::NodeSettings;
use crate::conf::Placement;
use crate::core::Name;
use crate::mesh::Binaries;

/// One backend server with its node.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// The name of the node.
    pub node: Name,
    pub domain: Name,
    /// Its addresses are set by the mesh.
    pub backend: BackendSettings,
}

/// Adjusts the settings of a node before it is started.
pub type NodeChange = Box<dyn Fn(&mut NodeSettings) + Send + Sync>;

/// Everything that a mesh starts.
pub struct MeshPlan {
    pub binaries: Binaries,
    pub region: Name,
    pub targets: Vec<TargetPlan>,
    /// Preset documents in YAML, all published.
    pub presets: Vec<String>,
    /// The one that comes into force.
    pub first_preset: Name,
    pub node_change: NodeChange,
    /// Puts a relay in front of every node's peer and control address and every backend server,
    /// so that links can be cut. It costs latency, so measurements go without.
    pub relayed: bool,
    /// The log level of nodes.
    pub node_log: log::LevelFilter,
}

impl MeshPlan {
    /// The mesh of a deployment. `backend` gives the settings of each backend server.
    pub fn of_deployment(
        binaries: Binaries,
        deployment: &Deployment,
        presets: Vec<String>,
        backend: impl Fn(&Placement) -> BackendSettings,
    ) -> Self {
        let placements = deployment.placements();
        let targets = placements.iter().map(|placement| TargetPlan {
            node: placement.node.clone(),
            domain: placement.domain.clone(),
            backend: BackendSettings {
                service: placement.service.to_string(),
                slots: placement.slots,
                connections: placement.connections,
                ..backend(placement)
            },
        });
        Self {
            binaries,
            region: deployment.region.clone(),
            targets: targets.collect(),
            presets,
            first_preset: deployment.first_preset.clone(),
            node_change: Box::new(|_| {}),
            relayed: false,
            node_log: log::LevelFilter::Info,
        }
    }

    /// All failure domains, each once, in the order of the targets.
    pub fn domains(&self) -> Vec<Name> {
        let mut domains: Vec<Name> = Vec::new();
        for target in &self.targets {
            if !domains.contains(&target.domain) {
                domains.push(target.domain.clone());
            }
        }
        domains
    }
}
