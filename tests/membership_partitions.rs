//! Regions and failure domains that lose each other, and nodes that stop for a while.

mod membership_net;

use rstest::rstest;

use membership_net::Net;
use membership_net::Node;
use membership_net::Shape;
use sassafrasgap::core::TargetState;

/// Three regions, nine failure domains, small enough to be quick.
const REGIONS: Shape = Shape {
    regions: 3,
    domains_per_region: 3,
    nodes_per_domain: 12,
};
/// Few nodes, for a cut that lasts long.
const LONG: Shape = Shape {
    nodes_per_domain: 4,
    ..REGIONS
};
const HOUR_MS: u64 = 3_600_000;
/// A cut is known after eight seconds of silence and a little for the spread.
const CUT_KNOWN_MS: u64 = 12_000;
const MERGED_MS: u64 = 8_000;
/// Shorter than the time in which a death can be refuted everywhere.
const DEATH_CHECK_MS: u64 = 100;
/// The node that is frozen.
const PAUSED: usize = 40;

fn cut_off(node: &Node) -> usize {
    node.member.cut_off_domains().len()
}

fn deaths(net: &Net) -> usize {
    let running = net.nodes.iter().filter(|node| node.runs);
    running
        .map(|node| node.count(TargetState::Dead))
        .max()
        .unwrap_or(0)
}

/// Runs on and returns the most deaths that any node held at any time, also for a moment only.
fn deaths_within(net: &mut Net, for_ms: u64) -> usize {
    let mut most = 0;
    for _ in 0..for_ms / DEATH_CHECK_MS {
        net.run_ms(DEATH_CHECK_MS);
        most = most.max(deaths(net));
    }
    most
}

fn incarnations(net: &Net) -> Vec<u64> {
    let members = net.nodes.iter().map(|node| &node.member);
    members.map(|member| member.own().incarnation).collect()
}

#[rstest]
fn a_region_cut_off_for_an_hour_merges_within_seconds() {
    // A region loses the other two for an hour. Each side goes on with what it has and shows the
    // other's failure domains as cut off, but declares nobody dead: what went is the link. In
    // the meantime nodes restart and drain on both sides. When the link is back, both sides must
    // know each other's changes within seconds, and nobody has to refute its death.
    let mut net = Net::joined(LONG, 11);
    let (drained, restarted) = (5, 33);
    net.cut(&[0, 1, 2], &[3, 4, 5, 6, 7, 8]);
    let seen_ms = net.ms_until(CUT_KNOWN_MS, |node| cut_off(node) >= 3);
    assert!(seen_ms.is_some(), "the cut is not known");
    net.run_ms(HOUR_MS / 2);
    assert_eq!(deaths(&net), 0);
    net.set_state(drained, TargetState::Draining);
    net.kill(restarted);
    net.run_ms(HOUR_MS / 4);
    net.restart(restarted);
    net.run_ms(HOUR_MS / 4);
    let before = incarnations(&net);
    net.reset_traffic();
    net.heal();
    let reborn = net.nodes[restarted].member.own().incarnation;
    let (drained, restarted) = (net.name_of(drained), net.name_of(restarted));
    let merged_ms = net.ms_until(MERGED_MS, |node| {
        let held = node.member.table().get(&restarted);
        cut_off(node) == 0
            && node.sees(&drained) == Some(TargetState::Draining)
            && held.is_some_and(|held| held.record.incarnation == reborn)
    });
    println!("cut known {seen_ms:?} ms, merged {merged_ms:?} ms after healing");
    assert!(merged_ms.is_some(), "not merged");
    assert_eq!(deaths_within(&mut net, 10_000), 0);
    assert_eq!(incarnations(&net), before, "somebody had to refute");
}

#[rstest]
#[case::at_once(3_000)]
#[case::before_it_is_known(6_000)]
#[case::just_known(9_000)]
fn a_short_cut_kills_nobody(#[case] cut_ms: u64) {
    // A switch reboots. Probes across it fail and members are suspected on both sides; when it is
    // back before the cut is known as one, the suspicions are old and would all come due at once.
    let mut net = Net::joined(REGIONS, 12);
    net.cut(&[0], &[1, 2, 3, 4, 5, 6, 7, 8]);
    assert_eq!(deaths_within(&mut net, cut_ms), 0);
    net.heal();
    assert_eq!(deaths_within(&mut net, 15_000), 0);
    assert!(net.nodes.iter().all(|node| cut_off(node) == 0));
}

#[rstest]
fn two_domains_that_both_reach_a_third_see_only_each_other_as_cut_off() {
    // The link between two failure domains fails, but a third reaches both. Members of either are
    // alive by the third's word; only the direct way is gone, and calls must not be sent there.
    let mut net = Net::joined(REGIONS, 13);
    net.cut(&[0], &[1]);
    assert_eq!(deaths_within(&mut net, 20_000), 0);
    for index in net.members_of(0) {
        let cut_off = net.nodes[index].member.cut_off_domains();
        assert_eq!(cut_off, vec![net.domain_name(1)]);
    }
    for index in net.members_of(2) {
        assert_eq!(cut_off(&net.nodes[index]), 0);
    }
}

