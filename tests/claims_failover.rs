//! Failures of owners, of the table and of networks, one scenario per test. At every step the
//! simulation asserts that no key runs twice and that no refusal says `not_run` about a key that
//! ran.

mod claims_simulation;

use claims_simulation::Fault;
use claims_simulation::FaultRates;
use claims_simulation::LEASE_MS;
use claims_simulation::Simulation;
use claims_simulation::WINDOW_MS;
use sassafrasgap::claims::ResendLimits;
use sassafrasgap::claims::SLOT_COUNT;

const KEY_INTERVAL_MS: u64 = 20;
/// By this time every slot has an owner and all owners have about the same number of slots.
const SETTLED_MS: u64 = 10_000;
/// Enough time for a complete take-over: detection, announcement, wait and write.
const TAKE_OVER_MS: u64 = 5 * LEASE_MS;

fn grace_ms() -> u64 {
    ResendLimits::new(WINDOW_MS).grace_ms()
}

/// Four nodes in three domains, with the slots balanced between them and no message faults.
fn settled() -> Simulation {
    let mut simulation = Simulation::new(2, 4, 3, FaultRates::NONE);
    simulation.run_until(SETTLED_MS);
    assert_eq!(simulation.open_slots(), SLOT_COUNT);
    simulation
}

/// Sends new keys until `end`, and each of them once more within the resend window.
fn load_until(simulation: &mut Simulation, end: u64) {
    while simulation.now < end {
        simulation.new_key(1);
        simulation.run_until(simulation.now + KEY_INTERVAL_MS);
    }
}

fn slots_of(simulation: &Simulation, process: usize) -> usize {
    let map = simulation.store.map().expect("a row");
    map.slots_of(simulation.processes[process].instance).len()
}

#[test]
fn slots_are_shared_out_and_follow_members_that_join() {
    let mut simulation = settled();
    for process in 0..4 {
        assert_eq!(slots_of(&simulation, process), SLOT_COUNT / 4);
    }
    simulation.apply(Fault::Stop { process: 0 });
    simulation.run_until(simulation.now + 3_000);
    assert!(simulation.processes[0].is_dead, "it left");
    let process = 0;
    let same_vm = false;
    simulation.apply(Fault::Restart { process, same_vm });
    simulation.run_until(simulation.now + 10_000);
    assert_eq!(slots_of(&simulation, 4), SLOT_COUNT / 4);
    assert_eq!(
        simulation.open_slots(),
        SLOT_COUNT,
        "no grace period after hand-overs"
    );
}

/// An owner checks a key and is paused before it dispatches the call. Its lease lapses, another
/// node takes over, and the caller sends the key again there. Then the first owner resumes and
/// dispatches. The new owner has to refuse the resend as `unknown` during the grace period, or the
/// call would run twice.
#[test]
fn a_pause_between_check_and_dispatch_runs_nothing_twice() {
    let mut simulation = settled();
    load_until(&mut simulation, 20_000);
    for process in 0..3 {
        let for_ms = TAKE_OVER_MS + WINDOW_MS / 2;
        simulation.apply(Fault::Pause { process, for_ms });
        let end = simulation.now + 2 * TAKE_OVER_MS + grace_ms();
        load_until(&mut simulation, end);
    }
    assert!(simulation.truth.refusals["grace_period"] > 0);
    assert_eq!(simulation.open_slots(), SLOT_COUNT);
}

/// An owner crashes. Keys of its slots are refused as `unknown` for the grace period, and all slots
/// are open again after it.
#[test]
fn slots_of_a_dead_owner_are_taken_over() {
    let mut simulation = settled();
    simulation.apply(Fault::Crash { process: 1 });
    simulation.run_until(simulation.now + TAKE_OVER_MS);
    let owned: usize = [0, 2, 3].iter().map(|it| slots_of(&simulation, *it)).sum();
    assert_eq!(owned, SLOT_COUNT);
    assert_eq!(
        simulation.open_slots(),
        SLOT_COUNT - SLOT_COUNT / 4,
        "the other slots are in their grace period"
    );
    simulation.run_until(simulation.now + grace_ms());
    assert_eq!(simulation.open_slots(), SLOT_COUNT);
}

