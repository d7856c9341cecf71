//! Which nodes follow the operator's row closely.

use std::net::SocketAddr;
use std::sync::Arc;

use rstest::rstest;
use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::TargetState;
use sassafrasgap::core::View;
use sassafrasgap::desired::WatchPace;

fn node(name: &str, domain: &str, state: TargetState) -> Arc<Target> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Arc::new(Target {
        node: Name::from(name),
        service: Name::from("s"),
        region: Name::from("r"),
        domain: Name::from(domain),
        peer_address: address,
        control_address: address,
        incarnation: 1,
        state,
        slots: 1,
    })
}

fn view(nodes: &[(&str, &str, TargetState)]) -> View {
    let nodes = nodes.iter().map(|(name, domain, state)| {
        let target = node(name, domain, *state);
        (target.node.clone(), target)
    });
    View {
        nodes: nodes.collect(),
        ..View::default()
    }
}

fn watchers(view: &View) -> Vec<Name> {
    let nodes = view.nodes.values();
    let watching =
        nodes.filter(|node| WatchPace::of(view, &node.node, &node.domain) == WatchPace::WATCHER);
    let mut names: Vec<Name> = watching.map(|node| node.node.clone()).collect();
    names.sort();
    names
}

/// However many nodes there are, one of each failure domain watches, so that the calls to the store
/// grow with the domains.
#[rstest]
fn one_of_each_domain_watches() {
    let up = TargetState::Up;
    let view = view(&[
        ("a1", "a", up),
        ("a2", "a", up),
        ("a3", "a", TargetState::Starting),
        ("b1", "b", TargetState::Draining),
        ("b2", "b", up),
    ]);
    assert_eq!(watchers(&view), [Name::from("a1"), Name::from("b1")]);
}

/// The watcher of a domain does not answer any more, or has left. The next one takes over at once,
/// though it may only be suspected: two watchers do no harm, none would.
#[rstest]
#[case(TargetState::Suspect)]
#[case(TargetState::Dead)]
#[case(TargetState::Left)]
fn the_next_one_takes_over(#[case] state: TargetState) {
    let view = view(&[("a1", "a", state), ("a2", "a", TargetState::Up)]);
    assert_eq!(WatchPace::of(&view, "a2", "a"), WatchPace::WATCHER);
}

/// A node that hears of nobody watches by itself.
#[rstest]
fn a_lone_node_watches() {
    let nobody = View::default();
    assert_eq!(WatchPace::of(&nobody, "a2", "a"), WatchPace::WATCHER);
}
