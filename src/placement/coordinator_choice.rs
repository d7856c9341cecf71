//! Which node coordinates the load of a service in a failure domain.

use std::collections::BTreeMap;

use crate::core::FastMap;
use crate::core::FastSet;
use crate::core::Name;
use crate::core::View;
use crate::core::stable_hash;
use crate::membership::domain_hash;

/// The most choices that are kept: 256 services in each of 16 failure domains. Beyond it all are
/// dropped and made again when needed.
const MAX_CHOICES: usize = 4_096;

/// The nodes that accept work by failure domain, and the coordinators chosen among them, as of one
/// view.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorChoice {
    view_change: Option<u64>,
    /// Ordered, so that the sequence of messages is the same in each run.
    nodes: BTreeMap<Name, Vec<Name>>,
    by_hash: FastMap<u16, Name>,
    /// By service and failure domain.
    chosen: FastMap<(Name, Name), Name>,
    /// The failure domains with an accepting target, by service.
    target_domains: FastMap<Name, FastSet<Name>>,
}

impl CoordinatorChoice {
    /// Updates from the view, if it has changed.
    pub fn update(&mut self, view: &View) {
        if self.view_change == Some(view.changes) {
            return;
        }
        self.view_change = Some(view.changes);
        self.chosen.clear();
        self.nodes.clear();
        self.target_domains.clear();
        for node in view.nodes.values() {
            if node.state.accepts_calls() {
                let nodes = self.nodes.entry(node.domain.clone()).or_default();
                nodes.push(node.node.clone());
            }
        }
        let hashes = self.nodes.keys();
        self.by_hash = hashes
            .map(|domain| (domain_hash(domain), domain.clone()))
            .collect();
        for (service, targets) in &view.services {
            let accepting = targets.iter().filter(|target| target.state.accepts_calls());
            let domains = accepting.map(|target| target.domain.clone()).collect();
            self.target_domains.insert(service.clone(), domains);
        }
    }

    /// Whether the targets of a service are in several failure domains. If they are in one, all
    /// calls go there, so there is nothing to decide and nothing to exchange.
    pub fn is_exchanged(&self, service: &str) -> bool {
        let domains = self.target_domains.get(service);
        domains.is_some_and(|domains| domains.len() > 1)
    }

    /// The failure domains with an accepting target of the service.
    pub fn target_domains(&self, service: &str) -> impl Iterator<Item = &Name> {
        self.target_domains.get(service).into_iter().flatten()
    }

    /// The failure domains with a node that accepts work.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.nodes.keys()
    }

    /// The failure domain with this hash.
    pub fn domain_of_hash(&self, hash: u16) -> Option<&Name> {
        self.by_hash.get(&hash)
    }

    /// The coordinator of a service in a failure domain: the node with the highest hash together
    /// with the service. All nodes with the same view agree on it without messages, services are
    /// spread evenly, and a node that goes changes only the choices that it held. `None` if no node
    /// of the domain accepts work.
    pub fn coordinator(&mut self, service: &Name, domain: &Name) -> Option<Name> {
        let key = (service.clone(), domain.clone());
        if let Some(chosen) = self.chosen.get(&key) {
            return Some(chosen.clone());
        }
        let nodes = self.nodes.get(domain)?.iter();
        let chosen = nodes.max_by_key(|node| (weight(service, node), *node))?;
        let chosen = chosen.clone();
        if self.chosen.len() >= MAX_CHOICES {
            self.chosen.clear();
        }
        self.chosen.insert(key, chosen.clone());
        Some(chosen)
    }
}

/// The weight of a node for a service.
///
/// The hash is mixed once more, because in FNV-1a the last bytes hardly change the high bits. Nodes
/// whose names differ in the last digits would otherwise have similar weights for all services.
pub(super) fn weight(service: &str, node: &str) -> u64 {
    let separator = std::iter::once(0);
    let hash = stable_hash(service.bytes().chain(separator).chain(node.bytes()));
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
