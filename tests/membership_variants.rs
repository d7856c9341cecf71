//! A comparison of settings for spreading updates.
//!
//! `MEMBERSHIP_NODES_PER_DOMAIN=80 cargo test --release --test membership_variants -- --nocapture`
//! prints the table of docs/MEMBERSHIP.md at 720 nodes.

mod membership_net;

use std::env;

use rstest::rstest;

use membership_net::Net;
use membership_net::Node;
use membership_net::Shape;
use sassafrasgap::core::TargetState;
use sassafrasgap::membership::MembershipSettings;

const SEEDS: [u64; 3] = [21, 22, 23];
const LIMIT_MS: u64 = 60_000;
const PHASE_MS: u64 = 10_000;

fn shape() -> Shape {
    let from_env = env::var("MEMBERSHIP_NODES_PER_DOMAIN").ok();
    Shape {
        regions: 3,
        domains_per_region: 3,
        nodes_per_domain: from_env.and_then(|text| text.parse().ok()).unwrap_or(8),
    }
}

/// The results of one variant with one seed.
#[derive(Debug)]
struct VariantResult {
    idle_bytes_per_s: u64,
    drain_ms: u64,
    death_ms: u64,
    false_deaths: usize,
}

fn run_variant(settings: MembershipSettings, loss: f64, seed: u64) -> VariantResult {
    let mut net = Net::joined_with(shape(), seed, settings);
    net.loss = loss;
    net.run_ms(PHASE_MS);
    let (idle_bytes_per_s, _) = net.bytes_per_s(PHASE_MS);
    let dead = |node: &Node| node.count(TargetState::Dead);
    let false_deaths = net.nodes.iter().map(dead).max().unwrap_or(0);
    let (drained, killed) = (net.name_of(1), net.name_of(2));
    net.set_state(1, TargetState::Draining);
    let drain_ms = net.ms_until(LIMIT_MS, |node| {
        node.state_of(&drained) == Some(TargetState::Draining)
    });
    net.kill(2);
    let death_ms = net.ms_until(LIMIT_MS, |node| {
        node.state_of(&killed) == Some(TargetState::Dead)
    });
    VariantResult {
        idle_bytes_per_s,
        drain_ms: drain_ms.unwrap_or(LIMIT_MS),
        death_ms: death_ms.unwrap_or(LIMIT_MS),
        false_deaths,
    }
}

fn run_seeds(name: &str, settings: MembershipSettings, loss: f64) -> Vec<VariantResult> {
    let results: Vec<VariantResult> = SEEDS
        .into_iter()
        .map(|seed| run_variant(settings, loss, seed))
        .collect();
    for run in &results {
        let (bytes, drain, death) = (run.idle_bytes_per_s, run.drain_ms, run.death_ms);
        println!("{name}: idle {bytes} B/s, drain {drain} ms, death {death} ms");
    }
    results
}

#[rstest]
fn pushed_updates_are_faster_than_updates_piggybacked_on_probes() {
    // A target drains. While the update travels only on probes, entries continue to send it work,
    // which its guard refuses. Each such call costs another attempt.
    let probes_only = MembershipSettings {
        rumor_fan_out: 0,
        ..MembershipSettings::default()
    };
    let pushed = run_seeds("pushed to 4", MembershipSettings::default(), 0.0);
    let piggybacked = run_seeds("on probes only", probes_only, 0.0);
    for (pushed, piggybacked) in pushed.iter().zip(&piggybacked) {
        assert!(
            pushed.drain_ms < piggybacked.drain_ms,
            "{pushed:?} {piggybacked:?}"
        );
    }
}

#[rstest]
#[case::two("pushed to 2", MembershipSettings { rumor_fan_out: 2, ..MembershipSettings::default() })]
#[case::eight("pushed to 8", MembershipSettings { rumor_fan_out: 8, ..MembershipSettings::default() })]
#[case::three("suspicion of 4 s", MembershipSettings { suspicion_ms: 4_000, ..MembershipSettings::default() })]
fn other_settings_spread_updates_too(#[case] name: &str, #[case] settings: MembershipSettings) {
    for result in run_seeds(name, settings, 0.0) {
        assert!(result.drain_ms <= 5_000, "{result:?}");
        assert_eq!(result.false_deaths, 0, "{result:?}");
    }
}

#[rstest]
#[case::two("suspicion of 2 s, 5% loss", 2_000)]
#[case::three("suspicion of 3 s, 5% loss", 3_000)]
fn loss_delays_updates_but_does_not_stop_them(#[case] name: &str, #[case] suspicion_ms: u64) {
    let settings = MembershipSettings {
        suspicion_ms,
        ..MembershipSettings::default()
    };
    for result in run_seeds(name, settings, 0.05) {
        assert!(result.drain_ms <= 8_000, "{result:?}");
        assert_eq!(result.false_deaths, 0, "{result:?}");
    }
}
