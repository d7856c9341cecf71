//! Control threads that discover each other over real sockets.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use prometheus::Registry;
use rstest::rstest;

use sassafrasgap::control;
use sassafrasgap::control::ControlHandle;
use sassafrasgap::control::ControlHandlers;
use sassafrasgap::control::ControlMetrics;
use sassafrasgap::control::ControlSettings;
use sassafrasgap::core::Clock;
use sassafrasgap::core::Name;
use sassafrasgap::core::TargetState;
use sassafrasgap::membership::MembershipSettings;

/// Long enough for a busy machine. The awaited changes take a second or two.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start(node: &str, seeds: Vec<SocketAddr>) -> ControlHandle {
    let settings = ControlSettings {
        node: Name::from(node),
        region: Name::from("tw-north"),
        domain: Name::from("tw-north-1"),
        peer_address: any_port(),
        control_address: any_port(),
        advertised_address: any_port(),
        seeds,
        membership: MembershipSettings::default(),
        clock: Clock::new(),
    };
    let metrics = ControlMetrics::new(&Registry::new()).expect("the names are free");
    control::start(settings, ControlHandlers::default(), metrics).expect("port 0 is free")
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        sleep(Duration::from_millis(20));
    }
}

fn state_of(handle: &ControlHandle, node: &str) -> Option<TargetState> {
    let view = handle.view.load();
    view.nodes.get(node).map(|target| target.state)
}

#[rstest]
fn a_node_joins_serves_drains_and_leaves() {
    let first = start("node-a", vec![]);
    let second = start("node-b", vec![first.address]);
    let third = start("node-c", vec![first.address]);
    let service = Name::from("workspace");
    third.announce(&service, 100, TargetState::Up);
    wait_until("the target is seen everywhere", || {
        let views = [first.view.load(), second.view.load()];
        views
            .iter()
            .all(|view| view.targets("workspace").len() == 1)
    });
    third.set_state(TargetState::Draining);
    wait_until("the drain is seen", || {
        state_of(&second, "node-c") == Some(TargetState::Draining)
    });
    third.leave();
    wait_until("the departure is seen", || {
        state_of(&second, "node-c") == Some(TargetState::Left)
            && second.view.load().targets("workspace").is_empty()
    });
}

#[rstest]
fn a_restarted_node_overrides_what_peers_hold_about_it() {
    // A restarted node must be shown as up although its process has no state. Its first incarnation
    // is low. Its peers send it the record that they hold, and it takes a higher incarnation.
    let first = start("node-a", vec![]);
    let old = start("node-b", vec![first.address]);
    let service = Name::from("workspace");
    old.announce(&service, 100, TargetState::Up);
    old.announce(&service, 50, TargetState::Draining);
    wait_until("the old process drains", || {
        state_of(&first, "node-b") == Some(TargetState::Draining)
    });
    let held = first.view.load().nodes["node-b"].incarnation;
    old.shutdown();
    let new = start("node-b", vec![first.address]);
    new.announce(&service, 100, TargetState::Up);
    wait_until("the new process is up", || {
        state_of(&first, "node-b") == Some(TargetState::Up)
    });
    let view = first.view.load();
    assert!(view.nodes["node-b"].incarnation > held);
    assert_eq!(view.nodes["node-b"].control_address, new.address);
}