/// A process is killed and restarted at once on the same VM, with an empty ledger. A key that the
/// old process ran must not run again in the new one.
#[test]
fn a_restart_with_an_empty_ledger_runs_nothing_twice() {
    let mut simulation = settled();
    for restart in 0..3 {
        let end = simulation.now + 10_000;
        load_until(&mut simulation, end);
        let process = simulation.processes.len() - 1 - restart % 2;
        let same_vm = true;
        simulation.apply(Fault::Crash { process });
        simulation.apply(Fault::Restart { process, same_vm });
        simulation.run_until(simulation.now + 1_000);
        let newest = simulation.processes.len() - 1;
        assert!(
            slots_of(&simulation, newest) > 0,
            "its slots were taken at once"
        );
        let end = simulation.now + grace_ms() + 2_000;
        load_until(&mut simulation, end);
    }
    assert!(simulation.truth.refusals["grace_period"] > 0);
}

/// Two nodes consider a third one gone at the same time and both take its slots over, while their
/// clocks differ and answers of the table are lost.
#[test]
fn two_simultaneous_take_overs_do_not_both_own_a_slot() {
    for seed in 0..20 {
        let fault_rates = FaultRates {
            lost_permille: 200,
            ..FaultRates::NONE
        };
        let mut simulation = Simulation::new(seed, 4, 3, fault_rates);
        simulation.conf.rank_step_ms = 0;
        load_until(&mut simulation, SETTLED_MS);
        simulation.apply(Fault::Crash { process: 0 });
        simulation.apply(Fault::Pause {
            process: 1,
            for_ms: 3 * LEASE_MS,
        });
        let end = simulation.now + 6 * TAKE_OVER_MS + grace_ms();
        load_until(&mut simulation, end);
        assert!(simulation.open_slots() > SLOT_COUNT / 2, "seed {seed}");
    }
}

/// The platform is down for five minutes. Owners continue on the promises of the other members.
#[test]
fn keys_complete_while_the_table_is_down() {
    let mut simulation = settled();
    let began = simulation.now;
    simulation.apply(Fault::StoreDown { is_down: true });
    load_until(&mut simulation, began + 300_000);
    let completed = simulation
        .truth
        .completed_percent(began, simulation.now - WINDOW_MS);
    println!("completed while the table was down for 300 s: {completed}%");
    assert!(completed >= 99, "{completed}%");
    simulation.apply(Fault::Heal);
    simulation.run_until(simulation.now + 5_000);
    assert_eq!(simulation.open_slots(), SLOT_COUNT);
}

/// The platform is down and an owner crashes. The others cannot tell a crash from a pause, and the
/// crashed owner answers no request for a promise, so all leases lapse. Nothing runs twice, and all
/// slots open again after the platform has recovered.
#[test]
fn a_crash_while_the_table_is_down_stops_keyed_calls_until_it_recovers() {
    let mut simulation = settled();
    simulation.apply(Fault::StoreDown { is_down: true });
    let began = simulation.now + 10_000;
    load_until(&mut simulation, began);
    simulation.apply(Fault::Crash { process: 3 });
    load_until(&mut simulation, began + 60_000);
    assert_eq!(simulation.open_slots(), 0);
    simulation.apply(Fault::Heal);
    simulation.run_until(simulation.now + TAKE_OVER_MS + grace_ms());
    assert_eq!(simulation.open_slots(), SLOT_COUNT);
}

/// The platform is down and an owner is stopped as planned. It promises to take over no more
/// slots, so the others continue. Its own slots stay closed until the platform has recovered.
#[test]
fn a_planned_stop_while_the_table_is_down_stops_its_own_slots_only() {
    let mut simulation = settled();
    simulation.apply(Fault::StoreDown { is_down: true });
    simulation.run_until(simulation.now + 3 * LEASE_MS);
    simulation.apply(Fault::Stop { process: 3 });
    simulation.run_until(simulation.now + 2 * LEASE_MS);
    simulation.apply(Fault::Crash { process: 3 });
    simulation.run_until(simulation.now + 60_000);
    assert_eq!(simulation.open_slots(), SLOT_COUNT - SLOT_COUNT / 4);
}

