//! How an allowance is divided among the nodes: the bound over all of them, and what is refused
//! below it.

mod accounts_fleet;

use accounts_fleet::World;
use rstest::rstest;
use sassafrasgap::core::TimeMs;

/// The usual demand of an account, as a fraction of its allowance.
const USUAL: f32 = 0.625;
/// Factor by which a hot account exceeds its usual demand.
const HOT: f32 = 7.5;
/// Number of random seeds for each check.
const SEEDS: u64 = 4;

/// A large and a small account. Both are checked.
const LARGE: &str = "a0";
const SMALL: &str = "a9";

fn world(nodes: usize, seed: u64) -> World {
    let mut world = World::new(nodes, 3, seed);
    world.add_deployment_accounts(USUAL);
    world.run(4_000);
    world
}

fn raise_demand(world: &mut World, by: f32) {
    for name in [LARGE, SMALL] {
        world.account(name).per_s *= by;
    }
}

/// The fraction of all accounts' requests that was admitted.
fn admitted_fraction(world: &World, from: TimeMs) -> f32 {
    let sent = world.requests.values();
    let sums = sent.map(|each| {
        let admitted = each.admitted(from, world.now);
        (admitted, each.wanted(from, world.now))
    });
    let (admitted, wanted) = sums.fold((0, 0), |(a, b), (c, d)| (a + c, b + d));
    admitted as f32 / wanted as f32
}

/// The admitted rate of one account, as a fraction of its allowance.
fn admitted_rate(world: &World, name: &str, from: TimeMs) -> f32 {
    let seconds = world.now.since(from) as f32 / 1_000.0;
    let account = world.accounts.iter().find(|each| &*each.name == name);
    let rate = account.unwrap().allowance.rate_per_s;
    world.requests[name].admitted(from, world.now) as f32 / seconds / rate
}

/// All accounts send their usual demand, about five eighths of their allowance. Requests are
/// refused only by chance, and each node can handle the messages.
#[rstest]
#[case(81)]
#[case(195)]
#[case(720)]
fn accounts_below_their_allowances_are_admitted(#[case] nodes: usize) {
    let world = world(nodes, 1);
    assert!(admitted_fraction(&world, TimeMs(0)) >= 0.99);
    assert!(world.messages_per_node_s() <= 12.0);
}

/// Two accounts suddenly send many times their usual demand. They get their allowance, the fleet
/// stays within the bound from the first moment, and other accounts are not affected.
#[rstest]
fn a_hot_account_gets_its_allowance(
    #[values(81, 195, 720)] nodes: usize,
    #[values(2.0, 4.1, HOT)] by: f32,
) {
    let mut rates = [0.0; 2];
    for seed in 0..SEEDS {
        let mut world = world(nodes, seed);
        raise_demand(&mut world, by);
        let from = world.now + 2_000;
        world.run(10_000);
        assert!(
            world.worst_window() <= 1.0,
            "seed {seed}: {}",
            world.worst_window()
        );
        rates[0] += admitted_rate(&world, LARGE, from) / SEEDS as f32;
        rates[1] += admitted_rate(&world, SMALL, from) / SEEDS as f32;
    }
    assert!(rates.iter().all(|rate| *rate >= 0.9), "{rates:?}");
}

/// One failure domain is partitioned from the others, and two accounts turn hot on both sides. Each
/// side stays within its share, so both together keep the bound during the partition and after it.
#[rstest]
fn both_sides_of_a_partition_share_one_allowance(
    #[values(81, 720)] nodes: usize,
    #[values(0, 2_000)] heated_after_ms: u64,
) {
    for seed in 0..SEEDS {
        let mut world = world(nodes, seed);
        world.cut_domains(&[0]);
        world.run(heated_after_ms);
        raise_demand(&mut world, HOT);
        world.run(8_000);
        let from = world.now;
        world.heal();
        world.run(6_000);
        assert!(
            world.worst_window() <= 1.0,
            "seed {seed}: {}",
            world.worst_window()
        );
        assert!(admitted_rate(&world, LARGE, from) >= 0.9, "seed {seed}");
    }
}

/// A hot account sends to one failure domain only and gets its whole allowance there. When that
/// domain is partitioned, it keeps the whole allowance. The other domains have no share then, so
/// they cannot grant the allowance a second time.
#[rstest]
fn a_share_follows_the_demand() {
    for seed in 0..SEEDS {
        let mut world = world(81, seed);
        raise_demand(&mut world, HOT);
        world.account(LARGE).only_in = Some(1);
        world.run(4_000);
        let from = world.now;
        world.run(4_000);
        assert!(admitted_rate(&world, LARGE, from) >= 0.9, "seed {seed}");
        world.cut_domains(&[1]);
        world.run(2_000);
        world.account(LARGE).only_in = None;
        world.run(5_000);
        assert!(
            world.worst_window() <= 1.0,
            "seed {seed}: {}",
            world.worst_window()
        );
    }
}

/// A third of the nodes is cut off from all others while two accounts are hot. Each of them admits
/// its equal share, and the others have to leave these shares to them.
#[rstest]
fn isolated_nodes_use_equal_shares(#[values(81, 195)] nodes: usize) {
    for seed in 0..SEEDS {
        let mut world = world(nodes, seed);
        raise_demand(&mut world, HOT);
        world.run(3_000);
        world.cut_nodes(3);
        world.run(8_000);
        world.heal();
        world.run(5_000);
        assert!(
            world.worst_window() <= 1.0,
            "seed {seed}: {}",
            world.worst_window()
        );
    }
}

