//! Which nodes of a failure domain poll the platform.

use crate::core::TargetState;
use crate::core::View;

/// The number of pollers in each failure domain. With a second one, a change does not wait until
/// the failure of the first is detected.
const POLLERS_PER_DOMAIN: usize = 2;

/// Whether this node is a poller. The pollers are the live nodes with the lowest names in each
/// failure domain. Each node decides this from its own view, without messages. While views differ,
/// too many or too few nodes poll, which costs a few reads or a delay of a few gossip periods.
pub fn is_poller(view: &View, node: &str, domain: &str) -> bool {
    let alive = |state: TargetState| {
        matches!(
            state,
            TargetState::Starting | TargetState::Up | TargetState::Draining
        )
    };
    let lower_names = view
        .nodes
        .values()
        .filter(|other| &*other.domain == domain && alive(other.state))
        .filter(|other| &*other.node < node)
        .count();
    lower_names < POLLERS_PER_DOMAIN
}
