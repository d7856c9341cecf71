//! Failures of owners, of the table and of networks, one story each. The world asserts all along
//! that no key runs twice and that no refusal says `not_run` of a key that ran.

mod claims_world;

use claims_world::Fault;
use claims_world::LEASE_MS;
use claims_world::Noise;
use claims_world::WINDOW_MS;
use claims_world::World;
use sassafrasgap::claims::ResendLimits;
use sassafrasgap::claims::SLOT_COUNT;

const KEY_EVERY_MS: u64 = 20;
/// By then every slot has an owner and the owners have about the same number.
const SETTLED_MS: u64 = 10_000;
/// A take-over is done: noticed, announced, waited for, written.
const TAKEN_OVER_MS: u64 = 5 * LEASE_MS;

fn grace_ms() -> u64 {
    ResendLimits::new(WINDOW_MS).grace_ms()
}

/// Four nodes in three domains whose slots are shared out, without noise.
fn settled() -> World {
    let mut world = World::new(2, 4, 3, Noise::NONE);
    world.run_until(SETTLED_MS);
    assert_eq!(world.open_slots(), SLOT_COUNT);
    world
}

/// Callers send new keys all along, and each again within the window.
fn load_until(world: &mut World, end: u64) {
    while world.now < end {
        world.new_key(1);
        world.run_until(world.now + KEY_EVERY_MS);
    }
}

fn slots_of(world: &World, process: usize) -> usize {
    let map = world.store.map().expect("a row");
    map.slots_of(world.processes[process].instance).len()
}

#[test]
fn slots_are_shared_out_and_follow_members_that_join() {
    let mut world = settled();
    for process in 0..4 {
        assert_eq!(slots_of(&world, process), SLOT_COUNT / 4);
    }
    world.apply(Fault::Stop { process: 0 });
    world.run_until(world.now + 3_000);
    assert!(world.processes[0].is_dead, "it left");
    let process = 0;
    let same_vm = false;
    world.apply(Fault::Restart { process, same_vm });
    world.run_until(world.now + 10_000);
    assert_eq!(slots_of(&world, 4), SLOT_COUNT / 4);
    assert_eq!(
        world.open_slots(),
        SLOT_COUNT,
        "no grace period after hand-overs"
    );
}

/// An owner checks a key and is paused before it dispatches the call. Its lease lapses, another
/// node takes over, the caller sends the key again there; then the first owner goes on and
/// dispatches. Refused as `unknown` in the grace period, the resend cannot run beside it.
#[test]
fn a_pause_between_check_and_dispatch_runs_nothing_twice() {
    let mut world = settled();
    load_until(&mut world, 20_000);
    for process in 0..3 {
        let for_ms = TAKEN_OVER_MS + WINDOW_MS / 2;
        world.apply(Fault::Pause { process, for_ms });
        let end = world.now + 2 * TAKEN_OVER_MS + grace_ms();
        load_until(&mut world, end);
    }
    assert!(world.truth.refusals["grace_period"] > 0);
    assert_eq!(world.open_slots(), SLOT_COUNT);
}

/// A whole failover: the owner dies, its slots are refused as `unknown` for the grace period, and
/// then everything runs again.
#[test]
fn slots_of_a_dead_owner_are_taken_over() {
    let mut world = settled();
    world.apply(Fault::Crash { process: 1 });
    world.run_until(world.now + TAKEN_OVER_MS);
    let owners: usize = [0, 2, 3].iter().map(|it| slots_of(&world, *it)).sum();
    assert_eq!(owners, SLOT_COUNT);
    assert_eq!(
        world.open_slots(),
        SLOT_COUNT - SLOT_COUNT / 4,
        "the rest is in grace"
    );
    world.run_until(world.now + grace_ms());
    assert_eq!(world.open_slots(), SLOT_COUNT);
}

/// A process is killed and started again at once on the same VM. It has forgotten everything it
/// ran; a key sent again must not run a second time there.
#[test]
fn a_restart_that_forgets_everything_runs_nothing_twice() {
    let mut world = settled();
    for restart in 0..3 {
        let end = world.now + 10_000;
        load_until(&mut world, end);
        let process = world.processes.len() - 1 - restart % 2;
        let same_vm = true;
        world.apply(Fault::Crash { process });
        world.apply(Fault::Restart { process, same_vm });
        world.run_until(world.now + 1_000);
        let newest = world.processes.len() - 1;
        assert!(slots_of(&world, newest) > 0, "its slots were taken at once");
        let end = world.now + grace_ms() + 2_000;
        load_until(&mut world, end);
    }
    assert!(world.truth.refusals["grace_period"] > 0);
}

/// Two nodes hold a third for gone at the same moment and both take its slots over, while their
/// clocks differ and the answers of the table get lost.
#[test]
fn two_that_take_over_at_once_do_not_both_own_a_slot() {
    for seed in 0..20 {
        let noise = Noise {
            lost_permille: 200,
            ..Noise::NONE
        };
        let mut world = World::new(seed, 4, 3, noise);
        world.conf.rank_step_ms = 0;
        load_until(&mut world, SETTLED_MS);
        world.apply(Fault::Crash { process: 0 });
        world.apply(Fault::Pause {
            process: 1,
            for_ms: 3 * LEASE_MS,
        });
        let end = world.now + 6 * TAKEN_OVER_MS + grace_ms();
        load_until(&mut world, end);
        assert!(world.open_slots() > SLOT_COUNT / 2, "seed {seed}");
    }
}

