//! Backend servers that name a rate, under ordinary load and a surge: what they get, and who is served.

use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::Method;
use serde::Deserialize;
use serde::Serialize;

use crate::backend::BackendSettings;
use crate::backend::BehaviourChange;
use crate::backend::RunEvent;
use crate::backend::ServiceTime;
use crate::core::Clock;
use crate::core::Name;
use crate::core::TimeMs;
use crate::errors::ExperimentError;
use crate::errors::LoadError;
use crate::load::experiment::Spread;
use crate::load::experiment::overload::write_json;
use crate::load::experiment::spread::show;
use crate::mesh::Binaries;
use crate::mesh::Mesh;
use crate::mesh::MeshPlan;
use crate::mesh::TargetPlan;
use crate::wire::headers;

const REGION: &str = "bench";
const SERVICE: &str = "echo";
const DOMAIN: &str = "domain-1";
const PRESET: &str = "limited";
const PRESET_TEXT: &str = "preset: limited\norder: [jobs, lookups]\nclasses:\n  jobs: {wait_ms: 500, deadline_ms: 3000}\n  \
     lookups: {wait_ms: 500, deadline_ms: 3000}\ndefault_class: lookups\nrules:\n  \
     - {service: \"*\", method: GET, path_prefix: /jobs, class: jobs}\n";
/// The classes of requests, the most important first; requests are of each in turn.
const CLASSES: [&str; 2] = ["jobs", "lookups"];
/// Requests are counted over any span of this length.
const WINDOW_MS: u64 = 4_000;
/// How far a window may be beyond the rate, and by how many requests besides.
const WINDOW_FACTOR: f64 = 1.5;
const WINDOW_SLACK: f64 = 5.0;
/// Pause until the rate has been named in an answer.
const REST: Duration = Duration::from_millis(1_000);

/// How rate limits are measured.
#[derive(Clone, Debug)]
pub struct RateLimitExperiment {
    pub targets: usize,
    /// How many of them name the rate.
    pub limited: usize,
    pub rate_per_s: f64,
    pub load_per_s: f64,
    /// The load of the surge, in multiples of the ordinary one.
    pub surge_factor: f64,
    /// Length of the ordinary load, and of the surge after it.
    pub phase_ms: u64,
    pub service_ms: f64,
}

/// What one limited backend server got.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitedTarget {
    pub node: String,
    /// The most requests in any window, and how many may be in one.
    pub most_in_window: usize,
    pub allowed_in_window: f64,
    /// The mean rate, in thousandths of the one that it named.
    pub used_permille: u64,
}

/// What became of the requests of a class.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClassServed {
    pub phase: String,
    pub class: String,
    pub sent: usize,
    pub served: usize,
    pub not_run: usize,
    pub other: usize,
    /// What refusals said of when to come back, in milliseconds.
    pub retry_after_ms: Option<Spread>,
    /// How long after a refusal the next request was sent that was served, in milliseconds.
    pub room_after_ms: Option<Spread>,
}

/// The whole report.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateLimitReport {
    pub targets: Vec<LimitedTarget>,
    pub classes: Vec<ClassServed>,
}

/// One request and its end.
#[derive(Clone, Debug)]
struct Sent {
    phase: &'static str,
    class: &'static str,
    at: TimeMs,
    status: u16,
    outcome: String,
    retry_after_ms: Option<f64>,
}

impl Sent {
    fn is_served(&self) -> bool {
        self.status == 200
    }

    fn is_not_run(&self) -> bool {
        !self.is_served() && self.outcome == "not_run"
    }
}

impl RateLimitExperiment {
    /// Runs it once on a mesh of real processes, and writes the report to `out`.
    ///
    /// # Errors
    /// When the mesh cannot be started or a file cannot be written.
    pub async fn run(&self, out: &Path) -> Result<RateLimitReport, ExperimentError> {
        fs::create_dir_all(out).map_err(|source| LoadError::write(out, source))?;
        let mesh = Mesh::start(self.mesh_plan(Binaries::beside_current()?)).await?;
        let change = BehaviourChange {
            rate_per_s: Some(self.rate_per_s),
            ..BehaviourChange::default()
        };
        for target in &mesh.targets[..self.limited] {
            let uri = target.backend_uri("/behave");
            mesh.web.post_json(&uri, &change).await?;
            mesh.web.get(&target.caller_uri("/echo/first")).await?;
        }
        tokio::time::sleep(REST).await;
        let clock = Clock::new();
        let mut sent = self.send(&mesh, clock, "ordinary", 1.0).await;
        sent.extend(self.send(&mesh, clock, "surge", self.surge_factor).await);
        let report = RateLimitReport {
            targets: self.targets_of(&mesh),
            classes: classes_of(&sent),
        };
        write_json(&out.join("rate_limit.json"), &report)?;
        Ok(report)
    }

    fn mesh_plan(&self, binaries: Binaries) -> MeshPlan {
        let target = |index: usize| TargetPlan {
            node: Name::from(format!("node-{index}")),
            domain: Name::from(DOMAIN),
            backend: BackendSettings {
                service: SERVICE.to_owned(),
                service_time: ServiceTime::fixed(self.service_ms),
                ..BackendSettings::default()
            },
        };
        MeshPlan {
            binaries,
            region: Name::from(REGION),
            targets: (1..=self.targets).map(target).collect(),
            presets: vec![PRESET_TEXT.to_owned()],
            first_preset: Name::from(PRESET),
            node_change: Box::new(|_| {}),
            relayed: false,
            node_log: log::LevelFilter::Warn,
        }
    }

