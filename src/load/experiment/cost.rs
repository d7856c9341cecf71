//! What the system costs: calls straight to the backend server, paired with the same calls through
//! entry and guard.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::backend::BackendSettings;
use crate::backend::ServiceTime;
use crate::core::Name;
use crate::errors::ExperimentError;
use crate::errors::LoadError;
use crate::load::AnswerCheck;
use crate::load::CallKind;
use crate::load::CallRecord;
use crate::load::DriveOptions;
use crate::load::Phase;
use crate::load::PhaseRole;
use crate::load::Plan;
use crate::load::ResendPolicy;
use crate::load::Trace;
use crate::load::drive;
use crate::load::experiment::ProcessUsage;
use crate::load::experiment::Spread;
use crate::load::experiment::Variant;
use crate::load::experiment::chain::PRESET;
use crate::load::experiment::chain::PRESET_NAME;
use crate::load::experiment::overload::write_json;
use crate::load::experiment::spread::show;
use crate::load::latencies::quantile_ms;
use crate::mesh::Binaries;
use crate::mesh::Mesh;
use crate::mesh::MeshPlan;
use crate::mesh::TargetPlan;

const REGION: &str = "bench";
const DOMAIN: &str = "bench-a";
const SERVICE: &str = "echo";
/// The service of the node that serves as entry, so that a call always crosses two nodes.
const ENTRY_SERVICE: &str = "entry";
const SLOTS: u32 = 200;
const WARMUP_MS: u64 = 2_000;
const DEADLINE_MS: u64 = 2_000;

/// How the cost is measured.
#[derive(Clone, Debug)]
pub struct CostExperiment {
    pub rate_per_s: f64,
    pub duration_ms: u64,
    pub rounds: usize,
    pub variant: Variant,
    /// How long the backend server takes for a call.
    pub service_ms: f64,
    /// The length of answers.
    pub answer_bytes: usize,
}

/// One round: direct and through the nodes, one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CostRow {
    pub direct_p50_ms: f64,
    pub direct_p99_ms: f64,
    pub through_p50_ms: f64,
    pub through_p99_ms: f64,
    /// Calls that were not good.
    pub not_good: u64,
    pub entry_us_per_call: f64,
    pub guard_us_per_call: f64,
    pub entry_resident_kb: u64,
    pub guard_resident_kb: u64,
}

impl CostExperiment {
    /// Runs all rounds on one mesh and writes them to `out`.
    ///
    /// # Errors
    /// When the mesh cannot be started or a file cannot be written.
    pub async fn run(&self, out: &Path) -> Result<Vec<CostRow>, ExperimentError> {
        fs::create_dir_all(out).map_err(|source| LoadError::write(out, source))?;
        let mesh = Mesh::start(self.mesh_plan(Binaries::beside_current()?)).await?;
        let entry = mesh.target("entry-1");
        let guard = mesh.target("echo-1");
        let direct = vec![guard.addresses.backend];
        let through = vec![entry.addresses.caller];
        self.send(&direct, "/direct", WARMUP_MS).await?;
        self.send(&through, "/echo/through", WARMUP_MS).await?;
        let mut rows = Vec::new();
        for round in 1..=self.rounds {
            let row = self.round(&mesh, &direct, &through).await?;
            eprintln!("experiment: cost round {round}: {row:?}");
            rows.push(row);
        }
        write_json(&out.join("cost.json"), &rows)?;
        Ok(rows)
    }

    async fn round(
        &self,
        mesh: &Mesh,
        direct: &[SocketAddr],
        through: &[SocketAddr],
    ) -> Result<CostRow, ExperimentError> {
        let usage = |node: &str| {
            let pid = mesh.target(node).node.pid();
            pid.and_then(ProcessUsage::of).unwrap_or_default()
        };
        let of_direct = self.send(direct, "/direct", self.duration_ms).await?;
        let entry_before = usage("entry-1");
        let guard_before = usage("echo-1");
        let of_through = self
            .send(through, "/echo/through", self.duration_ms)
            .await?;
        let entry_after = usage("entry-1");
        let guard_after = usage("echo-1");
        let calls = of_through.len() as f64;
        let us_per_call = |before: ProcessUsage, after: ProcessUsage| {
            (after.processor_ms - before.processor_ms) as f64 * 1_000.0 / calls
        };
        let not_good = |records: &[CallRecord]| {
            records.iter().filter(|record| !record.is_good()).count() as u64
        };
        Ok(CostRow {
            direct_p50_ms: since_sent_ms(&of_direct, 0.5),
            direct_p99_ms: since_sent_ms(&of_direct, 0.99),
            through_p50_ms: since_sent_ms(&of_through, 0.5),
            through_p99_ms: since_sent_ms(&of_through, 0.99),
            not_good: not_good(&of_direct) + not_good(&of_through),
            entry_us_per_call: us_per_call(entry_before, entry_after),
            guard_us_per_call: us_per_call(guard_before, guard_after),
            entry_resident_kb: entry_after.resident_kb,
            guard_resident_kb: guard_after.resident_kb,
        })
    }