/// A failure domain is cut off from the others and from the platform. The owner in it cannot find
/// out whether its slots have been taken over, so it has to stop when its lease lapses. The others
/// take its slots over.
#[test]
fn a_domain_cut_off_stops_its_slots_and_the_others_take_them() {
    let mut simulation = settled();
    let began = simulation.now;
    let cut_off = 1;
    simulation.apply(Fault::Cut {
        domain: cut_off,
        from_store: true,
    });
    load_until(&mut simulation, began + TAKE_OVER_MS + grace_ms());
    let process = &simulation.processes[cut_off];
    let inside = process.ledger.open_slots(process.clock(simulation.now));
    assert_eq!(inside, 0);
    assert_eq!(simulation.open_slots(), SLOT_COUNT);
    simulation.apply(Fault::Heal);
    let end = simulation.now + 20_000;
    load_until(&mut simulation, end);
    assert_eq!(simulation.open_slots(), SLOT_COUNT);
}

/// A domain is cut off from the others but not from the platform. The owner in it renews its lease
/// by reading the row and keeps its slots.
#[test]
fn a_domain_that_still_reads_the_row_keeps_its_slots() {
    let mut simulation = settled();
    simulation.apply(Fault::Cut {
        domain: 1,
        from_store: false,
    });
    let end = simulation.now + 60_000;
    load_until(&mut simulation, end);
    let completed = simulation
        .truth
        .completed_percent(SETTLED_MS, end - WINDOW_MS);
    println!("completed while one domain was cut off from the others: {completed}%");
    assert_eq!(
        slots_of(&simulation, 1),
        SLOT_COUNT / 4,
        "its slots were not taken"
    );
    assert!(completed >= 99, "{completed}%");
}

/// A node that stops as planned crashes during a hand-over: the receiver has the ledger, and the
/// row still names the old owner. The receiver must not use that ledger for a later take-over,
/// because keys may have run after the copy was made. So the slots have to go through a grace
/// period.
#[test]
fn a_hand_over_that_is_interrupted_ends_in_a_grace_period() {
    for after_ms in (0..120).step_by(3) {
        let mut simulation = settled();
        let end = simulation.now + 2_000;
        load_until(&mut simulation, end);
        simulation.apply(Fault::Stop { process: 2 });
        let end = simulation.now + after_ms;
        load_until(&mut simulation, end);
        simulation.apply(Fault::Crash { process: 2 });
        let end = simulation.now + TAKE_OVER_MS + grace_ms();
        load_until(&mut simulation, end);
        simulation.run_until(simulation.now + LEASE_MS);
        assert_eq!(
            simulation.open_slots(),
            SLOT_COUNT,
            "stopped for {after_ms} ms"
        );
    }
}

/// Each message to or from the table is lost with a probability of 30%, so about half of the
/// requests get no answer.
#[test]
fn lost_answers_of_the_table_lose_no_slots() {
    for seed in 0..10 {
        let fault_rates = FaultRates {
            lost_permille: 300,
            ..FaultRates::NONE
        };
        let mut simulation = Simulation::new(seed, 4, 3, fault_rates);
        load_until(&mut simulation, 60_000);
        let map = simulation.store.map().expect("a row");
        assert!(map.unowned().is_empty(), "seed {seed}");
        assert!(
            simulation.open_slots() > SLOT_COUNT / 2,
            "seed {seed}: {}",
            simulation.open_slots()
        );
    }
}

/// Measures the load on the table for docs/AT_MOST_ONCE.md: reads and writes of four nodes.
#[test]
fn the_cost_at_the_table_follows_the_lease() {
    let mut simulation = settled();
    let (reads, writes) = (simulation.store.reads, simulation.store.writes);
    simulation.run_until(simulation.now + 100 * LEASE_MS);
    let reads = simulation.store.reads - reads;
    let writes = simulation.store.writes - writes;
    let row_bytes = simulation.store.map().expect("a row").encode().len();
    println!("4 nodes, 100 leases: {reads} reads, {writes} writes, row of {row_bytes} bytes");
    assert!((1_100..=1_400).contains(&reads), "{reads} reads");
    assert_eq!(writes, 0);
}
