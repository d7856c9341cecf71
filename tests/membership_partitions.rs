//! Partitions between regions and failure domains, and paused nodes.

mod membership_net;

use rstest::rstest;

use membership_net::Net;
use membership_net::Node;
use membership_net::Shape;
use sassafrasgap::core::TargetState;

/// Three regions with nine failure domains, small enough to run fast.
const THREE_REGIONS: Shape = Shape {
    regions: 3,
    domains_per_region: 3,
    nodes_per_domain: 12,
};
/// Few nodes, for a long partition.
const LONG_PARTITION: Shape = Shape {
    nodes_per_domain: 4,
    ..THREE_REGIONS
};
const HOUR_MS: u64 = 3_600_000;
/// A partition is known after eight seconds of silence and a short time to spread.
const CUT_KNOWN_MS: u64 = 12_000;
const MERGED_MS: u64 = 8_000;
/// Shorter than the time in which a death can be refuted everywhere.
const DEATH_CHECK_MS: u64 = 100;
/// The node that is paused.
const PAUSED: usize = 40;

fn cut_off(node: &Node) -> usize {
    node.member.cut_off_domains().len()
}

fn deaths(net: &Net) -> usize {
    let running = net.nodes.iter().filter(|node| node.is_running);
    running
        .map(|node| node.count(TargetState::Dead))
        .max()
        .unwrap_or(0)
}

/// Runs for `for_ms`, and returns the most deaths that any node held at any time, even briefly.
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
    // A region loses the link to the other two for an hour. Each side continues and shows the other
    // side's failure domains as cut off, but declares no deaths. Meanwhile nodes restart and drain
    // on both sides. Once the link is back, both sides must receive each other's changes within
    // seconds, and no member must need to refute its death.
    let mut net = Net::joined(LONG_PARTITION, 11);
    let (drained, restarted) = (5, 33);
    net.cut(&[0, 1, 2], &[3, 4, 5, 6, 7, 8]);
    let seen_ms = net.ms_until(CUT_KNOWN_MS, |node| cut_off(node) >= 3);
    assert!(seen_ms.is_some(), "the partition was not detected");
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
    let new_incarnation = net.nodes[restarted].member.own().incarnation;
    let (drained, restarted) = (net.name_of(drained), net.name_of(restarted));
    let merged_ms = net.ms_until(MERGED_MS, |node| {
        let held = node.member.table().get(&restarted);
        cut_off(node) == 0
            && node.state_of(&drained) == Some(TargetState::Draining)
            && held.is_some_and(|held| held.record.incarnation == new_incarnation)
    });
    println!("partition known {seen_ms:?} ms, merged {merged_ms:?} ms after healing");
    assert!(merged_ms.is_some(), "not merged");
    assert_eq!(deaths_within(&mut net, 10_000), 0);
    assert_eq!(incarnations(&net), before, "a member had to refute");
}

#[rstest]
#[case::at_once(3_000)]
#[case::before_it_is_known(6_000)]
#[case::just_known(9_000)]
fn a_short_partition_causes_no_deaths(#[case] cut_ms: u64) {
    // A switch reboots. Probes across it fail, and members are suspected on both sides. If it is
    // back before the partition is detected, the old suspicions would all come due at once.
    let mut net = Net::joined(THREE_REGIONS, 12);
    net.cut(&[0], &[1, 2, 3, 4, 5, 6, 7, 8]);
    assert_eq!(deaths_within(&mut net, cut_ms), 0);
    net.heal();
    assert_eq!(deaths_within(&mut net, 15_000), 0);
    assert!(net.nodes.iter().all(|node| cut_off(node) == 0));
}

#[rstest]
fn two_domains_that_both_reach_a_third_see_only_each_other_as_cut_off() {
    // The link between two failure domains fails, but a third domain reaches both. It reports the
    // members of either as alive. Only the direct link is down, and no calls may be sent over it.
    let mut net = Net::joined(THREE_REGIONS, 13);
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
    // Datagrams pass from domain 0 to domain 1 but not back. Nodes of domain 0 receive nothing, and
    // nodes of domain 1 are still pinged. Neither side can complete a call, so both must detect the
    // partition.
    let mut net = Net::joined(THREE_REGIONS, 14);
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
fn a_paused_node_recovers_and_declares_no_deaths() {
    // A VM is paused for 30 s, and the others declare it dead. When it resumes, all its own timers
    // are overdue. It must neither suspect the others nor show their domains as cut off, and it
    // must be up again everywhere.
    let mut net = Net::joined(THREE_REGIONS, 15);
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
            .all(|node| node.state_of(&name) == Some(TargetState::Dead))
    );
    net.run_ms(4_900);
    let before = incarnations(&net);
    for _ in 0..20 {
        net.run_ms(100);
        let shown = net.nodes[PAUSED].member.cut_off_domains();
        assert!(
            shown.is_empty(),
            "treated its own pause as a partition: {shown:?}"
        );
    }
    let back_ms = net.ms_until(5_000, |node| node.state_of(&name) == Some(TargetState::Up));
    assert!(back_ms.is_some(), "the paused node is not up again");
    assert_eq!(deaths_within(&mut net, 10_000), 0);
    let mut after = incarnations(&net);
    assert!(after[PAUSED] > before[PAUSED]);
    after[PAUSED] = before[PAUSED];
    assert_eq!(after, before, "other members had to refute");
}

#[rstest]
fn members_die_and_come_back_inside_a_domain_that_is_cut_off() {
    // A failure domain is cut off from all others. Inside it one node dies and another restarts.
    // The remaining nodes of the domain must detect both by themselves.
    let mut net = Net::joined(THREE_REGIONS, 16);
    net.cut(&[2], &[0, 1, 3, 4, 5, 6, 7, 8]);
    net.run_ms(15_000);
    let (dead, restarted) = (24, 25);
    net.kill(dead);
    net.kill(restarted);
    net.run_ms(1_000);
    net.restart(restarted);
    // The restarted node has yet to detect the partition. The others must not take that for an
    // answer.
    let others: Vec<usize> = net.members_of(2).skip(2).collect();
    for _ in 0..150 {
        net.run_ms(100);
        let all_cut = |index: &usize| cut_off(&net.nodes[*index]) == 8;
        assert!(others.iter().all(all_cut));
    }
    let (dead, restarted) = (net.name_of(dead), net.name_of(restarted));
    for index in net.members_of(2).skip(1) {
        let node = &net.nodes[index];
        assert_eq!(node.state_of(&dead), Some(TargetState::Dead));
        assert_eq!(node.state_of(&restarted), Some(TargetState::Up));
    }
}

#[rstest]
fn partitions_that_never_met_merge_by_their_seeds() {
    // The link between regions is down while all nodes start, so neither side has members of the
    // other. Once the link is back, only the seed addresses in the settings can bring them
    // together.
    let mut net = Net::cold(THREE_REGIONS, 17);
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
    println!("partitions that never met merged after {merged_ms:?} ms");
    assert!(merged_ms.is_some(), "the partitions did not merge");
}

#[rstest]
fn datagram_loss_alone_causes_no_deaths() {
    // One datagram in twenty is lost for a minute. Some probes fail, and each suspicion has to be
    // refuted in time.
    let mut net = Net::joined(THREE_REGIONS, 18);
    net.loss = 0.05;
    for _ in 0..12 {
        assert_eq!(deaths_within(&mut net, 5_000), 0);
        assert!(net.nodes.iter().all(|node| cut_off(node) == 0));
    }
}
