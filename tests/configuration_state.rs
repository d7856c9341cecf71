//! Versions only increase, whichever documents are offered from whichever source.

mod support;

use proptest::prelude::*;
use rstest::rstest;
use sassafrasgap::configuration::ConfigState;
use sassafrasgap::configuration::IgnoreReason;
use sassafrasgap::configuration::OfferOutcome;
use sassafrasgap::configuration::Source;
use sassafrasgap::control::ConfigDocument;
use support::presets::document;

/// A state with this version in force.
fn in_force(version: u64) -> ConfigState {
    let mut state = ConfigState::new();
    let offer = state.offer(document(version), Source::Platform);
    assert!(matches!(offer, OfferOutcome::Apply(_)));
    state
}

// Guards against an old preset in force for seconds after a restart with the platform down: a peer
// that was cut off answers first, with an old version, and the node applies the first answer.
#[test]
fn a_restarted_node_waits_for_all_queried_peers_before_it_applies_an_answer() {
    let mut state = ConfigState::new();
    let stale = state.offer(document(4), Source::Peer);
    assert_eq!(stale, OfferOutcome::Ignore(IgnoreReason::StillAsking));
    assert_eq!(state.version(), 0);
    assert!(
        state.document_above(0).is_none(),
        "a version that is not in force is not sent to peers"
    );
    state.offer(document(7), Source::Peer);
    state.offer(document(5), Source::Peer);
    let applied = state.finish_initial_queries().expect("peers have answered");
    assert_eq!(applied.version, 7);
    assert_eq!(state.document_above(6).map(|held| held.version), Some(7));
    assert!(state.finish_initial_queries().is_none());
}

#[rstest]
#[case::lower(document(6), IgnoreReason::NotHigher { in_force: 7 })]
#[case::same(document(7), IgnoreReason::NotHigher { in_force: 7 })]
#[case::other_content(ConfigDocument { document: "preset: x".into(), ..document(7) },
    IgnoreReason::OtherContent)]
fn what_is_not_higher_is_ignored(#[case] offered: ConfigDocument, #[case] expected: IgnoreReason) {
    let mut state = in_force(7);
    for source in [Source::Peer, Source::Platform] {
        assert_eq!(
            state.offer(offered.clone(), source),
            OfferOutcome::Ignore(expected.clone())
        );
    }
    assert_eq!(state.version(), 7);
}

// Guards against a node with an older program that refuses every call after a switch to a preset
// with a field unknown to it. It must not guess what the new preset means, so it keeps the one in
// force.
#[test]
fn an_unreadable_document_leaves_the_version_in_force() {
    let mut state = in_force(7);
    let unreadable = ConfigDocument {
        document: "preset: ordinary\nnew_field: 1\n".into(),
        ..document(8)
    };
    let offer = state.offer(unreadable, Source::Platform);
    assert!(matches!(
        offer,
        OfferOutcome::Ignore(IgnoreReason::Unreadable(_))
    ));
    assert_eq!((state.version(), state.highest()), (7, 7));
}

const NODES: usize = 6;
const DOMAINS: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    Switch,
    Poll {
        node: usize,
    },
    Pull {
        by: usize,
        from: usize,
    },
    Restart {
        node: usize,
    },
    /// One round of queries to all reachable peers; `first` rotates the order of the answers.
    QueryPeers {
        node: usize,
        first: usize,
    },
    SetPlatform {
        up: bool,
    },
    SetCut {
        cut: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        2 => Just(Step::Switch),
        3 => node.clone().prop_map(|node| Step::Poll { node }),
        6 => (node.clone(), node.clone()).prop_map(|(by, from)| Step::Pull { by, from }),
        2 => node.clone().prop_map(|node| Step::Restart { node }),
        3 => (node.clone(), node).prop_map(|(node, first)| Step::QueryPeers { node, first }),
        1 => any::<bool>().prop_map(|up| Step::SetPlatform { up }),
        1 => any::<bool>().prop_map(|cut| Step::SetCut { cut }),
    ]
}