/// The platform is down for five minutes. Owners go on by the promises of the other members.
#[test]
fn keys_complete_while_the_table_is_down() {
    let mut world = settled();
    let began = world.now;
    world.apply(Fault::StoreDown { is_down: true });
    load_until(&mut world, began + 300_000);
    let completed = world.truth.completed_percent(began, world.now - WINDOW_MS);
    println!("completed while the table was down for 300 s: {completed}%");
    assert!(completed >= 99, "{completed}%");
    world.apply(Fault::Heal);
    world.run_until(world.now + 5_000);
    assert_eq!(world.open_slots(), SLOT_COUNT);
}

/// The platform is down and an owner dies. Nobody can tell the others that it is gone for good, so
/// no promise of it can be had: all leases run out. Nothing runs twice, and after the platform has
/// come back everything goes on.
#[test]
fn a_death_while_the_table_is_down_stops_keyed_work_until_it_is_back() {
    let mut world = settled();
    world.apply(Fault::StoreDown { is_down: true });
    let began = world.now + 10_000;
    load_until(&mut world, began);
    world.apply(Fault::Crash { process: 3 });
    load_until(&mut world, began + 60_000);
    assert_eq!(world.open_slots(), 0);
    world.apply(Fault::Heal);
    world.run_until(world.now + TAKEN_OVER_MS + grace_ms());
    assert_eq!(world.open_slots(), SLOT_COUNT);
}

/// The platform is down and an owner is stopped as planned. It promises to take nothing over any
/// more, so the others go on; its own slots wait until the platform is back.
#[test]
fn a_planned_stop_while_the_table_is_down_stops_its_own_slots_only() {
    let mut world = settled();
    world.apply(Fault::StoreDown { is_down: true });
    world.run_until(world.now + 3 * LEASE_MS);
    world.apply(Fault::Stop { process: 3 });
    world.run_until(world.now + 2 * LEASE_MS);
    world.apply(Fault::Crash { process: 3 });
    world.run_until(world.now + 60_000);
    assert_eq!(world.open_slots(), SLOT_COUNT - SLOT_COUNT / 4);
}

/// A failure domain is cut off from the others and from the platform. Its owner cannot know
/// whether its slots are taken over, and stops when its lease is over; the others take them over.
#[test]
fn a_domain_cut_off_stops_its_slots_and_the_others_take_them() {
    let mut world = settled();
    let began = world.now;
    let cut_off = 1;
    world.apply(Fault::Cut {
        domain: cut_off,
        from_store: true,
    });
    load_until(&mut world, began + TAKEN_OVER_MS + grace_ms());
    let process = &world.processes[cut_off];
    let inside = process.ledger.open_slots(process.clock(world.now));
    assert_eq!(inside, 0);
    assert_eq!(world.open_slots(), SLOT_COUNT);
    world.apply(Fault::Heal);
    let end = world.now + 20_000;
    load_until(&mut world, end);
    assert_eq!(world.open_slots(), SLOT_COUNT);
}

/// A domain loses the others, but not the platform: reading the row is sign enough.
#[test]
fn a_domain_that_still_reads_the_row_goes_on() {
    let mut world = settled();
    world.apply(Fault::Cut {
        domain: 1,
        from_store: false,
    });
    let end = world.now + 60_000;
    load_until(&mut world, end);
    let completed = world.truth.completed_percent(SETTLED_MS, end - WINDOW_MS);
    println!("completed while one domain lost the others: {completed}%");
    assert_eq!(slots_of(&world, 1), SLOT_COUNT / 4, "its slots were not taken");
    assert!(completed >= 99, "{completed}%");
}

/// A node that stops as planned dies half way through handing its ledger over: the receiver has
/// the ledger, and the row still names the old owner. The receiver must not use the ledger for a
/// later take-over, since keys may have run after the copy was made.
#[test]
fn a_hand_over_that_is_interrupted_ends_in_a_grace_period() {
    for after_ms in (0..120).step_by(3) {
        let mut world = settled();
        let end = world.now + 2_000;
        load_until(&mut world, end);
        world.apply(Fault::Stop { process: 2 });
        let end = world.now + after_ms;
        load_until(&mut world, end);
        world.apply(Fault::Crash { process: 2 });
        let end = world.now + TAKEN_OVER_MS + grace_ms();
        load_until(&mut world, end);
        world.run_until(world.now + LEASE_MS);
        assert_eq!(world.open_slots(), SLOT_COUNT, "stopped for {after_ms} ms");
    }
}

/// The answers of the table are lost half of the time, on the way there and back.
#[test]
fn lost_answers_of_the_table_lose_no_slots() {
    for seed in 0..10 {
        let noise = Noise {
            lost_permille: 300,
            ..Noise::NONE
        };
        let mut world = World::new(seed, 4, 3, noise);
        load_until(&mut world, 60_000);
        let map = world.store.map().expect("a row");
        assert!(map.unowned().is_empty(), "seed {seed}");
        assert!(
            world.open_slots() > SLOT_COUNT / 2,
            "seed {seed}: {}",
            world.open_slots()
        );
    }
}

/// How often the table is asked, for docs/AT_MOST_ONCE.md: reads and writes of one node.
#[test]
fn the_cost_at_the_table_follows_the_lease() {
    let mut world = settled();
    let (reads, writes) = (world.store.reads, world.store.writes);
    world.run_until(world.now + 100 * LEASE_MS);
    let reads = world.store.reads - reads;
    let writes = world.store.writes - writes;
    let row_bytes = world.store.map().expect("a row").encode().len();
    println!("4 nodes, 100 leases: {reads} reads, {writes} writes, row of {row_bytes} bytes");
    assert!((1_100..=1_400).contains(&reads), "{reads} reads");
    assert_eq!(writes, 0);
}
