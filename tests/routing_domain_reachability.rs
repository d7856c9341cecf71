//! Failure domains that cannot be reached, by what becomes of the calls sent there.

use rstest::rstest;
use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;
use sassafrasgap::routing::DomainReachability;

/// One call is wanted in each step.
const STEP_MS: u64 = 20;
/// What is lost is known to be after this time: no connection could be made.
const LOST_AFTER_MS: u64 = 400;

struct World {
    reach: DomainReachability,
    now: TimeMs,
    /// When calls under way turn out to be lost, in order.
    losses: Vec<(TimeMs, Name)>,
}

impl World {
    fn new() -> Self {
        Self {
            reach: DomainReachability::default(),
            now: TimeMs(1_000),
            losses: Vec::new(),
        }
    }

    /// Lets time pass with a call wanted at one of `nodes` in each step, and counts those sent.
    fn pass(&mut self, for_ms: u64, nodes: &[&str], is_cut: bool) -> usize {
        let domain = Name::from("far");
        let mut sent = 0;
        for step in 0..for_ms / STEP_MS {
            self.now = self.now + STEP_MS;
            while self.losses.first().is_some_and(|(at, _)| *at <= self.now) {
                let (_, node) = self.losses.remove(0);
                self.reach.note_lost(self.now, &domain, &node);
            }
            if self.reach.avoided(self.now).contains(&domain) {
                continue;
            }
            let node = Name::from(nodes[step as usize % nodes.len()]);
            self.reach.note_sent(self.now, &domain);
            sent += 1;
            if is_cut {
                self.losses.push((self.now + LOST_AFTER_MS, node));
            } else {
                self.reach.note_answer(&domain);
            }
        }
        sent
    }
}

/// A failure domain is cut off for five seconds, less than gossip needs to say so. Calls went on being
/// sent there all the while, and each waited for a connection in vain: 250 of them here. Now they
/// cease after half a second but for a few tries, and begin again at once when the cut heals.
#[rstest]
fn calls_cease_across_a_cut_and_return() {
    let mut world = World::new();
    assert_eq!(world.pass(2_000, &["a", "b"], false), 100);
    let sent = world.pass(5_000, &["a", "b"], true);
    assert!(sent <= 36, "{sent} calls were sent into the cut");
    world.losses.clear();
    let sent = world.pass(1_000, &["a", "b"], false);
    assert!(sent >= 28, "{sent} calls were sent after the cut");
    assert!(!world.reach.is_unreachable("far"));
}

/// One node of the domain ends and takes no connection any more: that says nothing about the domain.
#[rstest]
fn one_node_that_is_gone_closes_no_domain() {
    let mut world = World::new();
    assert_eq!(world.pass(5_000, &["a"], true), 250);
}

/// Two nodes are gone, but others of the domain answer in between.
#[rstest]
fn a_domain_that_answers_stays_open() {
    let mut reach = DomainReachability::default();
    let domain = Name::from("far");
    for step in 0..50 {
        assert!(!reach.note_lost(TimeMs(step), &domain, &Name::from("a")));
        assert!(!reach.note_lost(TimeMs(step), &domain, &Name::from("b")));
        reach.note_answer("far");
    }
}
