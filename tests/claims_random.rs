//! Long randomised runs of `claims` under every fault of the brief, alone, twice and together.
//!
//! `SASSAFRASGAP_SEEDS` says how many seeds to play and `SASSAFRASGAP_FROM` with which to begin;
//! a failure names its seed, and the same seed plays the same run again.

mod claims_world;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use claims_world::Fault;
use claims_world::Noise;
use claims_world::World;

/// Seeds that every run of the tests plays.
const SEEDS_IN_CI: u64 = 60;
const RUN_MS: u64 = 240_000;
const NODES: usize = 4;
const DOMAINS: usize = 3;
const KEY_EVERY_MS: u64 = 120;

fn from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn no_key_runs_twice_whatever_happens() {
    let from = from_environment("SASSAFRASGAP_FROM", 1);
    let seeds = from_environment("SASSAFRASGAP_SEEDS", SEEDS_IN_CI);
    let mut completed = 0;
    let mut sent = 0;
    for seed in from..from + seeds {
        let played = catch_unwind(AssertUnwindSafe(|| play(seed)));
        let world = played.unwrap_or_else(|_| panic!("failing seed: {seed}"));
        completed += world.truth.completed.len();
        sent += world.truth.sent.len();
    }
    println!("{seeds} seeds, {sent} keys sent, {completed} completed");
    assert!(completed * 4 > sent, "hardly anything completed");
}

fn play(seed: u64) -> World {
    let mut world = World::new(seed, NODES, DOMAINS, Noise::HEAVY);
    let mut next_fault = 8_000;
    while world.now < RUN_MS {
        let resends = world.rng.u64(0..4);
        world.new_key(resends);
        if world.now >= next_fault {
            let fault = random_fault(&mut world);
            world.apply(fault);
            next_fault = world.now + world.rng.u64(200..12_000);
        }
        world.run_until(world.now + KEY_EVERY_MS);
    }
    world
}

fn random_fault(world: &mut World) -> Fault {
    let living = world.living();
    if living.len() < 2 {
        let process = world.processes.len() - 1 - world.rng.usize(0..NODES);
        let same_vm = world.rng.bool();
        return Fault::Restart { process, same_vm };
    }
    let process = living[world.rng.usize(0..living.len())];
    match world.rng.u32(0..16) {
        0..3 => Fault::Pause {
            process,
            for_ms: world.rng.u64(500..60_000),
        },
        3 => {
            world.apply(Fault::Crash { process });
            Fault::Restart {
                process,
                same_vm: true,
            }
        }
        4 => Fault::Crash { process },
        5 => Fault::Restart {
            process,
            same_vm: world.rng.bool(),
        },
        6 => Fault::Isolate {
            process,
            is_isolated: !world.processes[process].is_isolated,
        },
        7 => Fault::Serve {
            process,
            serving: !world.processes[process].serving,
        },
        8 => {
            world.apply(Fault::Stop { process });
            Fault::Restart {
                process,
                same_vm: false,
            }
        }
        9 => Fault::StoreDown {
            is_down: !world.store.is_down,
        },
        10 => Fault::StoreSlow {
            slow_ms: world.rng.u64(0..4_000),
        },
        11 | 12 => Fault::Cut {
            domain: world.rng.usize(0..DOMAINS),
            from_store: world.rng.bool(),
        },
        _ => Fault::Heal,
    }
}