    async fn send(
        &self,
        entries: &[SocketAddr],
        path: &str,
        duration_ms: u64,
    ) -> Result<Vec<CallRecord>, ExperimentError> {
        let phase = Phase {
            name: "steady".into(),
            role: PhaseRole::Ordinary,
            duration_ms,
            rate_per_s: self.rate_per_s,
            end_rate_per_s: None,
        };
        let call = CallKind {
            name: "call".into(),
            class: "lookups".into(),
            method: "GET".into(),
            path: path.into(),
            weight: 1.0,
            non_idempotent: false,
            body_bytes: 0,
            deadline_ms: DEADLINE_MS,
            answer: AnswerCheck::Length,
        };
        let plan = Plan {
            seed: 1,
            phases: vec![phase],
            calls: vec![call],
            resend: ResendPolicy::default(),
        };
        let options = DriveOptions {
            entries: entries.to_vec(),
            resend: ResendPolicy::default(),
            show_progress: false,
        };
        Ok(drive(Arc::new(Trace::generate(&plan)), options).await?)
    }

    fn mesh_plan(&self, binaries: Binaries) -> MeshPlan {
        let variant = self.variant.clone();
        let target = |node: &str, service: &str| TargetPlan {
            node: node.into(),
            domain: DOMAIN.into(),
            backend: BackendSettings {
                service: service.to_owned(),
                slots: SLOTS,
                service_time: ServiceTime::fixed(self.service_ms),
                padding_bytes: self.answer_bytes,
                ..BackendSettings::default()
            },
        };
        MeshPlan {
            binaries,
            region: REGION.into(),
            targets: vec![target("entry-1", ENTRY_SERVICE), target("echo-1", SERVICE)],
            presets: vec![PRESET.to_owned()],
            first_preset: Name::from(PRESET_NAME),
            node_change: Box::new(move |settings| variant.apply(settings)),
            relayed: false,
            node_log: log::LevelFilter::Warn,
        }
    }
}

/// A quantile of latencies since the sending: the grain of the generator's timer, about 1 ms, is
/// larger than what is measured here, and the generator is checked to keep up.
fn since_sent_ms(records: &[CallRecord], quantile: f64) -> f64 {
    let good = records.iter().filter(|record| record.is_good());
    let latencies_us: Vec<u64> = good
        .map(|record| record.latency_us - record.behind_us)
        .collect();
    quantile_ms(&latencies_us, quantile)
}

/// The rounds as a table for people.
pub fn render_cost(rows: &[CostRow]) -> String {
    let spread = |figure: fn(&CostRow) -> f64| show(Spread::of(rows.iter().map(figure)), 3);
    let mut out = String::new();
    let mut line = |name: &str, figure: fn(&CostRow) -> f64| {
        let _ = writeln!(out, "{name:<28}{}", spread(figure));
    };
    line("direct p50 ms", |row| row.direct_p50_ms);
    line("direct p99 ms", |row| row.direct_p99_ms);
    line("through p50 ms", |row| row.through_p50_ms);
    line("through p99 ms", |row| row.through_p99_ms);
    line("added p50 ms", |row| row.through_p50_ms - row.direct_p50_ms);
    line("added p99 ms", |row| row.through_p99_ms - row.direct_p99_ms);
    line("entry processor us/call", |row| row.entry_us_per_call);
    line("guard processor us/call", |row| row.guard_us_per_call);
    line("entry resident kB", |row| row.entry_resident_kb as f64);
    line("guard resident kB", |row| row.guard_resident_kb as f64);
    line("not good", |row| row.not_good as f64);
    out
}