#[rstest]
fn a_domain_reached_in_one_direction_only_counts_as_cut_off() {
    // Datagrams get from domain 0 to domain 1 but not back. Nodes of domain 0 hear nothing, those
    // of domain 1 are still pinged; neither side can complete a call, so both must see the cut.
    let mut net = Net::joined(REGIONS, 14);
    net.cut_one_way(1, 0);
    assert_eq!(deaths_within(&mut net, 20_000), 0);
    for (one, other) in [(0, 1), (1, 0)] {
        for index in net.members_of(one) {
            let cut_off = net.nodes[index].member.cut_off_domains();
            assert_eq!(cut_off, vec![net.domain_name(other)]);
        }
    }
}

#[rstest]
fn a_paused_node_comes_back_and_declares_nobody_dead() {
    // A VM is frozen for 30 s. The others take it for dead. When it resumes, its own timers are
    // all overdue: it must neither suspect the others nor show their domains as cut off, and it
    // must be up again everywhere.
    let mut net = Net::joined(REGIONS, 15);
    let name = net.name_of(PAUSED);
    net.pause(PAUSED, 30_000);
    net.run_ms(25_000);
    let others = net
        .nodes
        .iter()
        .filter(|node| *node.member.own().node != *name);
    assert!(
        others
            .clone()
            .all(|node| node.sees(&name) == Some(TargetState::Dead))
    );
    net.run_ms(4_900);
    let before = incarnations(&net);
    for _ in 0..20 {
        net.run_ms(100);
        let shown = net.nodes[PAUSED].member.cut_off_domains();
        assert!(
            shown.is_empty(),
            "took its own silence for a cut: {shown:?}"
        );
    }
    let back_ms = net.ms_until(5_000, |node| node.sees(&name) == Some(TargetState::Up));
    assert!(back_ms.is_some(), "it is not back");
    assert_eq!(deaths_within(&mut net, 10_000), 0);
    let mut after = incarnations(&net);
    assert!(after[PAUSED] > before[PAUSED]);
    after[PAUSED] = before[PAUSED];
    assert_eq!(after, before, "it made others refute");
}

#[rstest]
fn members_die_and_come_back_inside_a_domain_that_is_cut_off() {
    // A failure domain is cut off from everything. Inside it a node dies and another restarts;
    // those left must notice both by themselves.
    let mut net = Net::joined(REGIONS, 16);
    net.cut(&[2], &[0, 1, 3, 4, 5, 6, 7, 8]);
    net.run_ms(15_000);
    let (dead, restarted) = (24, 25);
    net.kill(dead);
    net.kill(restarted);
    net.run_ms(1_000);
    net.restart(restarted);
    // The restarted node has yet to notice the cut; the others must not take that for an answer.
    let others: Vec<usize> = net.members_of(2).skip(2).collect();
    for _ in 0..150 {
        net.run_ms(100);
        let all_cut = |index: &usize| cut_off(&net.nodes[*index]) == 8;
        assert!(others.iter().all(all_cut));
    }
    let (dead, restarted) = (net.name_of(dead), net.name_of(restarted));
    for index in net.members_of(2).skip(1) {
        let node = &net.nodes[index];
        assert_eq!(node.sees(&dead), Some(TargetState::Dead));
        assert_eq!(node.sees(&restarted), Some(TargetState::Up));
    }
}

#[rstest]
fn two_parts_that_never_met_find_together_by_their_seeds() {
    // The link between regions is down while everything starts: no part knows the other. Once it
    // is back, only the seed addresses in the settings can bring them together.
    let mut net = Net::cold(REGIONS, 17);
    net.cut(&[0, 1, 2], &[3, 4, 5, 6, 7, 8]);
    net.run_ms(30_000);
    let nodes = net.nodes.len();
    assert!(
        net.nodes
            .iter()
            .all(|node| node.count(TargetState::Up) < nodes)
    );
    net.heal();
    let all_up = |node: &Node| node.count(TargetState::Up) == nodes;
    let merged_ms = net.ms_until(30_000, all_up);
    println!("two parts that never met are one after {merged_ms:?} ms");
    assert!(merged_ms.is_some(), "still apart");
}

#[rstest]
fn loss_of_datagrams_alone_kills_nobody() {
    // A twentieth of all datagrams is lost for minutes. Probes fail now and then; each suspicion
    // has to be refuted in time.
    let mut net = Net::joined(REGIONS, 18);
    net.loss = 0.05;
    for _ in 0..12 {
        assert_eq!(deaths_within(&mut net, 5_000), 0);
        assert!(net.nodes.iter().all(|node| cut_off(node) == 0));
    }
}
