//! One node of a mesh with its backend server.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use crate::backend::BackendSettings;
use crate::backend::RunEvent;
use crate::conf::NodeSettings;
use crate::core::Name;
use crate::errors::MeshError;
use crate::mesh::Launch;
use crate::mesh::ManagedProcess;
use crate::mesh::MeshPlan;
use crate::mesh::NodeAddresses;
use crate::mesh::TargetPlan;
use crate::mesh::read_run_events;

/// The processes of one VM.
pub struct MeshTarget {
    pub name: Name,
    pub domain: Name,
    pub service: Name,
    pub addresses: NodeAddresses,
    pub node: ManagedProcess,
    pub backend: ManagedProcess,
    run_log: PathBuf,
}

/// What is the same for all targets of a mesh.
pub(crate) struct TargetSite<'a> {
    pub plan: &'a MeshPlan,
    pub folder: &'a Path,
    pub seeds: Vec<std::net::SocketAddr>,
    pub platform: std::net::SocketAddr,
}

impl MeshTarget {
    /// Writes the settings and starts both processes.
    pub(crate) fn start(
        site: &TargetSite<'_>,
        target: &TargetPlan,
        addresses: NodeAddresses,
    ) -> Result<Self, MeshError> {
        let run_log = site.folder.join(format!("{}.runs", target.node));
        let node = ManagedProcess::start(node_launch(site, target, &addresses)?)?;
        let backend = backend_settings(site, target, &addresses, &run_log);
        let backend = ManagedProcess::start(backend_launch(site, target, &backend)?)?;
        Ok(Self {
            name: target.node.clone(),
            domain: target.domain.clone(),
            service: Name::from(target.backend.service.as_str()),
            addresses,
            node,
            backend,
            run_log,
        })
    }

    /// Kills the node and its backend server at once, as when the VM fails.
    pub fn kill(&mut self) {
        self.node.kill();
        self.backend.kill();
    }

    /// Starts both anew.
    ///
    /// # Errors
    /// When one of them cannot be started.
    pub fn restart(&mut self) -> Result<(), MeshError> {
        self.node.restart()?;
        self.backend.restart()
    }

    /// Whether both processes run, paused or not.
    pub fn is_running(&self) -> bool {
        self.node.is_running() && self.backend.is_running()
    }

    /// The file to which the backend server writes what it runs.
    pub fn run_log(&self) -> &Path {
        &self.run_log
    }

    /// What the backend server ran so far, over all its starts.
    pub fn run_events(&self) -> Vec<RunEvent> {
        read_run_events(&self.run_log)
    }

    /// Where callers send requests.
    pub fn caller_uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.addresses.caller)
    }

    /// Where operators ask the node.
    pub fn operator_uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.addresses.operator)
    }

    /// Where tests change the backend server.
    pub fn backend_uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.addresses.backend)
    }

    /// The name of the link to its peers' listener.
    pub fn peer_link(&self) -> String {
        format!("peer:{}", self.name)
    }

    /// The name of the link to its control address.
    pub fn control_link(&self) -> String {
        format!("control:{}", self.name)
    }

    /// The name of the link from the node to its backend server.
    pub fn backend_link(&self) -> String {
        format!("backend:{}", self.name)
    }
}

fn node_launch(
    site: &TargetSite<'_>,
    target: &TargetPlan,
    addresses: &NodeAddresses,
) -> Result<Launch, MeshError> {
    let mut settings = NodeSettings::with_defaults(
        target.node.clone(),
        site.plan.region.clone(),
        target.domain.clone(),
        [
            addresses.caller,
            addresses.local,
            addresses.peer,
            addresses.control,
            addresses.operator,
        ],
        site.platform,
    );
    settings.seeds.clone_from(&site.seeds);
    settings.log_level = site.plan.node_log;
    if site.plan.relayed {
        settings.peer_advertised_address = addresses.relayed_peer;
        settings.control_advertised_address = addresses.relayed_control;
    }
    (site.plan.node_change)(&mut settings);
    let file = format!("{}.node.yaml", target.node);
    let file = write_file(site.folder, &file, &settings.to_yaml())?;
    Ok(Launch {
        name: Name::from(format!("node {}", target.node)),
        program: site.plan.binaries.node.clone(),
        arguments: vec!["--settings".to_string(), file],
        environment: Vec::new(),
        log: site.folder.join(format!("{}.node.log", target.node)),
    })
}

fn backend_settings(
    site: &TargetSite<'_>,
    target: &TargetPlan,
    addresses: &NodeAddresses,
    run_log: &Path,
) -> BackendSettings {
    BackendSettings {
        instance: target.node.to_string(),
        listen: addresses.backend,
        announced_address: site.plan.relayed.then_some(addresses.relayed_backend),
        node: Some(format!("http://{}", addresses.local)),
        run_log: Some(run_log.to_path_buf()),
        ..target.backend.clone()
    }
}

fn backend_launch(
    site: &TargetSite<'_>,
    target: &TargetPlan,
    settings: &BackendSettings,
) -> Result<Launch, MeshError> {
    let file = format!("{}.backend.yaml", target.node);
    let file = write_file(site.folder, &file, &settings.to_yaml())?;
    Ok(Launch {
        name: Name::from(format!("backend server of {}", target.node)),
        program: site.plan.binaries.backend.clone(),
        arguments: vec!["--settings".to_string(), file],
        environment: Vec::new(),
        log: site.folder.join(format!("{}.backend.log", target.node)),
    })
}

/// Writes a file of the mesh and gives its path as text.
pub(crate) fn write_file(folder: &Path, name: &str, text: &str) -> Result<String, MeshError> {
    let path = folder.join(name);
    fs::write(&path, text).map_err(|source| MeshError::Write {
        path: path.clone(),
        source,
    })?;
    Ok(path.display().to_string())
}
