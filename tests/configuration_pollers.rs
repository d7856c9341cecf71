//! Which nodes poll the platform, how often, and where a version is confirmed.

use std::net::SocketAddr;
use std::sync::Arc;

use rstest::rstest;
use sassafrasgap::configuration::NodeVersion;
use sassafrasgap::configuration::PollOutcome;
use sassafrasgap::configuration::PollSchedule;
use sassafrasgap::configuration::confirmations;
use sassafrasgap::configuration::is_poller;
use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::TargetState;
use sassafrasgap::core::TimeMs;
use sassafrasgap::core::View;

fn view(nodes: &[(&str, &str, TargetState)]) -> View {
    let mut view = View::default();
    for (node, domain, state) in nodes {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let target = Target {
            node: Name::from(*node),
            service: Name::from(""),
            region: Name::from("r"),
            domain: Name::from(*domain),
            peer_address: address,
            control_address: address,
            incarnation: 1,
            state: *state,
            slots: 1,
        };
        view.nodes.insert(Name::from(*node), Arc::new(target));
    }
    view
}

// Guards against a failure domain that gets every switch late: both of its pollers have failed, and
// no other node takes their place because dead nodes are counted.
#[test]
fn the_two_live_nodes_with_the_lowest_names_of_each_domain_poll() {
    use TargetState::Dead;
    use TargetState::Draining;
    use TargetState::Left;
    use TargetState::Suspect;
    use TargetState::Up;
    let view = view(&[
        ("n1", "a", Dead),
        ("n2", "a", Up),
        ("n3", "a", Left),
        ("n4", "a", Suspect),
        ("n5", "a", Draining),
        ("n6", "a", Up),
        ("n0", "b", Up),
    ]);
    let polls = |node| is_poller(&view, node, "a");
    assert_eq!([polls("n2"), polls("n5"), polls("n6")], [true, true, false]);
    assert!(is_poller(&view, "n0", "b"));
    assert!(
        is_poller(&View::default(), "n9", "a"),
        "a node with an empty view polls"
    );
}

#[rstest]
#[case::poller(true, 0, 400, 600)]
#[case::after_one_error(true, 1, 800, 1_200)]
#[case::after_many_errors(true, 30, 3_200, 4_800)]
#[case::others(false, 0, 24_000, 36_000)]
fn waits_between_polls(
    #[case] is_poller: bool,
    #[case] failures: u32,
    #[case] min_ms: u64,
    #[case] max_ms: u64,
) {
    let mut schedule = PollSchedule::new(500);
    assert_eq!(
        schedule.due(is_poller, 0),
        TimeMs(0),
        "the first is due at once"
    );
    schedule.record(PollOutcome::Answered, TimeMs(10_000));
    for _ in 0..failures {
        schedule.record(PollOutcome::Failed, TimeMs(10_000));
    }
    assert_eq!(schedule.due(is_poller, 0), TimeMs(10_000 + min_ms));
    assert_eq!(schedule.due(is_poller, 1_000), TimeMs(10_000 + max_ms));
}

#[test]
fn a_node_that_does_not_answer_is_not_confirmed() {
    let node = |node: &str, domain: &str, version| NodeVersion {
        node: Name::from(node),
        domain: Name::from(domain),
        version,
    };
    let reports = [
        node("n1", "a", Some(5)),
        node("n2", "a", Some(6)),
        node("n3", "b", Some(4)),
        node("n4", "c", None),
    ];
    let domains = confirmations(5, &reports);
    let confirmed: Vec<bool> = domains.iter().map(|domain| domain.is_confirmed()).collect();
    assert_eq!(confirmed, [true, false, false]);
    assert_eq!(domains[0].in_force, 2);
    assert_eq!(domains[1].behind, [Name::from("n3")]);
    assert_eq!(domains[2].silent, [Name::from("n4")]);
}
