//! Real nodes of the size that is measured, and what they say of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::sleep;

use crate::backend::BackendSettings;
use crate::backend::ServiceTime;
use crate::capacity::ProcessUsage;
use crate::capacity::Samples;
use crate::capacity::layout;
use crate::core::Clock;
use crate::core::FastMap;
use crate::core::Name;
use crate::errors::CapacityError;
use crate::mesh::Binaries;
use crate::mesh::Mesh;
use crate::mesh::MeshPlan;
use crate::mesh::MeshTarget;
use crate::mesh::TargetPlan;
use crate::mesh::Web;
use crate::table_service::Stats;

/// How often nodes are asked while something is timed.
const POLL: Duration = Duration::from_millis(50);
const SLOTS: u32 = 100;
const CONNECTIONS: u32 = 700;
const SERVICE_TIME_MS: f64 = 2.0;
const ANSWER_BYTES: usize = 200;

/// The presets between which the experiment switches; the last places of the names differ.
pub const PRESETS: [&str; 2] = ["ordinary", "peak"];

/// A running mesh of the size that is measured.
pub struct Fleet {
    pub mesh: Mesh,
    pub clock: Clock,
    web: Web,
}

impl Fleet {
    /// Starts everything at once, as after a power cut, and waits until every node knows all.
    ///
    /// # Errors
    /// When it cannot be started or is not ready in time.
    pub async fn start(binaries: Binaries, nodes: usize) -> Result<Self, CapacityError> {
        Ok(Self {
            mesh: Mesh::start(plan(binaries, nodes)).await?,
            clock: Clock::new(),
            web: Web::new(),
        })
    }

    /// The targets that run.
    pub fn running(&self) -> impl Iterator<Item = &MeshTarget> {
        let targets = self.mesh.targets.iter();
        targets.filter(|target| target.is_running())
    }

    /// The operators' listeners of the nodes that run.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.running()
            .map(|target| target.addresses.operator)
            .collect()
    }

    /// The metrics of the nodes that run.
    ///
    /// # Errors
    /// When one of them does not answer.
    pub async fn scrape(&self) -> Result<Vec<Samples>, CapacityError> {
        let operators = self.operators();
        let scrapes = operators.iter().map(|address| self.scrape_one(*address));
        join_all(scrapes).await.into_iter().collect()
    }

    /// What each node that runs used so far.
    ///
    /// # Errors
    /// When one of them is gone.
    pub fn usages(&self) -> Result<Vec<ProcessUsage>, CapacityError> {
        let pids = self.running().filter_map(|target| target.node.pid());
        pids.map(ProcessUsage::of).collect()
    }

    /// What the platform counted so far.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn platform_stats(&self) -> Result<Stats, CapacityError> {
        let uri = format!("http://{}/stats", self.mesh.platform_address);
        Ok(self.web.get_json(&uri).await?)
    }

    /// Waits until the metrics of each of `nodes` satisfy a condition; the time that each took,
    /// in milliseconds.
    ///
    /// # Errors
    /// When one of them does not within `limit_ms`.
    pub async fn time_until(
        &self,
        what: &'static str,
        nodes: &[SocketAddr],
        limit_ms: u64,
        condition: impl Fn(&Samples) -> bool,
    ) -> Result<Vec<f64>, CapacityError> {
        let clock = Clock::new();
        let mut waiting = nodes.to_vec();
        let mut times_ms = Vec::new();
        while !waiting.is_empty() {
            let scrapes = waiting.iter().map(|address| self.scrape_one(*address));
            let scrapes = join_all(scrapes).await;
            let elapsed_ms = clock.now().0;
            let is_there: Vec<bool> = scrapes
                .into_iter()
                .map(|scrape| scrape.is_ok_and(|samples| condition(&samples)))
                .collect();
            let there = is_there.iter().filter(|there| **there).count();
            times_ms.extend(std::iter::repeat_n(elapsed_ms as f64, there));
            let mut is_there = is_there.into_iter();
            waiting.retain(|_| !is_there.next().unwrap_or(false));
            if elapsed_ms > limit_ms {
                let nodes = waiting.len();
                return Err(CapacityError::NotReached {
                    what,
                    nodes,
                    limit_ms,
                });
            }
            sleep(POLL).await;
        }
        Ok(times_ms)
    }

    /// Begins a planned stop of a node.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn drain(&self, operator: SocketAddr) -> Result<(), CapacityError> {
        let uri = format!("http://{operator}/drain");
        self.web.post_json(&uri, &()).await?;
        Ok(())
    }

    async fn scrape_one(&self, operator: SocketAddr) -> Result<Samples, CapacityError> {
        let answer = self.web.get(&format!("http://{operator}/metrics")).await?;
        Ok(Samples::parse(&String::from_utf8_lossy(&answer.body)))
    }
}

fn plan(binaries: Binaries, nodes: usize) -> MeshPlan {
    let targets = layout::targets(nodes);
    let regions: FastMap<Name, Name> = targets
        .iter()
        .map(|target| (target.node.clone(), target.region.clone()))
        .collect();
    let plans = targets.iter().map(|target| TargetPlan {
        node: target.node.clone(),
        domain: target.domain.clone(),
        backend: backend(&target.service),
    });
    MeshPlan {
        binaries,
        region: Name::from(""),
        targets: plans.collect(),
        presets: PRESETS.map(preset).to_vec(),
        first_preset: Name::from(PRESETS[0]),
        node_change: Box::new(move |settings| {
            if let Some(region) = regions.get(&settings.node) {
                settings.region = region.clone();
            }
        }),
        relayed: false,
        node_log: log::LevelFilter::Warn,
    }
}

fn backend(service: &str) -> BackendSettings {
    BackendSettings {
        service: service.to_owned(),
        slots: SLOTS,
        connections: CONNECTIONS,
        service_time: ServiceTime::fixed(SERVICE_TIME_MS),
        padding_bytes: ANSWER_BYTES,
        ..BackendSettings::default()
    }
}

/// A preset of the size of those in the examples.
pub fn preset(name: &str) -> String {
    format!(
        "preset: {name}
order: [jobs, billing, archives, notebooks, lookups]
classes:
  jobs: {{wait_ms: 2000, deadline_ms: 30000}}
  billing: {{wait_ms: 2000, deadline_ms: 30000}}
  archives: {{wait_ms: 2000, deadline_ms: 600000}}
  notebooks: {{wait_ms: 500, deadline_ms: 10000}}
  lookups: {{wait_ms: 300, deadline_ms: 5000}}
default_class: lookups
rules:
  - {{service: \"*\", method: POST, path_prefix: /jobs, class: jobs, non_idempotent: true}}
  - {{service: \"*\", method: POST, path_prefix: /charges, class: billing, non_idempotent: true}}
  - {{service: \"*\", method: GET, path_prefix: /results, class: archives}}
  - {{service: \"*\", method: \"*\", path_prefix: /notebooks, class: notebooks, \
non_idempotent: false}}
  - {{service: \"*\", method: GET, path_prefix: /histories, class: lookups}}
retry_allotment: 4
resend_window_ms: 120000
"
    )
}
