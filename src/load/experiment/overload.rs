//! The overload of a chain: demand surges at the moment at which the last service slows down, and
//! callers resend hard. Goodput, wasted work and recovery, for each variant in turn.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;

use crate::backend::BehaviourChange;
use crate::errors::ExperimentError;
use crate::errors::LoadError;
use crate::load::Audit;
use crate::load::DriveOptions;
use crate::load::Phase;
use crate::load::PhaseRole;
use crate::load::PhaseSpan;
use crate::load::Plan;
use crate::load::Report;
use crate::load::ResendPolicy;
use crate::load::Trace;
use crate::load::drive;
use crate::load::experiment::Chain;
use crate::load::experiment::Variant;
use crate::load::experiment::chain::call_kinds;
use crate::load::experiment::overload_rows::OverloadRun;
use crate::load::runs_of_events;
use crate::mesh::Binaries;
use crate::mesh::Mesh;

/// Ordinary load, of what the last service can run when it is not slowed.
const ORDINARY_SHARE: f64 = 0.4;
const WARMUP_MS: u64 = 2_000;
const SURGE: &str = "surge";

/// What is varied and repeated.
#[derive(Clone, Debug)]
pub struct OverloadExperiment {
    pub depths: Vec<usize>,
    /// Offered load in the surge, in multiples of what the slowed last service can run.
    pub factors: Vec<f64>,
    pub variants: Vec<Variant>,
    pub rounds: usize,
    pub targets_per_service: usize,
    pub last_slots: u32,
    pub last_service_ms: f64,
    /// How many times as long the last service takes during the surge.
    pub slow_factor: f64,
    pub ordinary_ms: u64,
    pub surge_ms: u64,
    pub recovery_ms: u64,
    pub deadline_ms: u64,
    pub resend: ResendPolicy,
}

/// One cell of the experiment.
#[derive(Clone, Debug)]
struct Cell<'a> {
    depth: usize,
    factor: f64,
    variant: &'a Variant,
    round: usize,
}

/// What backend servers had run when the surge began and when it ended, by target.
struct Marks {
    from: Vec<usize>,
    to: Vec<usize>,
}

impl OverloadExperiment {
    /// Runs all cells, variants next to each other, and writes each report to `out`.
    ///
    /// # Errors
    /// When a mesh cannot be started or a report cannot be written.
    pub async fn run(&self, out: &Path) -> Result<Vec<OverloadRun>, ExperimentError> {
        fs::create_dir_all(out).map_err(|source| LoadError::write(out, source))?;
        let mut runs = Vec::new();
        for round in 1..=self.rounds {
            for &depth in &self.depths {
                for &factor in &self.factors {
                    for variant in &self.variants {
                        let cell = Cell {
                            depth,
                            factor,
                            variant,
                            round,
                        };
                        runs.push(self.run_cell(&cell, out).await?);
                    }
                }
            }
        }
        write_json(&out.join("overload.json"), &runs)?;
        Ok(runs)
    }

    async fn run_cell(&self, cell: &Cell<'_>, out: &Path) -> Result<OverloadRun, ExperimentError> {
        let chain = self.chain(cell.depth);
        let plan = self.plan(&chain, cell);
        let mesh_plan = chain.mesh_plan(Binaries::beside_current()?, cell.variant);
        let mesh = Mesh::start(mesh_plan).await?;
        let mut trace = Trace::generate(&plan);
        trace.prefix_keys(&format!("{:08x}", fastrand::u32(..)));
        let options = DriveOptions {
            entries: mesh.entries(),
            resend: self.resend,
            show_progress: false,
        };
        let (records, marks) = tokio::join!(
            drive(Arc::new(trace), options),
            self.slow_down_in_surge(&mesh, &chain)
        );
        let (records, marks) = (records?, marks?);
        let mut all_runs = Vec::new();
        let mut surge_runs = Vec::new();
        for (index, target) in mesh.targets.iter().enumerate() {
            let runs = runs_of_events(target.run_events());
            let in_surge = runs.get(marks.from[index]..marks.to[index]);
            let lost = || ExperimentError::RunLogLost {
                target: target.name.clone(),
            };
            surge_runs.extend_from_slice(in_surge.ok_or_else(lost)?);
            all_runs.extend(runs);
        }
        let spans = PhaseSpan::of_plan(&plan);
        let report = Report::of(&records, &spans, &plan.classes(), Some(&all_runs));
        let surge_audit = Audit::of(&records, &surge_runs);
        let run = OverloadRun::of(cell.depth, cell.factor, &cell.variant.name, cell.round)
            .with_figures(&report, &surge_audit, SURGE);
        let name = format!(
            "overload-d{}-x{}-{}-r{}",
            cell.depth, cell.factor, cell.variant.name, cell.round
        );
        write_json(&out.join(format!("{name}.json")), &report)?;
        write_metrics(&mesh, &out.join(format!("{name}.metrics"))).await?;
        eprintln!("experiment: {run}");
        Ok(run)
    }

