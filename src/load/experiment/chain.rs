//! A chain of services, each of which calls the next, the last being the slowest.

use crate::backend::BackendSettings;
use crate::backend::ChildCall;
use crate::backend::RouteSettings;
use crate::backend::ServiceTime;
use crate::core::Name;
use crate::load::AnswerCheck;
use crate::load::CallKind;
use crate::load::experiment::Variant;
use crate::mesh::Binaries;
use crate::mesh::MeshPlan;
use crate::mesh::TargetPlan;

/// The order of importance and the waits; jobs and billing are non-idempotent.
pub const PRESET: &str = include_str!("chain_preset.yaml");
pub const PRESET_NAME: &str = "chain";
const REGION: &str = "bench";
const DOMAINS: [&str; 3] = ["bench-a", "bench-b", "bench-c"];
/// What the services before the last do themselves for a call.
const UPPER_SERVICE_MS: f64 = 1.0;
/// Enough for what waits for the last service: only the last service is short of slots.
const UPPER_SLOTS: u32 = 200;
const CONNECTIONS: u32 = 900;

/// The shape of a chain.
#[derive(Clone, Debug, PartialEq)]
pub struct Chain {
    /// Services, the first being the one that callers call.
    pub depth: usize,
    pub targets_per_service: usize,
    pub last_slots: u32,
    pub last_service_ms: f64,
}

/// The name of the service at a depth, 1 being the one that callers call.
pub fn service_at(depth: usize) -> String {
    format!("s{depth}")
}

impl Chain {
    /// Calls per second that the last service can run, when it takes `slow_factor` times as long.
    pub fn capacity_per_s(&self, slow_factor: f64) -> f64 {
        let slots = f64::from(self.last_slots) * self.targets_per_service as f64;
        slots * 1_000.0 / (self.last_service_ms * slow_factor)
    }

    /// The name of the last service.
    pub fn last_service(&self) -> String {
        service_at(self.depth)
    }

    /// The mesh of the chain.
    pub fn mesh_plan(&self, binaries: Binaries, variant: &Variant) -> MeshPlan {
        let variant = variant.clone();
        let mut targets = Vec::new();
        for depth in 1..=self.depth {
            for index in 0..self.targets_per_service {
                targets.push(self.target_plan(depth, index));
            }
        }
        MeshPlan {
            binaries,
            region: REGION.into(),
            targets,
            presets: vec![PRESET.to_owned()],
            first_preset: PRESET_NAME.into(),
            node_change: Box::new(move |settings| variant.apply(settings)),
            relayed: false,
            node_log: log::LevelFilter::Warn,
        }
    }

    fn target_plan(&self, depth: usize, index: usize) -> TargetPlan {
        let service = service_at(depth);
        let is_last = depth == self.depth;
        let backend = BackendSettings {
            service: service.clone(),
            slots: if is_last {
                self.last_slots
            } else {
                UPPER_SLOTS
            },
            connections: CONNECTIONS,
            service_time: if is_last {
                ServiceTime::exponential(self.last_service_ms)
            } else {
                ServiceTime::fixed(UPPER_SERVICE_MS)
            },
            seed: (depth * 100 + index) as u64,
            routes: if is_last {
                Vec::new()
            } else {
                KINDS.iter().map(|kind| route_to(depth + 1, kind)).collect()
            },
            ..BackendSettings::default()
        };
        TargetPlan {
            node: format!("{service}-{}", index + 1).into(),
            domain: DOMAINS[index % DOMAINS.len()].into(),
            backend,
        }
    }
}

/// One kind of call along the whole chain.
struct Kind {
    class: &'static str,
    method: &'static str,
    path: &'static str,
    weight: f64,
    non_idempotent: bool,
}

/// A mix in which the two important classes alone fit the last service at four times its load.
const KINDS: [Kind; 4] = [
    Kind {
        class: "jobs",
        method: "POST",
        path: "/jobs",
        weight: 10.0,
        non_idempotent: true,
    },
    Kind {
        class: "billing",
        method: "POST",
        path: "/charges",
        weight: 5.0,
        non_idempotent: true,
    },
    Kind {
        class: "notebooks",
        method: "GET",
        path: "/notebooks",
        weight: 35.0,
        non_idempotent: false,
    },
    Kind {
        class: "lookups",
        method: "GET",
        path: "/quotas",
        weight: 50.0,
        non_idempotent: false,
    },
];

fn route_to(depth: usize, kind: &Kind) -> RouteSettings {
    RouteSettings {
        path_prefix: kind.path.into(),
        method: Some(kind.method.into()),
        service_time: None,
        children: vec![ChildCall {
            service: service_at(depth),
            method: kind.method.into(),
            path: kind.path.into(),
            with_key: kind.non_idempotent,
            share_percent: 100,
        }],
        parallel: false,
        archive: None,
    }
}

/// The mix of calls that callers send to the first service.
pub fn call_kinds(deadline_ms: u64) -> Vec<CallKind> {
    let call = |kind: &Kind| CallKind {
        name: Name::from(kind.path.trim_start_matches('/')),
        class: kind.class.into(),
        method: kind.method.into(),
        path: format!("/{}{}", service_at(1), kind.path).into(),
        weight: kind.weight,
        non_idempotent: kind.non_idempotent,
        body_bytes: if kind.non_idempotent { 200 } else { 0 },
        deadline_ms,
        answer: AnswerCheck::Echo,
    };
    KINDS.iter().map(call).collect()
}