/// Half of the nodes is cut off from all others for so long that these declare them dead and
/// redistribute their shares. If the isolated nodes still admitted requests then, the fleet would
/// admit half more than the allowance.
#[rstest]
fn a_share_is_not_used_twice_in_a_long_partition(#[values(81, 195)] nodes: usize) {
    for seed in 0..SEEDS {
        let mut world = world(nodes, seed);
        raise_demand(&mut world, HOT);
        world.run(3_000);
        world.cut_half_until_dead();
        world.run(32_000);
        let from = world.now;
        world.run(6_000);
        assert!(
            world.worst_window() <= 1.0,
            "seed {seed}: {}",
            world.worst_window()
        );
        assert!(admitted_rate(&world, LARGE, from) >= 0.9, "seed {seed}");
        world.heal();
        world.run(5_000);
        assert!(
            world.worst_window() <= 1.0,
            "seed {seed}: {}",
            world.worst_window()
        );
    }
}

/// All processes are killed and restarted while two accounts are hot. Recent usage is lost with
/// them, and the fleet must still not admit a whole burst again.
#[rstest]
fn a_restart_of_all_nodes_refills_no_burst(
    #[values(81, 195, 720)] nodes: usize,
    #[values(300, 1_000)] down_ms: u64,
) {
    for seed in 0..SEEDS {
        let mut world = world(nodes, seed);
        raise_demand(&mut world, 4.1);
        world.run(5_000);
        world.restart_all(down_ms);
        world.run(8_000);
        assert!(
            world.worst_window() <= 1.0,
            "seed {seed}: {}",
            world.worst_window()
        );
    }
}

/// Two accounts turn hot and use up their bursts. Within the same window all processes are killed
/// and restarted. What was admitted before still counts, the burst included.
#[rstest]
fn a_restart_of_all_nodes_soon_after_a_burst_does_not_refill_it(
    #[values(81, 195, 720)] nodes: usize,
    #[values(1_000, 2_000, 3_000)] after_ms: u64,
    #[values(300, 1_000)] down_ms: u64,
) {
    for seed in 0..SEEDS {
        let mut world = world(nodes, seed);
        raise_demand(&mut world, HOT);
        world.run(after_ms);
        world.restart_all(down_ms);
        world.run(8_000);
        assert!(
            world.worst_window() <= 1.0,
            "seed {seed}: {}",
            world.worst_window()
        );
    }
}

/// The coordinators of each failure domain are killed and restarted while two accounts are hot. The
/// new processes have no record of recent usage, and must not grant a burst.
#[rstest]
fn a_replaced_coordinator_grants_no_new_burst() {
    for seed in 0..SEEDS {
        let mut world = world(81, seed);
        raise_demand(&mut world, HOT);
        world.run(4_000);
        world.restart(|at| at < 6, 1_000);
        world.run(6_000);
        assert!(
            world.worst_window() <= 1.0,
            "seed {seed}: {}",
            world.worst_window()
        );
    }
}

/// The operator lowers an allowance to a third of its account's demand. One window later the fleet
/// is within the new bound.
#[rstest]
fn a_lowered_allowance_takes_effect() {
    for seed in 0..SEEDS {
        let mut world = world(81, seed);
        for name in [LARGE, SMALL] {
            let account = world.account(name);
            account.allowance.rate_per_s = account.per_s / 3.0;
            account.allowance.burst = account.allowance.rate_per_s;
        }
        world.run(5_000);
        world.requests.clear();
        world.run(8_000);
        assert!(
            world.worst_window() <= 1.0,
            "seed {seed}: {}",
            world.worst_window()
        );
    }
}

/// The alternative strategy: each node admits its equal share, whatever the demand there.
fn equal_shares(nodes: usize, seed: u64) -> World {
    let mut world = World::new(nodes, 3, seed);
    world.add_deployment_accounts(USUAL);
    world.cut_all_nodes();
    world.run(4_000);
    world.requests.clear();
    world
}

/// Creates the simulation of one strategy for a number of nodes and a seed.
type Start = fn(usize, u64) -> World;

/// Compares equal shares with shares by demand, and prints the result:
/// `cargo test --release --test accounts_allowances -- --ignored --nocapture`.
#[rstest]
#[ignore = "a measurement, not a check"]
fn compare_strategies(#[values(81, 195, 720)] nodes: usize) {
    let strategies: [(&str, Start); 2] =
        [("equal shares", equal_shares), ("shares by demand", world)];
    for (strategy, start) in strategies {
        let mut usual = start(nodes, 1);
        let from = usual.now;
        usual.run(8_000);
        let mut hot = start(nodes, 2);
        let surged_at = hot.now;
        raise_demand(&mut hot, HOT);
        hot.run(9_000);
        println!(
            "{nodes} {strategy}: admitted {:.3} of the usual demand, worst window {:.2}; hot \
             {:.2}, admitted {:.2} and {:.2} of the allowance; messages per node and s {:.2}",
            admitted_fraction(&usual, from),
            usual.worst_window(),
            hot.worst_window(),
            admitted_rate(&hot, LARGE, surged_at),
            admitted_rate(&hot, SMALL, surged_at),
            usual.messages_per_node_s(),
        );
    }
}
