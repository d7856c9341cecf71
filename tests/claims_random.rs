//! Long randomised runs of `claims` with all kinds of faults, single and combined.
//!
//! `SASSAFRASGAP_SEEDS` sets the number of seeds and `SASSAFRASGAP_FROM` the first seed. A failure
//! names its seed, and the same seed repeats the same run.

mod claims_simulation;
mod seeds;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use claims_simulation::Fault;
use claims_simulation::FaultRates;
use claims_simulation::Simulation;
use seeds::seeds;

/// Number of seeds in a default run.
const SEEDS_IN_CI: u64 = 60;
const RUN_MS: u64 = 240_000;
const NODES: usize = 4;
const DOMAINS: usize = 3;
const KEY_INTERVAL_MS: u64 = 120;

#[test]
fn no_key_runs_twice_under_random_faults() {
    let seeds = seeds(1, SEEDS_IN_CI);
    let mut completed = 0;
    let mut sent = 0;
    for seed in seeds.clone() {
        let result = catch_unwind(AssertUnwindSafe(|| run_seed(seed)));
        let simulation = result.unwrap_or_else(|_| panic!("failing seed: {seed}"));
        completed += simulation.truth.completed.len();
        sent += simulation.truth.sent.len();
    }
    println!(
        "{} seeds, {sent} keys sent, {completed} completed",
        seeds.end - seeds.start
    );
    assert!(
        completed * 4 > sent,
        "fewer than a quarter of the keys completed"
    );
}

fn run_seed(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, NODES, DOMAINS, FaultRates::HEAVY);
    let mut next_fault = 8_000;
    while simulation.now < RUN_MS {
        let resends = simulation.rng.u64(0..4);
        simulation.new_key(resends);
        if simulation.now >= next_fault {
            let fault = random_fault(&mut simulation);
            simulation.apply(fault);
            next_fault = simulation.now + simulation.rng.u64(200..12_000);
        }
        simulation.run_until(simulation.now + KEY_INTERVAL_MS);
    }
    simulation
}

fn random_fault(simulation: &mut Simulation) -> Fault {
    let live_processes = simulation.live_processes();
    if live_processes.len() < 2 {
        let process = simulation.processes.len() - 1 - simulation.rng.usize(0..NODES);
        let same_vm = simulation.rng.bool();
        return Fault::Restart { process, same_vm };
    }
    let process = live_processes[simulation.rng.usize(0..live_processes.len())];
    match simulation.rng.u32(0..16) {
        0..3 => Fault::Pause {
            process,
            for_ms: simulation.rng.u64(500..60_000),
        },
        3 => {
            simulation.apply(Fault::Crash { process });
            Fault::Restart {
                process,
                same_vm: true,
            }
        }
        4 => Fault::Crash { process },
        5 => Fault::Restart {
            process,
            same_vm: simulation.rng.bool(),
        },
        6 => Fault::Isolate {
            process,
            is_isolated: !simulation.processes[process].is_isolated,
        },
        7 => Fault::Serve {
            process,
            serving: !simulation.processes[process].serving,
        },
        8 => {
            simulation.apply(Fault::Stop { process });
            Fault::Restart {
                process,
                same_vm: false,
            }
        }
        9 => Fault::StoreDown {
            is_down: !simulation.store.is_down,
        },
        10 => Fault::StoreSlow {
            slow_ms: simulation.rng.u64(0..4_000),
        },
        11 | 12 => Fault::Cut {
            domain: simulation.rng.usize(0..DOMAINS),
            from_store: simulation.rng.bool(),
        },
        _ => Fault::Heal,
    }
}
