//! Whole call chains under overload, in virtual time.

mod fake_chain;

use rstest::rstest;

use fake_chain::Control;
use fake_chain::Order;
use fake_chain::Report;
use fake_chain::Scenario;

/// A surge of five seconds: long enough to settle, and short enough for every test run.
const SHORT: Scenario = Scenario {
    surge_to_ms: 10_000,
    end_ms: 15_000,
    ..Scenario::ORDINARY
};

/// The topology of `sassafrasgap-load experiment overload`.
const MESH: Scenario = Scenario {
    targets: 2,
    slots: 200,
    deep_slots: 8,
    own_us: 1_000,
    deep_us: 50_000,
    spread_percent: 100,
    slow_percent: 200,
    classes: [10, 5, 35, 50],
    ..Scenario::ORDINARY
};

fn print_row(name: &str, scenario: &Scenario, report: &Report) {
    let lost: Vec<String> = (0..4)
        .map(|class| format!("{:.1}", report.lost_percent(class, scenario)))
        .collect();
    println!(
        "{name:<12} depth={} surge={}% goodput={:.0}/s ({:.0}%) wasted={:.1}%/{:.1}% lost%={} p99={}ms rec={}ms relapses={} | before {:.0}/s p99={}ms failed={:.2}%",
        scenario.depth,
        scenario.surge_percent,
        report.surge_goodput(scenario),
        report.surge_goodput(scenario) * 100.0 / scenario.slow_capacity(),
        report.wasted_percent(),
        report.wasted_runs_percent(scenario),
        lost.join("/"),
        report.latency_us(99, scenario.surge_from_ms + 1000, scenario.surge_to_ms) / 1000,
        report.recovery_ms(scenario),
        report.relapses(scenario),
        report.goodput(scenario.settled_ms, scenario.surge_from_ms),
        report.latency_us(99, scenario.settled_ms, scenario.surge_from_ms) / 1000,
        report.ordinary_failures_percent(scenario),
    );
}

// The deep service becomes three times as slow while demand surges. Callers resend ten times, 100
// ms apart, and ignore Retry-After. Without control hardly a request completes, even long after the
// cause is gone, because every hop works for requests that fail deeper.
#[rstest]
#[case(2)]
#[case(4)]
#[case(8)]
fn a_surge_on_a_slow_deep_service_costs_only_the_least_important_class(#[case] depth: usize) {
    let scenario = Scenario { depth, ..SHORT };
    let report = fake_chain::run(&scenario);
    print_row("Levels", &scenario, &report);
    assert!(report.surge_goodput(&scenario) >= 0.9 * scenario.slow_capacity());
    assert!(report.wasted_percent() < 5.0);
    assert!(report.recovery_ms(&scenario) < 2_000);
    assert_eq!(report.relapses(&scenario), 0);
    assert_eq!(report.lost_percent(0, &scenario), 0.0);
    assert!(report.lost_percent(2, &scenario) > 90.0);
    assert_eq!(report.not_run_after_start, 0);
}

#[test]
fn the_baseline_reaches_less_than_a_third_of_that_goodput() {
    let scenario = Scenario {
        depth: 2,
        control: Control::Baseline,
        ..SHORT
    };
    let report = fake_chain::run(&scenario);
    print_row("Baseline", &scenario, &report);
    assert!(report.surge_goodput(&scenario) * 3.0 < 0.9 * scenario.slow_capacity());
}

// The deep backend servers announce ten times the slots they have, queue the rest inside, and slow
// down under a surge. Guards against a limit that trusts the announced slots: answers would come
// late and in no order of importance.
#[test]
fn overstated_slots_do_not_hide_an_internal_queue() {
    let scenario = Scenario {
        announced_percent: 1_000,
        ..SHORT
    };
    let report = fake_chain::run(&scenario);
    print_row("overstated", &scenario, &report);
    assert!(report.surge_goodput(&scenario) >= 0.9 * scenario.slow_capacity());
    assert!(report.wasted_percent() < 5.0);
    assert!(report.recovery_ms(&scenario) < 2_000);
    assert_eq!(report.lost_percent(0, &scenario), 0.0);
}

// As in the test above, but the backend servers refuse what exceeds their slots. Guards against
// calls that are shed regardless of their importance after every hop above has worked for them.
#[test]
fn a_backend_server_that_sheds_lowers_its_limit() {
    let scenario = Scenario {
        announced_percent: 1_000,
        sheds: true,
        ..SHORT
    };
    let report = fake_chain::run(&scenario);
    print_row("sheds", &scenario, &report);
    assert!(report.surge_goodput(&scenario) >= 0.9 * scenario.slow_capacity());
    assert!(report.wasted_percent() < 5.0);
    assert_eq!(report.lost_percent(0, &scenario), 0.0);
}

// A backend server joins at ordinary load and is four times as slow in its first three seconds.
// Given its full share at once it would answer late, and callers would resend.
#[test]
fn a_cold_target_loses_no_request() {
    let scenario = Scenario {
        targets: 6,
        joins_ms: 3_000,
        warm_ms: 6_000,
        surge_percent: 100,
        slow_percent: 150,
        surge_from_ms: 8_000,
        surge_to_ms: 8_100,
        end_ms: 8_500,
        ..SHORT
    };
    let report = fake_chain::run(&scenario);
    let sent = report.done.len();
    assert!(report.lost.is_empty());
    let failed = report.failed_at_ms.iter().filter(|&&at| at > 2_500).count();
    assert!(
        failed * 100 < sent,
        "{failed} attempts failed beside {sent} requests"
    );
}

