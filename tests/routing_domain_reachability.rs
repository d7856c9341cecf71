//! Failure domains that cannot be reached, judged by lost calls.

use rstest::rstest;
use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;
use sassafrasgap::routing::DomainReachability;

/// One call is to be sent in each step.
const STEP_MS: u64 = 20;
/// A call is known to be lost after this time, because no connection could be made.
const LOST_AFTER_MS: u64 = 400;

struct Simulation {
    reach: DomainReachability,
    now: TimeMs,
    /// When calls under way turn out to be lost, in order.
    losses: Vec<(TimeMs, Name)>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            reach: DomainReachability::default(),
            now: TimeMs(1_000),
            losses: Vec::new(),
        }
    }

    /// Advances time with one call to be sent to one of `nodes` in each step, and counts those
    /// sent.
    fn advance(&mut self, for_ms: u64, nodes: &[&str], is_partitioned: bool) -> usize {
        let domain = Name::from("far");
        let mut sent = 0;
        for step in 0..for_ms / STEP_MS {
            self.now = self.now + STEP_MS;
            while self.losses.first().is_some_and(|(at, _)| *at <= self.now) {
                let (_, node) = self.losses.remove(0);
                self.reach.record_lost(self.now, &domain, &node);
            }
            if self.reach.avoided(self.now).contains(&domain) {
                continue;
            }
            let node = Name::from(nodes[step as usize % nodes.len()]);
            self.reach.record_sent(self.now, &domain);
            sent += 1;
            if is_partitioned {
                self.losses.push((self.now + LOST_AFTER_MS, node));
            } else {
                self.reach.record_answer(&domain);
            }
        }
        sent
    }
}

/// A failure domain is cut off for five seconds, which is less than gossip needs to report it.
/// Guards against calls that are sent there all the while, 250 of them here, each of which waits
/// for a connection in vain. Calls have to stop after half a second but for a few probes, and
/// resume at once when the partition heals.
#[rstest]
fn calls_stop_across_a_partition_and_resume() {
    let mut simulation = Simulation::new();
    assert_eq!(simulation.advance(2_000, &["a", "b"], false), 100);
    let sent = simulation.advance(5_000, &["a", "b"], true);
    assert!(sent <= 36, "{sent} calls were sent into the partition");
    simulation.losses.clear();
    let sent = simulation.advance(1_000, &["a", "b"], false);
    assert!(sent >= 28, "{sent} calls were sent after the partition");
    assert!(!simulation.reach.is_unreachable("far"));
}

/// One node of the domain ends and accepts no connection: that says nothing about the domain.
#[rstest]
fn one_lost_node_does_not_make_its_domain_unreachable() {
    let mut simulation = Simulation::new();
    assert_eq!(simulation.advance(5_000, &["a"], true), 250);
}

/// Two nodes are gone, but others of the domain answer in between.
#[rstest]
fn a_domain_that_answers_stays_reachable() {
    let mut reach = DomainReachability::default();
    let domain = Name::from("far");
    for step in 0..50 {
        assert!(!reach.record_lost(TimeMs(step), &domain, &Name::from("a")));
        assert!(!reach.record_lost(TimeMs(step), &domain, &Name::from("b")));
        reach.record_answer("far");
    }
}
