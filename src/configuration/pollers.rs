//! Which nodes of a failure domain poll the platform.

use crate::core::TargetState;
use crate::core::View;

/// Pollers of one failure domain: a second one, so that the news does not wait until the death of
/// the first is noticed.
const POLLERS_PER_DOMAIN: usize = 2;

/// Whether this node polls: it is among the lowest names of its failure domain. Every node of a
/// domain works this out from its own view, without a message; while views differ, a few more or
/// fewer poll, which costs a few reads or a few gossip periods.
pub fn is_poller(view: &View, node: &str, domain: &str) -> bool {
    let alive = |state: TargetState| {
        matches!(
            state,
            TargetState::Starting | TargetState::Up | TargetState::Draining
        )
    };
    let before = view
        .nodes
        .values()
        .filter(|other| &*other.domain == domain && alive(other.state))
        .filter(|other| &*other.node < node)
        .count();
    before < POLLERS_PER_DOMAIN
}
