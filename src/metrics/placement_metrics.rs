//! Metrics of the placement of calls across failure domains.

use std::sync::PoisonError;
use std::sync::RwLock;

use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::core::FastSet;
use crate::core::Name;
use crate::placement::DomainLoad;
use crate::routing::PlacementReason;

/// The most failure domains with a label of their own. All further ones share one label.
const MAX_DOMAINS: usize = 32;
/// The label of all further domains.
const OTHERS: &str = "(others)";

/// Calls by the domain that they went to, and the load of each domain and service.
pub struct PlacementMetrics {
    calls: IntCounterVec,
    loads: IntGaugeVec,
    /// The domains with a label of their own.
    domains: RwLock<FastSet<Name>>,
}

impl PlacementMetrics {
    /// Registers the metrics.
    ///
    /// # Panics
    /// When a name is malformed or already registered, which is a bug in the program.
    pub fn register(registry: &Registry) -> Self {
        let calls = Opts::new(
            "sassafrasgap_placed_calls_total",
            "First attempts by the failure domain that they were sent to and the reason.",
        );
        let calls = IntCounterVec::new(calls, &["domain", "reason"])
            .expect("the name of a counter is valid");
        registry
            .register(Box::new(calls.clone()))
            .expect("the name of a counter is free");
        let loads = Opts::new(
            "sassafrasgap_domain_load_permille",
            "Demand for a service in a failure domain in thousandths of its capacity there.",
        );
        let loads =
            IntGaugeVec::new(loads, &["domain", "service"]).expect("the name of a gauge is valid");
        registry
            .register(Box::new(loads.clone()))
            .expect("the name of a gauge is free");
        Self {
            calls,
            loads,
            domains: RwLock::default(),
        }
    }

    /// Counts a first attempt by the failure domain that it is sent to.
    pub fn count_call(&self, domain: &Name, reason: PlacementReason) {
        let label = self.label(domain);
        let labels = [label, reason.as_str()];
        self.calls.with_label_values(&labels).inc();
    }

    /// The number of first attempts sent to a failure domain for a reason.
    pub fn calls(&self, domain: &str, reason: PlacementReason) -> u64 {
        let labels = [domain, reason.as_str()];
        self.calls.with_label_values(&labels).get()
    }

    /// Sets the load of each service by failure domain. A domain without a target of a service has
    /// no series for it.
    pub fn set_loads<'a>(&self, services: impl Iterator<Item = (&'a str, &'a [DomainLoad])>) {
        self.loads.reset();
        for (service, loads) in services {
            for load in loads {
                if load.capacity_per_s > 0.0 && &*load.domain == self.label(&load.domain) {
                    let permille = load.demand_per_s / load.capacity_per_s * 1_000.0;
                    let labels = [&*load.domain, service];
                    self.loads.with_label_values(&labels).set(permille as i64);
                }
            }
        }
    }

    fn label<'a>(&self, domain: &'a Name) -> &'a str {
        let domains = self.domains.read().unwrap_or_else(PoisonError::into_inner);
        if domains.contains(domain) {
            return domain;
        }
        drop(domains);
        let mut domains = self.domains.write().unwrap_or_else(PoisonError::into_inner);
        if domains.contains(domain) {
            return domain;
        }
        if domains.len() >= MAX_DOMAINS {
            return OTHERS;
        }
        domains.insert(domain.clone());
        domain
    }
}
