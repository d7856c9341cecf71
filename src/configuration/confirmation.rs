//! Where a version is in force.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// What one node says, or that it did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeVersion {
    pub node: Name,
    pub domain: Name,
    /// `None` when the node did not answer.
    pub version: Option<u64>,
}

/// How far a version has come in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainConfirmation {
    pub domain: Name,
    pub nodes: usize,
    /// Nodes that have the version, or a higher one, in force.
    pub in_force: usize,
    pub behind: Vec<Name>,
    /// They may have it in force; nobody can tell from here.
    pub silent: Vec<Name>,
}

impl DomainConfirmation {
    /// Whether every node of the domain said that it has the version in force.
    pub fn is_confirmed(&self) -> bool {
        self.behind.is_empty() && self.silent.is_empty()
    }
}

/// Sorts what the nodes say by failure domain. Silence is never taken for consent.
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
            Some(held) if held >= version => domain.in_force += 1,
            Some(_) => domain.behind.push(node.node.clone()),
            None => domain.silent.push(node.node.clone()),
        }
    }
    domains.into_values().collect()
}