    /// Sends requests evenly, through all entries in turn, whatever becomes of those before.
    async fn send(&self, mesh: &Mesh, clock: Clock, phase: &'static str, factor: f64) -> Vec<Sent> {
        let per_s = self.load_per_s * factor;
        let count = (per_s * self.phase_ms as f64 / 1_000.0) as usize;
        let sends = (0..count).map(|order| async move {
            tokio::time::sleep(Duration::from_secs_f64(order as f64 / per_s)).await;
            let class = CLASSES[order % CLASSES.len()];
            let entry = &mesh.targets[order % mesh.targets.len()];
            let uri = entry.caller_uri(&format!("/{SERVICE}/{class}/{phase}-{order}"));
            let at = clock.now();
            let got = mesh.web.send(Method::GET, &uri, &[], Bytes::new()).await;
            let header = |name: &str| {
                let answer = got.as_ref().ok()?;
                let value = answer.headers.get(name)?.to_str().ok()?;
                Some(value.to_owned())
            };
            Sent {
                phase,
                class,
                at,
                status: got.as_ref().map_or(0, |answer| answer.status.as_u16()),
                outcome: header(headers::OUTCOME).unwrap_or_default(),
                retry_after_ms: header(headers::RETRY_AFTER_MS).and_then(|ms| ms.parse().ok()),
            }
        });
        join_all(sends).await
    }

    fn targets_of(&self, mesh: &Mesh) -> Vec<LimitedTarget> {
        let limited = mesh.targets[..self.limited].iter();
        let counted = limited.map(|target| {
            let started: Vec<TimeMs> = target.run_events().iter().filter_map(start).collect();
            let loaded_s = 2.0 * self.phase_ms as f64 / 1_000.0;
            let used = started.len() as f64 / loaded_s / self.rate_per_s;
            LimitedTarget {
                node: target.name.to_string(),
                most_in_window: most_in_window(&started),
                allowed_in_window: WINDOW_FACTOR * WINDOW_MS as f64 / 1_000.0 * self.rate_per_s
                    + WINDOW_SLACK,
                used_permille: (used * 1_000.0) as u64,
            }
        });
        counted.collect()
    }
}

fn start(event: &RunEvent) -> Option<TimeMs> {
    match event {
        RunEvent::Start(run) => Some(run.started_ms),
        RunEvent::End(_) => None,
    }
}

fn most_in_window(started: &[TimeMs]) -> usize {
    let within = |first: usize| {
        let last = started[first] + WINDOW_MS;
        started[first..].iter().take_while(|at| **at < last).count()
    };
    (0..started.len()).map(within).max().unwrap_or(0)
}

fn classes_of(sent: &[Sent]) -> Vec<ClassServed> {
    let mut classes = Vec::new();
    for phase in ["ordinary", "surge"] {
        for class in CLASSES {
            let own: Vec<&Sent> = sent
                .iter()
                .filter(|each| each.phase == phase && each.class == class)
                .collect();
            classes.push(class_served(phase, class, &own));
        }
    }
    classes
}

fn class_served(phase: &str, class: &str, own: &[&Sent]) -> ClassServed {
    let count = |is: fn(&Sent) -> bool| own.iter().filter(|each| is(each)).count();
    let (served, not_run) = (count(Sent::is_served), count(Sent::is_not_run));
    let refused = || own.iter().filter(|each| each.is_not_run());
    let room_after = |refused: &&&Sent| {
        let next = own
            .iter()
            .find(|each| each.at > refused.at && each.is_served())?;
        Some(next.at.since(refused.at) as f64)
    };
    ClassServed {
        phase: phase.to_owned(),
        class: class.to_owned(),
        sent: own.len(),
        served,
        not_run,
        other: own.len() - served - not_run,
        retry_after_ms: Spread::of(refused().filter_map(|each| each.retry_after_ms)),
        room_after_ms: Spread::of(refused().filter_map(|each| room_after(&each))),
    }
}

/// A table of what limited backend servers got, and one of who was served.
pub fn render_rate_limit(report: &RateLimitReport) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<10}{:>16}{:>10}{:>10}",
        "node", "most in 4 s", "allowed", "used %"
    );
    for target in &report.targets {
        let _ = writeln!(
            out,
            "{:<10}{:>16}{:>10.0}{:>10.1}",
            target.node,
            target.most_in_window,
            target.allowed_in_window,
            target.used_permille as f64 / 10.0
        );
    }
    let _ = writeln!(
        out,
        "\n{:<10}{:<10}{:>8}{:>8}{:>9}{:>7}{:>24}{:>24}",
        "phase", "class", "sent", "served", "not run", "other", "retry after ms", "room after ms"
    );
    for class in &report.classes {
        let _ = writeln!(
            out,
            "{:<10}{:<10}{:>8}{:>8}{:>9}{:>7}{:>24}{:>24}",
            class.phase,
            class.class,
            class.sent,
            class.served,
            class.not_run,
            class.other,
            show(class.retry_after_ms, 0),
            show(class.room_after_ms, 0)
        );
    }
    out
}