/// Nodes of two failure domains, a platform and a partition between the domains. Domain 0 keeps
/// the platform when it is cut off from domain 1.
struct Model {
    nodes: Vec<ConfigState>,
    /// The version that each node had in force before its last restart.
    before_restart: Vec<u64>,
    platform_version: u64,
    platform_up: bool,
    cut: bool,
}

impl Model {
    fn new() -> Self {
        Self {
            nodes: vec![ConfigState::new(); NODES],
            before_restart: vec![0; NODES],
            platform_version: 1,
            platform_up: true,
            cut: false,
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        a != b && (!self.cut || a % DOMAINS == b % DOMAINS)
    }

    fn reaches_platform(&self, node: usize) -> bool {
        self.platform_up && (!self.cut || node.is_multiple_of(DOMAINS))
    }

    fn take(&mut self, node: usize, offered: ConfigDocument, source: Source) {
        let before = self.nodes[node].version();
        let version = offered.version;
        match self.nodes[node].offer(offered, source) {
            OfferOutcome::Apply(applied) => {
                assert!(applied.version > before, "versions increase");
                assert!(applied.version >= version);
            }
            OfferOutcome::Ignore(_) => assert_eq!(self.nodes[node].version(), before),
        }
    }

    fn query_peers(&mut self, node: usize, first: usize) {
        if self.nodes[node].version() > 0 {
            return;
        }
        let peers: Vec<usize> = (0..NODES)
            .map(|peer| (peer + first) % NODES)
            .filter(|peer| self.reaches(node, *peer))
            .collect();
        let of_peers = peers.iter().map(|peer| self.nodes[*peer].version());
        let highest = of_peers.chain([self.nodes[node].highest()]).max();
        for peer in peers {
            if let Some(held) = self.nodes[peer].document_above(self.nodes[node].highest()) {
                self.take(node, held, Source::Peer);
            }
        }
        self.nodes[node].finish_initial_queries();
        let version = self.nodes[node].version();
        assert_eq!(version, highest.unwrap_or(0), "the highest answer counts");
        // A restarted node gets no lower version while a reachable peer still holds its old one.
        let known = highest.unwrap_or(0).min(self.before_restart[node]);
        assert!(version >= known);
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Switch if self.platform_up => self.platform_version += 1,
            Step::Switch => {}
            Step::Poll { node } if self.reaches_platform(node) => {
                if self.platform_version > self.nodes[node].version() {
                    let offered = document(self.platform_version);
                    self.take(node, offered, Source::Platform);
                    assert_eq!(self.nodes[node].version(), self.platform_version);
                }
            }
            Step::Poll { .. } => {}
            Step::Pull { by, from } => {
                let above = self.nodes[by].highest();
                let held = self.nodes[from].document_above(above);
                if let Some(held) = held.filter(|_| self.reaches(by, from)) {
                    self.take(by, held, Source::Peer);
                }
            }
            Step::Restart { node } => {
                self.before_restart[node] = self.nodes[node].version();
                self.nodes[node] = ConfigState::new();
            }
            Step::QueryPeers { node, first } => self.query_peers(node, first),
            Step::SetPlatform { up } => self.platform_up = up,
            Step::SetCut { cut } => self.cut = cut,
        }
    }

    /// Ends all faults and lets every node poll or query: all nodes reach the latest version.
    fn settle(&mut self) {
        self.cut = false;
        self.platform_up = true;
        self.run(&Step::Poll { node: 0 });
        for by in 1..NODES {
            self.run(&Step::Pull { by, from: 0 });
            self.run(&Step::QueryPeers { node: by, first: 0 });
        }
        let versions: Vec<u64> = self.nodes.iter().map(ConfigState::version).collect();
        assert_eq!(versions, vec![self.platform_version; NODES]);
    }
}

// Guards against a replaced preset that comes into force again, on any path on which a lower
// version is applied after a higher one: restarts with the platform down, partitions that heal, and
// peers that are behind, in any order.
proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn never_reverts(steps in prop::collection::vec(step(), 1..200)) {
        let mut model = Model::new();
        for step in &steps {
            model.run(step);
        }
        model.settle();
    }
}
