//! Where load is sent: running nodes, or a mesh of a deployment that is started for it.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use crate::backend::BackendSettings;
use crate::backend::RunRecord;
use crate::conf::load_deployment;
use crate::errors::LoadError;
use crate::load::experiment::Variant;
use crate::load::fetch_runs;
use crate::load::last_run;
use crate::load::read_run_log;
use crate::load::runs_after;
use crate::load::runs_of_events;
use crate::mesh::Binaries;
use crate::mesh::Mesh;
use crate::mesh::MeshPlan;

/// The file beside a deployment that says what its stand-in backend servers do.
const BACKENDS_FILE: &str = "backends.yaml";

/// What the command line says of where to send.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Callers' addresses of nodes.
    pub entries: Vec<SocketAddr>,
    /// Stand-in backend servers to ask what they ran.
    pub backends: Vec<SocketAddr>,
    pub run_logs: Vec<PathBuf>,
    /// Starts a mesh of this deployment on loopback instead.
    pub deployment: Option<PathBuf>,
    pub variant: Variant,
}

/// Where load is sent, and what had run there before.
pub struct Site {
    pub entries: Vec<SocketAddr>,
    /// Each with the number of its last run before the load.
    backends: Vec<(SocketAddr, u64)>,
    run_logs: Vec<PathBuf>,
    mesh: Option<Mesh>,
}

impl Site {
    /// Starts the mesh of a deployment, or asks running backend servers where they stand.
    ///
    /// # Errors
    /// When the deployment is wrong, the mesh does not start, or a backend server does not answer.
    pub async fn open(options: SiteOptions) -> Result<Self, LoadError> {
        if let Some(deployment) = &options.deployment {
            let mesh = Mesh::start(mesh_plan(deployment, options.variant)?).await?;
            return Ok(Self {
                entries: mesh.entries(),
                backends: Vec::new(),
                run_logs: Vec::new(),
                mesh: Some(mesh),
            });
        }
        let mut backends = Vec::new();
        for backend in options.backends {
            backends.push((backend, last_run(&fetch_runs(backend).await?)));
        }
        Ok(Self {
            entries: options.entries,
            backends,
            run_logs: options.run_logs,
            mesh: None,
        })
    }

    /// What backend servers ran since, or nothing when there is none to ask.
    ///
    /// # Errors
    /// When a backend server does not answer or a run log cannot be read.
    pub async fn runs(&self) -> Result<Option<Vec<RunRecord>>, LoadError> {
        let mut runs = Vec::new();
        for (backend, known) in &self.backends {
            runs.extend(runs_after(fetch_runs(*backend).await?, *known));
        }
        for path in &self.run_logs {
            runs.extend(read_run_log(path)?);
        }
        for target in self.mesh.iter().flat_map(|mesh| &mesh.targets) {
            runs.extend(runs_of_events(target.run_events()));
        }
        let nobody = self.backends.is_empty() && self.run_logs.is_empty() && self.mesh.is_none();
        Ok((!nobody).then_some(runs))
    }
}

fn mesh_plan(path: &Path, variant: Variant) -> Result<MeshPlan, LoadError> {
    let files = load_deployment(path).map_err(|errors| LoadError::Deployment { errors })?;
    let kinds = read_backends(&path.with_file_name(BACKENDS_FILE))?;
    let presets = files.presets.into_iter().map(|(_, text)| text).collect();
    let mut plan = MeshPlan::of_deployment(
        Binaries::beside_current()?,
        &files.deployment,
        presets,
        |placement| {
            let same = |kind: &&BackendSettings| *kind.service == *placement.service;
            kinds.iter().find(same).cloned().unwrap_or_default()
        },
    );
    plan.node_change = Box::new(move |settings| variant.apply(settings));
    plan.node_log = log::LevelFilter::Warn;
    Ok(plan)
}

fn read_backends(path: &Path) -> Result<Vec<BackendSettings>, LoadError> {
    let text = fs::read_to_string(path).map_err(|source| LoadError::read(path, source))?;
    serde_yaml_ng::from_str(&text).map_err(|source| LoadError::Yaml {
        path: path.to_owned(),
        source,
    })
}
