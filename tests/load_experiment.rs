//! The arithmetic of experiments: variants, spreads, and rows over rounds.

use rstest::rstest;

use sassafrasgap::conf::NodeSettings;
use sassafrasgap::errors::ExperimentError;
use sassafrasgap::load::experiment::Chain;
use sassafrasgap::load::experiment::OverloadRun;
use sassafrasgap::load::experiment::ProcessUsage;
use sassafrasgap::load::experiment::Spread;
use sassafrasgap::load::experiment::Variant;
use sassafrasgap::load::experiment::overload_rows;
use sassafrasgap::load::experiment::render_overload;

fn settings() -> NodeSettings {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    let addresses = [1, 2, 3, 4, 5].map(address);
    let platform = address(6);
    NodeSettings::with_defaults("n".into(), "r".into(), "d".into(), addresses, platform)
}

#[test]
fn a_variant_changes_the_settings_that_it_names() {
    let text = "calm:control_enabled=false,traffic_threads=7";
    let variant: Variant = text.parse().expect("both keys are known");
    let mut changed = settings();
    variant.apply(&mut changed);
    let expected = NodeSettings {
        control_enabled: false,
        traffic_threads: 7,
        ..settings()
    };
    assert_eq!(variant.name, "calm");
    assert_eq!(changed, expected);
}

#[rstest]
#[case::unknown_key("v:colour=red", "colour=red")]
#[case::wrong_value("v:silence_ms=soon", "silence_ms=soon")]
#[case::no_value("v:silence_ms", "silence_ms")]
fn a_change_that_makes_no_sense_is_named(#[case] text: &str, #[case] named: &str) {
    let error = text.parse::<Variant>().expect_err("it makes no sense");
    assert!(matches!(error, ExperimentError::Change { text } if text == named));
}

#[rstest]
#[case::odd(vec![3.0, 1.0, 2.0], 2.0)]
#[case::even(vec![4.0, 1.0, 2.0, 3.0], 2.5)]
fn a_spread_has_the_median_and_the_ends(#[case] values: Vec<f64>, #[case] median: f64) {
    let spread = Spread::of(values.clone()).expect("there are values");
    assert!((spread.median - median).abs() < 1e-9);
    assert!((spread.least - 1.0).abs() < 1e-9);
    assert_eq!(spread.rounds, values.len());
    assert_eq!(Spread::of([]), None);
}

#[test]
fn the_capacity_of_a_chain_is_that_of_its_last_service() {
    let chain = Chain {
        depth: 4,
        targets_per_service: 2,
        last_slots: 8,
        last_service_ms: 50.0,
    };
    assert!((chain.capacity_per_s(2.0) - 160.0).abs() < 1e-9);
    assert_eq!(chain.last_service(), "s4");
}

fn run(factor: f64, variant: &str, round: usize, goodput_per_s: f64) -> OverloadRun {
    OverloadRun {
        surge_goodput_per_s: goodput_per_s,
        recovery_ms: (round == 1).then_some(500),
        ..OverloadRun::of(2, factor, variant, round)
    }
}

#[test]
fn ratios_are_taken_within_a_round() {
    let runs = [
        run(1.0, "controlled", 1, 100.0),
        run(1.0, "baseline", 1, 100.0),
        run(4.0, "controlled", 1, 90.0),
        run(4.0, "baseline", 1, 30.0),
        run(1.0, "controlled", 2, 50.0),
        run(1.0, "baseline", 2, 50.0),
        run(4.0, "controlled", 2, 50.0),
        run(4.0, "baseline", 2, 10.0),
    ];
    let rows = overload_rows(&runs);
    assert_eq!(rows.len(), 4);
    let overloaded = &rows[2];
    let to_least_load = overloaded.to_least_load.expect("both rounds have one");
    let to_baseline = overloaded.to_baseline.expect("both rounds have one");
    assert!((to_least_load.least - 0.9).abs() < 1e-9);
    assert!((to_least_load.most - 1.0).abs() < 1e-9);
    assert!((to_baseline.least - 3.0).abs() < 1e-9);
    assert!((to_baseline.most - 5.0).abs() < 1e-9);
    assert_eq!(overloaded.not_recovered, 1);
    assert!(render_overload(&rows).contains("(1 of the rounds never)"));
}

#[test]
fn the_usage_of_a_process_is_read() {
    let usage = ProcessUsage::of(std::process::id()).expect("this process runs");
    assert!(usage.resident_kb > 0);
    assert_eq!(ProcessUsage::of(u32::MAX), None);
}
