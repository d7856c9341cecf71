//! Starts the mesh, drives it, and makes the report.

use std::sync::Arc;
use std::time::Duration;

use crate::demo::demo_faults::bring_about;
use crate::demo::demo_files::load_plan;
use crate::demo::demo_files::mesh_plan;
use crate::load::DriveOptions;
use crate::load::PhaseSpan;
use crate::load::Report;
use crate::load::Trace;
use crate::load::drive;
use crate::load::load_runtime;
use crate::load::read_run_log;
use crate::mesh::Binaries;
use crate::mesh::Mesh;

/// Threads that send calls and relay nothing else.
const LOAD_THREADS: usize = 2;
/// How long runs that their callers gave up may still go on before they are counted.
const LAST_RUNS: Duration = Duration::from_millis(500);

/// How to run the demo.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemoOptions {
    /// Nodes forward everything, with three retries a hop: what the product is measured against.
    pub baseline: bool,
    /// In place of the plan's own.
    pub seed: Option<u64>,
    pub show_progress: bool,
}

/// Runs the demo.
///
/// # Errors
/// When the mesh cannot be started or a process does not do as it is told.
pub fn run_demo(options: &DemoOptions) -> eyre::Result<Report> {
    load_runtime(LOAD_THREADS)?.block_on(demo(options))
}

async fn demo(options: &DemoOptions) -> eyre::Result<Report> {
    let mut mesh = start_mesh(options).await?;
    let mut plan = load_plan();
    plan.seed = options.seed.unwrap_or(plan.seed);
    let phases = PhaseSpan::of_plan(&plan);
    let trace = Arc::new(Trace::generate(&plan));
    let drive_options = DriveOptions {
        entries: mesh.entries(),
        resend: plan.resend,
        show_progress: options.show_progress,
    };
    let driven = drive(trace, drive_options);
    let (records, faults) = tokio::join!(driven, bring_about(&mut mesh, &phases));
    faults?;
    let records = records?;
    tokio::time::sleep(LAST_RUNS).await;
    let mut runs = Vec::new();
    for target in &mesh.targets {
        runs.extend(read_run_log(target.run_log())?);
    }
    let classes = plan.classes();
    Ok(Report::of(&records, &phases, &classes, Some(&runs)))
}

async fn start_mesh(options: &DemoOptions) -> eyre::Result<Mesh> {
    let mut plan = mesh_plan(Binaries::beside_current()?);
    if options.baseline {
        plan.node_change = Box::new(|settings| settings.control_enabled = false);
    }
    let processes = plan.targets.len() * 2 + 1;
    eprintln!("demo: starts {processes} processes on loopback");
    let mesh = Mesh::start(plan).await?;
    eprintln!("demo: settings and logs folder={}", mesh.folder().display());
    Ok(mesh)
}
