//! Whole call chains under overload, in virtual time.

mod fake_chain;

use rstest::rstest;

use fake_chain::Control;
use fake_chain::Order;
use fake_chain::Report;
use fake_chain::Story;

/// A surge of five seconds: long enough to settle, and short enough for every test run.
const SHORT: Story = Story {
    surge_to_ms: 10_000,
    end_ms: 15_000,
    ..Story::ORDINARY
};

/// The topology of `sassafrasgap-load experiment overload`.
const MESH: Story = Story {
    targets: 2,
    slots: 200,
    deep_slots: 8,
    own_us: 1_000,
    deep_us: 50_000,
    spread_percent: 100,
    slow_percent: 200,
    classes: [10, 5, 35, 50],
    ..Story::ORDINARY
};

fn print_row(name: &str, story: &Story, report: &Report) {
    let lost: Vec<String> = (0..4)
        .map(|class| format!("{:.1}", report.lost_percent(class, story)))
        .collect();
    println!(
        "{name:<12} depth={} surge={}% goodput={:.0}/s ({:.0}%) wasted={:.1}%/{:.1}% lost%={} p99={}ms rec={}ms relapses={} | before {:.0}/s p99={}ms failed={:.2}%",
        story.depth,
        story.surge_percent,
        report.surge_goodput(story),
        report.surge_goodput(story) * 100.0 / story.slow_capacity(),
        report.wasted_percent(),
        report.wasted_runs_percent(story),
        lost.join("/"),
        report.latency_us(99, story.surge_from_ms + 1000, story.surge_to_ms) / 1000,
        report.recovery_ms(story),
        report.relapses(story),
        report.goodput(story.settled_ms, story.surge_from_ms),
        report.latency_us(99, story.settled_ms, story.surge_from_ms) / 1000,
        report.ordinary_failures_percent(story),
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
    let story = Story { depth, ..SHORT };
    let report = fake_chain::run(&story);
    print_row("Levels", &story, &report);
    assert!(report.surge_goodput(&story) >= 0.9 * story.slow_capacity());
    assert!(report.wasted_percent() < 5.0);
    assert!(report.recovery_ms(&story) < 2_000);
    assert_eq!(report.relapses(&story), 0);
    assert_eq!(report.lost_percent(0, &story), 0.0);
    assert!(report.lost_percent(2, &story) > 90.0);
    assert_eq!(report.not_run_after_start, 0);
}

#[test]
fn the_baseline_reaches_less_than_a_third_of_that_goodput() {
    let story = Story {
        depth: 2,
        control: Control::Baseline,
        ..SHORT
    };
    let report = fake_chain::run(&story);
    print_row("Baseline", &story, &report);
    assert!(report.surge_goodput(&story) * 3.0 < 0.9 * story.slow_capacity());
}

// The deep backend servers announce ten times the slots they have, queue the rest inside, and slow
// down under a surge. Guards against a limit that trusts the announced slots: answers would come
// late and in no order of importance.
#[test]
fn overstated_slots_do_not_hide_an_internal_queue() {
    let story = Story {
        announced_percent: 1_000,
        ..SHORT
    };
    let report = fake_chain::run(&story);
    print_row("overstated", &story, &report);
    assert!(report.surge_goodput(&story) >= 0.9 * story.slow_capacity());
    assert!(report.wasted_percent() < 5.0);
    assert!(report.recovery_ms(&story) < 2_000);
    assert_eq!(report.lost_percent(0, &story), 0.0);
}

// As in the test above, but the backend servers refuse what exceeds their slots. Guards against
// calls that are shed regardless of their importance after every hop above has worked for them.
#[test]
fn a_backend_server_that_sheds_lowers_its_limit() {
    let story = Story {
        announced_percent: 1_000,
        sheds: true,
        ..SHORT
    };
    let report = fake_chain::run(&story);
    print_row("sheds", &story, &report);
    assert!(report.surge_goodput(&story) >= 0.9 * story.slow_capacity());
    assert!(report.wasted_percent() < 5.0);
    assert_eq!(report.lost_percent(0, &story), 0.0);
}

// A backend server joins at ordinary load and is four times as slow in its first three seconds.
// Given its full share at once it would answer late, and callers would resend.
#[test]
fn a_cold_target_loses_no_request() {
    let story = Story {
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
    let report = fake_chain::run(&story);
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
                let story = Story {
                    depth,
                    surge_percent,
                    control,
                    ..Story::default()
                };
                print_row(&format!("{control:?}"), &story, &fake_chain::run(&story));
            }
        }
    }
    for order in [Order::Rank, Order::Fifo, Order::Lifo, Order::Deadline] {
        let story = Story {
            order,
            ..Story::default()
        };
        print_row(&format!("{order:?}"), &story, &fake_chain::run(&story));
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
            let story = Story {
                seed,
                announced_percent,
                sheds,
                slow_percent,
                surge_percent,
                surge_to_ms,
                end_ms,
                ..Story::default()
            };
            let report = fake_chain::run(&story);
            all.push(format!(
                "{:.0}%/{:.1}%/{}ms",
                report.surge_goodput(&story) * 100.0 / story.slow_capacity(),
                report.wasted_percent(),
                report.recovery_ms(&story)
            ));
            if seed == 1 {
                print_row(name, &story, &report);
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
    let ordinary = Story::default();
    let all = [
        (
            "shallow half",
            Story {
                shallow_percent: 50,
                ..ordinary.clone()
            },
        ),
        ("mesh x4", MESH),
        (
            "mesh x2",
            Story {
                surge_percent: 200,
                ..MESH
            },
        ),
        (
            "mesh x1",
            Story {
                surge_percent: 100,
                ..MESH
            },
        ),
        (
            "few slots above",
            Story {
                shallow_percent: 50,
                slots: 40,
                ..ordinary.clone()
            },
        ),
        (
            "very slow",
            Story {
                shallow_percent: 80,
                slots: 40,
                slow_percent: 2_000,
                ..ordinary.clone()
            },
        ),
        (
            "new rank",
            Story {
                new_rank: true,
                ..ordinary.clone()
            },
        ),
        (
            "polite",
            Story {
                polite: true,
                ..ordinary.clone()
            },
        ),
        (
            "one class",
            Story {
                classes: [0, 0, 100, 0],
                ..ordinary.clone()
            },
        ),
        (
            "important",
            Story {
                classes: [30, 0, 0, 70],
                ..ordinary.clone()
            },
        ),
        (
            "10x",
            Story {
                surge_percent: 1_000,
                ..ordinary.clone()
            },
        ),
        (
            "slow service",
            Story {
                deep_us: 300_000,
                own_us: 20_000,
                ..ordinary.clone()
            },
        ),
        (
            "small",
            Story {
                deep_slots: 4,
                targets: 2,
                ..ordinary.clone()
            },
        ),
        (
            "many targets",
            Story {
                targets: 12,
                ..ordinary.clone()
            },
        ),
        (
            "long",
            Story {
                surge_to_ms: 65_000,
                end_ms: 75_000,
                ..ordinary.clone()
            },
        ),
        (
            "heals early",
            Story {
                slow_percent: 100,
                ..ordinary.clone()
            },
        ),
    ];
    for (name, story) in all {
        for depth in [3, 8] {
            let story = Story {
                depth,
                ..story.clone()
            };
            let report = fake_chain::run(&story);
            print_row(name, &story, &report);
        }
    }
}
