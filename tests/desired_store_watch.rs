//! Which nodes watch the operator's row in the store.

mod fake_targets;

use std::sync::Arc;

use fake_targets::target;
use rstest::rstest;
use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::TargetState;
use sassafrasgap::core::View;
use sassafrasgap::desired::StateFreshness;
use sassafrasgap::desired::is_watcher;
use sassafrasgap::desired::should_fetch_across_domains;
use sassafrasgap::desired::should_query_store;

fn view(nodes: &[(&str, &str, TargetState)]) -> View {
    let nodes = nodes.iter().map(|(name, domain, state)| {
        let target = Arc::new(Target {
            state: *state,
            ..target(name, domain)
        });
        (target.node.clone(), target)
    });
    View {
        nodes: nodes.collect(),
        ..View::default()
    }
}

fn watchers(view: &View) -> Vec<Name> {
    let nodes = view.nodes.values();
    let watching = nodes.filter(|node| is_watcher(view, &node.node, &node.domain));
    let mut names: Vec<Name> = watching.map(|node| node.node.clone()).collect();
    names.sort();
    names
}

/// The freshness of a node's state in normal operation.
const HEALTHY: StateFreshness = StateFreshness {
    has_state: true,
    since_discovery_ms: None,
    last_contact_ms_ago: 300,
    confirmed_ms_ago: 2_500,
    keys_hold_ms: None,
};

/// A fleet of `size` nodes in one failure domain.
fn fleet(size: usize) -> View {
    let names: Vec<String> = (0..size).map(|index| format!("a{index:04}")).collect();
    let nodes = names.iter().map(|name| (&**name, "a", TargetState::Up));
    view(&nodes.collect::<Vec<_>>())
}

/// With any number of nodes, two of each failure domain watch, so that the calls to the store grow
/// with the number of domains.
#[rstest]
fn two_of_each_domain_watch() {
    let up = TargetState::Up;
    let view = view(&[
        ("a1", "a", up),
        ("a2", "a", TargetState::Starting),
        ("a3", "a", up),
        ("a4", "a", up),
        ("b1", "b", TargetState::Draining),
        ("b2", "b", up),
        ("c1", "c", up),
    ]);
    let expected = ["a1", "a2", "b1", "b2", "c1"].map(Name::from);
    assert_eq!(watchers(&view), expected);
}

/// A watcher no longer answers or has left. The next node takes over at once, even if the watcher
/// is only suspected: one watcher too many does no harm, and one too few would.
#[rstest]
#[case(TargetState::Suspect)]
#[case(TargetState::Dead)]
#[case(TargetState::Left)]
fn the_next_node_replaces_a_lost_watcher(#[case] state: TargetState) {
    let up = TargetState::Up;
    let view = view(&[("a1", "a", state), ("a2", "a", up), ("a3", "a", up)]);
    assert!(is_watcher(&view, "a3", "a"));
}

/// When each of hundreds of nodes kept a long poll open at the store, these were most of its calls,
/// and each call is charged. All nodes but the watchers rely on gossip while it carries the store's
/// confirmation.
#[rstest]
fn a_node_with_contact_does_not_query_the_store() {
    let fleet = fleet(195);
    assert!(!should_query_store(&fleet, "a0100", "a", HEALTHY, 0.0));
    assert!(should_query_store(&fleet, "a0001", "a", HEALTHY, 0.99));
}

/// A node is cut off from all others but not from the store. A change would be active everywhere
/// but there, because no other node can report it.
#[rstest]
fn a_node_without_contact_queries_the_store() {
    let isolated = StateFreshness {
        last_contact_ms_ago: 1_500,
        ..HEALTHY
    };
    assert!(should_query_store(
        &fleet(195),
        "a0100",
        "a",
        isolated,
        0.99
    ));
    assert!(should_query_store(
        &View::default(),
        "a0100",
        "a",
        isolated,
        0.99
    ));
}

/// The store refuses all watchers, while gossip reaches all nodes. As the store's confirmation gets
/// old, a few other nodes query the store, and not all at once.
#[rstest]
#[case(13)]
#[case(195)]
#[case(720)]
fn a_few_nodes_query_an_unconfirmed_store(#[case] size: usize) {
    let unconfirmed = StateFreshness {
        confirmed_ms_ago: 6_100,
        ..HEALTHY
    };
    let fleet = fleet(size);
    let queries = |random| should_query_store(&fleet, "a0009", "a", unconfirmed, random);
    let querying = (0..1_000).filter(|draw| queries(f64::from(*draw) / 1_000.0));
    let in_fleet = querying.count() * size / 1_000;
    assert!((3..=5).contains(&in_fleet), "{in_fleet}");
}

/// The whole system starts for the first time. Each node would consider itself a watcher, and all
/// would query the store at once. A moment later the nodes have discovered each other, and most get
/// the state by gossip.
#[rstest]
#[case(-4_000, false, false)]
#[case(-1, false, false)]
#[case(0, true, false)]
#[case(2_500, true, true)]
fn few_nodes_query_at_a_first_start(
    #[case] since_discovery_ms: i64,
    #[case] watcher_queries: bool,
    #[case] other_queries: bool,
) {
    let known = StateFreshness {
        has_state: false,
        since_discovery_ms: Some(since_discovery_ms),
        ..HEALTHY
    };
    let fleet = fleet(195);
    assert_eq!(
        should_query_store(&fleet, "a0000", "a", known, 0.0),
        watcher_queries
    );
    assert_eq!(
        should_query_store(&fleet, "a0100", "a", known, 0.0),
        other_queries
    );
}

/// A restarted node has no desired state and is not ready without one, so it queries the store at
/// once.
#[rstest]
fn a_restarted_node_queries_at_once() {
    let known = StateFreshness {
        has_state: false,
        ..HEALTHY
    };
    assert!(should_query_store(&fleet(195), "a0100", "a", known, 0.99));
}

/// When each node fetched a changed document from any peer, most fetches crossed between failure
/// domains. With any number of nodes, only a few of each domain may fetch from another one.
#[rstest]
#[case(2, 2)]
#[case(39, 3)]
#[case(197, 3)]
#[case(394, 3)]
fn few_nodes_fetch_a_document_from_another_domain(#[case] size: usize, #[case] expected: usize) {
    let fleet = fleet(size);
    let draws = (0..size).map(|draw| draw as f64 / size as f64);
    let across = draws.filter(|draw| should_fetch_across_domains(&fleet, "a", *draw));
    assert_eq!(across.count(), expected);
}
