//! Targets that accept calls and fail many of them.

mod fake_targets;

use std::sync::Arc;

use fake_targets::pick_context;
use fake_targets::target;
use rstest::rstest;
use sassafrasgap::core::FastMap;
use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::TimeMs;
use sassafrasgap::routing::FailureRate;
use sassafrasgap::routing::Pick;
use sassafrasgap::routing::PickerConf;
use sassafrasgap::routing::TargetStats;
use sassafrasgap::routing::pick;

const NOW: TimeMs = TimeMs(60_000);
const CALLS: u32 = 2_000;

/// The number of calls from domain `a` that go to each target, by the failure rate of the targets.
fn calls_by_target(targets: &[(&str, &str, u32)]) -> FastMap<Name, u32> {
    calls_by_target_with_load(targets, 2)
}

/// The same while `in_flight` of the ten slots of each target are in use.
fn calls_by_target_with_load(targets: &[(&str, &str, u32)], in_flight: u32) -> FastMap<Name, u32> {
    let mut stats = FastMap::default();
    for (name, _, failing_permille) in targets {
        let mut known = TargetStats::new(TimeMs(0));
        known.in_flight = in_flight;
        known.record_failing(*failing_permille, NOW);
        stats.insert(Name::from(*name), known);
    }
    let targets: Vec<Arc<Target>> = targets
        .iter()
        .map(|(name, domain, _)| Arc::new(target(name, domain)))
        .collect();
    let choice = pick_context(&targets, &stats);
    let mut random = fastrand::Rng::with_seed(7);
    let mut sent = FastMap::default();
    for _ in 0..CALLS {
        let picked = pick(&choice, &PickerConf::default(), NOW, |n| random.usize(..n));
        let Pick::Take(target) = picked else {
            panic!("no target was picked although all take work");
        };
        *sent.entry(target.node.clone()).or_default() += 1;
    }
    sent
}

fn sent(calls: &FastMap<Name, u32>, name: &str) -> u32 {
    calls.get(name).copied().unwrap_or(0)
}

/// One target refuses or breaks nearly half of its calls. It answers fast and so looks idle, and it
/// is the only one in its callers' domain. It gets a call now and then, to see whether it has
/// recovered.
#[rstest]
fn a_failing_target_is_avoided_but_probed() {
    let calls = calls_by_target(&[("a1", "a", 450), ("b1", "b", 4), ("c1", "c", 0)]);
    let tried = sent(&calls, "a1");
    assert!(tried > 0 && tried < CALLS / 12, "{tried}");
}

/// A service downstream of all targets fails, and so do they. None is better, so none is avoided
/// and calls stay in their domain.
#[rstest]
fn targets_that_fail_alike_share_the_calls() {
    let calls = calls_by_target(&[("a1", "a", 550), ("b1", "b", 400), ("c1", "c", 610)]);
    assert_eq!(sent(&calls, "a1"), CALLS);
}

/// All targets are busy, and one of them fails nearly half of its calls. Avoiding it would take its
/// remaining successes from a service without spare capacity, so calls are spread as usual.
#[rstest]
fn without_room_elsewhere_none_is_avoided() {
    let calls = calls_by_target_with_load(&[("a1", "a", 450), ("b1", "b", 4), ("c1", "c", 0)], 9);
    assert_eq!(sent(&calls, "a1"), CALLS);
}

/// Some calls always fail. That is no reason to leave a target of the own domain.
#[rstest]
fn ordinary_failures_do_no_harm() {
    let calls = calls_by_target(&[("a1", "a", 60), ("b1", "b", 0)]);
    assert_eq!(sent(&calls, "a1"), CALLS);
}

/// A few calls give no failure rate. Old calls lose weight, so that a target without calls stops
/// counting as a failing one.
#[rstest]
fn a_failure_rate_needs_calls_and_decays() {
    let mut rate = FailureRate::default();
    for _ in 0..5 {
        rate.record(TimeMs(1_000), true);
    }
    assert_eq!(rate.permille(TimeMs(1_000)), 0);
    for _ in 0..15 {
        rate.record(TimeMs(1_000), false);
    }
    assert_eq!(rate.permille(TimeMs(1_000)), 250);
    assert_eq!(rate.permille(TimeMs(6_000)), 0);
    for _ in 0..20 {
        rate.record(TimeMs(6_000), false);
    }
    let later = rate.permille(TimeMs(6_000));
    assert!(later < 50, "{later}");
}