/// The comparison of docs/ADMISSION.md; run it by name with `--ignored --nocapture` in release.
#[test]
#[ignore = "a comparison to read, without an outcome of its own"]
fn comparison() {
    for depth in [2, 4, 8] {
        for surge_percent in [100, 200, 400] {
            for control in [Control::Baseline, Control::Local, Control::Levels] {
                let scenario = Scenario {
                    depth,
                    surge_percent,
                    control,
                    ..Scenario::default()
                };
                print_row(
                    &format!("{control:?}"),
                    &scenario,
                    &fake_chain::run(&scenario),
                );
            }
        }
    }
    for order in [Order::Rank, Order::Fifo, Order::Lifo, Order::Deadline] {
        let scenario = Scenario {
            order,
            ..Scenario::default()
        };
        print_row(
            &format!("{order:?}"),
            &scenario,
            &fake_chain::run(&scenario),
        );
    }
}

#[test]
#[ignore = "a comparison to read, without an outcome of its own"]
fn limits() {
    for (name, announced_percent, sheds, surge_percent, slow_percent, surge_to_ms) in [
        ("exact", 100, false, 100, 300, 15_000),
        ("exact", 100, false, 400, 300, 15_000),
        ("overstated", 1_000, false, 100, 300, 15_000),
        ("overstated", 1_000, false, 400, 100, 15_000),
        ("overstated", 1_000, false, 400, 300, 15_000),
        ("overstated, long", 1_000, false, 400, 300, 95_000),
        ("overstated, sheds", 1_000, true, 400, 300, 15_000),
    ] {
        let end_ms = surge_to_ms + 10_000;
        let mut all = Vec::new();
        for seed in 1..=3 {
            let scenario = Scenario {
                seed,
                announced_percent,
                sheds,
                slow_percent,
                surge_percent,
                surge_to_ms,
                end_ms,
                ..Scenario::default()
            };
            let report = fake_chain::run(&scenario);
            all.push(format!(
                "{:.0}%/{:.1}%/{}ms",
                report.surge_goodput(&scenario) * 100.0 / scenario.slow_capacity(),
                report.wasted_percent(),
                report.recovery_ms(&scenario)
            ));
            if seed == 1 {
                print_row(name, &scenario, &report);
            }
        }
        println!(
            "   {name} surge={surge_percent} slow={slow_percent} {}",
            all.join("  ")
        );
    }
}

/// Variants of load and callers; run it by name with `--ignored --nocapture` in release.
#[test]
#[ignore = "a comparison to read, without an outcome of its own"]
fn variants() {
    let ordinary = Scenario::default();
    let all = [
        (
            "shallow half",
            Scenario {
                shallow_percent: 50,
                ..ordinary.clone()
            },
        ),
        ("mesh x4", MESH),
        (
            "mesh x2",
            Scenario {
                surge_percent: 200,
                ..MESH
            },
        ),
        (
            "mesh x1",
            Scenario {
                surge_percent: 100,
                ..MESH
            },
        ),
        (
            "few slots above",
            Scenario {
                shallow_percent: 50,
                slots: 40,
                ..ordinary.clone()
            },
        ),
        (
            "very slow",
            Scenario {
                shallow_percent: 80,
                slots: 40,
                slow_percent: 2_000,
                ..ordinary.clone()
            },
        ),
        (
            "new rank",
            Scenario {
                new_rank: true,
                ..ordinary.clone()
            },
        ),
        (
            "polite",
            Scenario {
                polite: true,
                ..ordinary.clone()
            },
        ),
        (
            "one class",
            Scenario {
                classes: [0, 0, 100, 0],
                ..ordinary.clone()
            },
        ),
        (
            "important",
            Scenario {
                classes: [30, 0, 0, 70],
                ..ordinary.clone()
            },
        ),
        (
            "10x",
            Scenario {
                surge_percent: 1_000,
                ..ordinary.clone()
            },
        ),
        (
            "slow service",
            Scenario {
                deep_us: 300_000,
                own_us: 20_000,
                ..ordinary.clone()
            },
        ),
        (
            "small",
            Scenario {
                deep_slots: 4,
                targets: 2,
                ..ordinary.clone()
            },
        ),
        (
            "many targets",
            Scenario {
                targets: 12,
                ..ordinary.clone()
            },
        ),
        (
            "long",
            Scenario {
                surge_to_ms: 65_000,
                end_ms: 75_000,
                ..ordinary.clone()
            },
        ),
        (
            "heals early",
            Scenario {
                slow_percent: 100,
                ..ordinary.clone()
            },
        ),
    ];
    for (name, scenario) in all {
        for depth in [3, 8] {
            let scenario = Scenario {
                depth,
                ..scenario.clone()
            };
            let report = fake_chain::run(&scenario);
            print_row(name, &scenario, &report);
        }
    }
}