    async fn slow_down_in_surge(
        &self,
        mesh: &Mesh,
        chain: &Chain,
    ) -> Result<Marks, ExperimentError> {
        sleep(Duration::from_millis(WARMUP_MS + self.ordinary_ms)).await;
        let from = started_runs(mesh);
        self.slow(mesh, chain, self.slow_factor).await?;
        sleep(Duration::from_millis(self.surge_ms)).await;
        self.slow(mesh, chain, 1.0).await?;
        let to = started_runs(mesh);
        Ok(Marks { from, to })
    }

    async fn slow(&self, mesh: &Mesh, chain: &Chain, factor: f64) -> Result<(), ExperimentError> {
        let change = BehaviourChange {
            slow_factor: Some(factor),
            ..BehaviourChange::default()
        };
        mesh.behave(&chain.last_service(), &change).await?;
        Ok(())
    }

    fn chain(&self, depth: usize) -> Chain {
        Chain {
            depth,
            targets_per_service: self.targets_per_service,
            last_slots: self.last_slots,
            last_service_ms: self.last_service_ms,
        }
    }

    fn plan(&self, chain: &Chain, cell: &Cell<'_>) -> Plan {
        let ordinary_per_s = ORDINARY_SHARE * chain.capacity_per_s(1.0);
        let surge_per_s = cell.factor * chain.capacity_per_s(self.slow_factor);
        let phase = |name: &str, role, duration_ms, rate_per_s| Phase {
            name: name.into(),
            role,
            duration_ms,
            rate_per_s,
            end_rate_per_s: None,
        };
        Plan {
            seed: cell.round as u64,
            phases: vec![
                phase("warm-up", PhaseRole::Warmup, WARMUP_MS, ordinary_per_s),
                phase(
                    "ordinary",
                    PhaseRole::Ordinary,
                    self.ordinary_ms,
                    ordinary_per_s,
                ),
                phase(SURGE, PhaseRole::Surge, self.surge_ms, surge_per_s),
                phase(
                    "recovery",
                    PhaseRole::Recovery,
                    self.recovery_ms,
                    ordinary_per_s,
                ),
            ],
            calls: call_kinds(self.deadline_ms),
            resend: self.resend,
        }
    }
}

/// Runs started so far, by target.
fn started_runs(mesh: &Mesh) -> Vec<usize> {
    let started = |target: &crate::mesh::MeshTarget| runs_of_events(target.run_events()).len();
    mesh.targets.iter().map(started).collect()
}

/// Writes the metrics of all nodes, from which the cause of a figure can be found.
async fn write_metrics(mesh: &Mesh, path: &Path) -> Result<(), ExperimentError> {
    let mut text = String::new();
    for target in &mesh.targets {
        let answer = mesh.web.get(&target.operator_uri("/metrics")).await?;
        for line in String::from_utf8_lossy(&answer.body).lines() {
            if !line.starts_with('#') && !line.ends_with(" 0") {
                text.push_str(&format!("{} {line}\n", target.name));
            }
        }
    }
    fs::write(path, text).map_err(|source| LoadError::write(path, source))?;
    Ok(())
}

/// Writes a file of an experiment.
pub fn write_json<T: Serialize>(path: &Path, value: &T) -> Result<(), LoadError> {
    let text = serde_json::to_string(value).expect("plain structs always encode");
    fs::write(path, text).map_err(|source| LoadError::write(path, source))
}
