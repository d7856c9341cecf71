//! In which failure domains a version is in force.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// The version that one node reports, or that it did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeVersion {
    pub node: Name,
    pub domain: Name,
    /// `None` when the node did not answer.
    pub version: Option<u64>,
}

/// How far a version has been rolled out in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainConfirmation {
    pub domain: Name,
    pub nodes: usize,
    /// Nodes that have the version, or a higher one, in force.
    pub in_force: usize,
    pub behind: Vec<Name>,
    /// Nodes that did not answer. Whether they have the version in force is unknown.
    pub silent: Vec<Name>,
}

impl DomainConfirmation {
    /// Whether every node of the domain has reported the version in force.
    pub fn is_confirmed(&self) -> bool {
        self.behind.is_empty() && self.silent.is_empty()
    }
}

/// Groups the reports by failure domain. A node that did not answer never counts as confirmed.
pub fn confirmations(version: u64, nodes: &[NodeVersion]) -> Vec<DomainConfirmation> {
    let mut domains: BTreeMap<Name, DomainConfirmation> = BTreeMap::new();
    for node in nodes {
        let domain = domains
            .entry(node.domain.clone())
            .or_insert_with(|| DomainConfirmation {
                domain: node.domain.clone(),
                nodes: 0,
                in_force: 0,
                behind: Vec::new(),
                silent: Vec::new(),
            });
        domain.nodes += 1;
        match node.version {
            Some(reported) if reported >= version => domain.in_force += 1,
            Some(_) => domain.behind.push(node.node.clone()),
            None => domain.silent.push(node.node.clone()),
        }
    }
    domains.into_values().collect()
}
