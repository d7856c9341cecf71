//! The status of all nodes, collected by one node for an operator.

use futures::StreamExt;
use futures::stream;
use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::Target;
use crate::core::TargetState;
use crate::node::Node;
use crate::node::Status;

/// The maximum number of nodes queried concurrently. Operators query rarely, and answers are small.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// A node as known from gossip, with its own status.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetNode {
    pub target: Target,
    /// `None` if the node did not answer.
    pub status: Option<Status>,
}

/// The answer to `GET /fleet`, in JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetStatus {
    /// The node that queried the others.
    pub seen_from: Name,
    pub cut_off_domains: Vec<Name>,
    /// Sorted by failure domain and name.
    pub nodes: Vec<FleetNode>,
}

impl FleetStatus {
    /// Queries all nodes that may be alive.
    pub(super) async fn collect(node: &Node) -> Self {
        let view = node.inputs.view.load_full();
        let targets: Vec<Target> = view.nodes.values().map(|t| t.as_ref().clone()).collect();
        let query = |target: Target| async move {
            let status = status_of(node, &target).await;
            FleetNode { target, status }
        };
        let mut nodes: Vec<FleetNode> = stream::iter(targets)
            .map(query)
            .buffer_unordered(MAX_CONCURRENT_QUERIES)
            .collect()
            .await;
        nodes.sort_by(|a, b| {
            let key = |node: &FleetNode| (node.target.domain.clone(), node.target.node.clone());
            key(a).cmp(&key(b))
        });
        Self {
            seen_from: node.settings.node.clone(),
            cut_off_domains: view.cut_off_domains.clone(),
            nodes,
        }
    }
}

async fn status_of(node: &Node, target: &Target) -> Option<Status> {
    if target.node == node.settings.node {
        return Some(Status::without_members(node));
    }
    if matches!(target.state, TargetState::Dead | TargetState::Left) {
        return None;
    }
    let answer = (node.inputs.operations.status)(target.control_address).await;
    match answer {
        Ok(text) => serde_json::from_str(&text).ok(),
        Err(error) => {
            log::debug!(
                "node: cannot query the status, node={} error={error}",
                target.node
            );
            None
        }
    }
}
