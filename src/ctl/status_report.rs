//! The status of all nodes, put together for people and scripts.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::configuration::DomainConfirmation;
use crate::configuration::InForceRow;
use crate::configuration::NodeVersion;
use crate::configuration::confirmations;
use crate::core::Name;
use crate::core::TargetState;
use crate::node::FleetNode;
use crate::node::FleetStatus;
use crate::node::Status;

/// One node in one line.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct NodeLine {
    pub node: Name,
    pub domain: Name,
    pub service: Name,
    /// As gossip has it.
    pub state: TargetState,
    /// Whether the node itself answered; the figures below are empty if not.
    pub answered: bool,
    pub version: Option<u64>,
    pub preset: Option<Name>,
    pub in_flight: u32,
    pub limit: u32,
    pub queued: u32,
    pub refused: u64,
}

/// Everything that `status` shows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct StatusReport {
    pub seen_from: Name,
    pub cut_off_domains: Vec<Name>,
    /// What the platform says is in force, if it was asked and answered.
    pub platform: Option<InForceRow>,
    pub platform_error: Option<String>,
    /// The highest version known to the platform or to any node.
    pub version: u64,
    pub domains: Vec<DomainConfirmation>,
    pub unconfirmed_domains: Vec<Name>,
    pub nodes: Vec<NodeLine>,
    /// Refusals to callers since the nodes started, by reason, summed over all that answered.
    pub refusals: BTreeMap<Name, u64>,
    pub retries: BTreeMap<Name, u64>,
}

impl StatusReport {
    /// Puts together what was heard. Nodes that left or died need not confirm a version.
    pub fn new(
        fleet: &FleetStatus,
        platform: Option<InForceRow>,
        platform_error: Option<String>,
    ) -> Self {
        let statuses: Vec<&Status> = fleet
            .nodes
            .iter()
            .filter_map(|node| node.status.as_ref())
            .collect();
        let held = statuses.iter().map(|status| status.config_version);
        let accepted = platform.as_ref().map_or(0, |row| row.version);
        let version = held.max().unwrap_or(0).max(accepted);
        let domains = confirmations(version, &versions(fleet));
        let unconfirmed = domains.iter().filter(|domain| !domain.is_confirmed());
        Self {
            seen_from: fleet.seen_from.clone(),
            cut_off_domains: fleet.cut_off_domains.clone(),
            platform,
            platform_error,
            version,
            unconfirmed_domains: unconfirmed.map(|domain| domain.domain.clone()).collect(),
            domains,
            nodes: fleet.nodes.iter().map(line).collect(),
            refusals: sum(statuses.iter().map(|status| &status.entry_refusals)),
            retries: sum(statuses.iter().map(|status| &status.retries)),
        }
    }
}

fn is_expected(node: &FleetNode) -> bool {
    !matches!(node.target.state, TargetState::Dead | TargetState::Left)
}

fn versions(fleet: &FleetStatus) -> Vec<NodeVersion> {
    let expected = fleet.nodes.iter().filter(|node| is_expected(node));
    expected
        .map(|node| NodeVersion {
            node: node.target.node.clone(),
            domain: node.target.domain.clone(),
            version: node.status.as_ref().map(|status| status.config_version),
        })
        .collect()
}

fn line(node: &FleetNode) -> NodeLine {
    let status = node.status.as_ref();
    NodeLine {
        node: node.target.node.clone(),
        domain: node.target.domain.clone(),
        service: node.target.service.clone(),
        state: node.target.state,
        answered: status.is_some(),
        version: status.map(|status| status.config_version),
        preset: status.and_then(|status| status.preset.clone()),
        in_flight: status.map_or(0, |status| status.in_flight),
        limit: status.map_or(0, |status| status.limit),
        queued: status.map_or(0, |status| status.queued),
        refused: status.map_or(0, |status| status.entry_refusals.values().sum()),
    }
}

fn sum<'a>(counts: impl Iterator<Item = &'a BTreeMap<Name, u64>>) -> BTreeMap<Name, u64> {
    let mut total = BTreeMap::new();
    for (reason, count) in counts.flatten() {
        *total.entry(reason.clone()).or_insert(0) += count;
    }
    total
}
