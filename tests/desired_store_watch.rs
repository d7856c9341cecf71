//! Which nodes follow the operator's row in the store.

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

/// What a node knows while all is well.
const WELL: StateFreshness = StateFreshness {
    has_state: true,
    found_for_ms: None,
    heard_ms_ago: 300,
    confirmed_ms_ago: 2_500,
    keys_hold_ms: None,
};

/// A fleet of `size` nodes in one failure domain.
fn fleet(size: usize) -> View {
    let names: Vec<String> = (0..size).map(|index| format!("a{index:04}")).collect();
    let nodes = names.iter().map(|name| (&**name, "a", TargetState::Up));
    view(&nodes.collect::<Vec<_>>())
}

/// However many nodes there are, two of each failure domain watch, so that the calls to the store grow
/// with the domains.
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

/// A watcher of a domain does not answer any more, or has left. The next one takes over at once,
/// though it may only be suspected: one watcher more does no harm, one less would.
#[rstest]
#[case(TargetState::Suspect)]
#[case(TargetState::Dead)]
#[case(TargetState::Left)]
fn the_next_one_takes_over(#[case] state: TargetState) {
    let up = TargetState::Up;
    let view = view(&[("a1", "a", state), ("a2", "a", up), ("a3", "a", up)]);
    assert!(is_watcher(&view, "a3", "a"));
}

/// Hundreds of nodes each kept a question open at the store: most of its calls, each paid for. All but
/// the watchers rely on gossip while it brings the store's word.
#[rstest]
fn a_node_that_hears_others_asks_nothing() {
    let fleet = fleet(195);
    assert!(!should_query_store(&fleet, "a0100", "a", WELL, 0.0));
    assert!(should_query_store(&fleet, "a0001", "a", WELL, 0.99));
}

/// A node is cut off from all others and not from the store. A change would be in force everywhere but
/// there: nobody can tell it.
#[rstest]
fn a_node_that_hears_nobody_asks() {
    let silent = StateFreshness {
        heard_ms_ago: 1_500,
        ..WELL
    };
    assert!(should_query_store(&fleet(195), "a0100", "a", silent, 0.99));
    assert!(should_query_store(
        &View::default(),
        "a0100",
        "a",
        silent,
        0.99
    ));
}

/// All watchers are turned away by the store and everybody hears everybody. The store's word grows old;
/// a few others ask for it, not all at once.
#[rstest]
#[case(13)]
#[case(195)]
#[case(720)]
fn a_few_ask_when_the_store_has_not_been_heard_of(#[case] size: usize) {
    let unconfirmed = StateFreshness {
        confirmed_ms_ago: 6_100,
        ..WELL
    };
    let fleet = fleet(size);
    let asking = |random| should_query_store(&fleet, "a0009", "a", unconfirmed, random);
    let asking = (0..1_000).filter(|draw| asking(f64::from(*draw) / 1_000.0));
    let in_fleet = asking.count() * size / 1_000;
    assert!((3..=5).contains(&in_fleet), "{in_fleet}");
}

/// The whole system starts for the first time. Each node would take itself for a watcher, and all would
/// ask at once; a moment later they know each other and are told.
#[rstest]
#[case(-4_000, false, false)]
#[case(-1, false, false)]
#[case(0, true, false)]
#[case(2_500, true, true)]
fn at_a_first_start_few_ask(
    #[case] found_for_ms: i64,
    #[case] watcher_asks: bool,
    #[case] other_asks: bool,
) {
    let known = StateFreshness {
        has_state: false,
        found_for_ms: Some(found_for_ms),
        ..WELL
    };
    let fleet = fleet(195);
    assert_eq!(
        should_query_store(&fleet, "a0000", "a", known, 0.0),
        watcher_asks
    );
    assert_eq!(
        should_query_store(&fleet, "a0100", "a", known, 0.0),
        other_asks
    );
}

/// A node that is restarted knows no desired state, and is not ready before it does: it asks at once.
#[rstest]
fn a_restarted_node_asks_at_once() {
    let known = StateFreshness {
        has_state: false,
        ..WELL
    };
    assert!(should_query_store(&fleet(195), "a0100", "a", known, 0.99));
}

/// Each node took a changed document over from any peer, most of them across a border between failure
/// domains. However many there are, a few of each domain do.
#[rstest]
#[case(2, 2)]
#[case(39, 3)]
#[case(197, 3)]
#[case(394, 3)]
fn few_take_a_document_over_from_another_domain(#[case] size: usize, #[case] expected: usize) {
    let fleet = fleet(size);
    let draws = (0..size).map(|draw| draw as f64 / size as f64);
    let across = draws.filter(|draw| should_fetch_across_domains(&fleet, "a", *draw));
    assert_eq!(across.count(), expected);
}
