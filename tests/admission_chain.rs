//! Whole chains under overload, in virtual time.

mod fake_chain;

use rstest::rstest;

use fake_chain::Control;
use fake_chain::Order;
use fake_chain::Report;
use fake_chain::Story;

/// A surge of five seconds; long enough to settle, short enough for every run of the tests.
const SHORT: Story = Story {
    surge_to_ms: 10_000,
    end_ms: 15_000,
    ..Story::ORDINARY
};

fn line(name: &str, story: &Story, report: &Report) {
    let lost: Vec<String> = (0..4)
        .map(|class| format!("{:.1}", report.lost_percent(class, story)))
        .collect();
    println!(
        "{name:<12} depth={} surge={}% goodput={:.0}/s ({:.0}%) wasted={:.1}% lost%={} p99={}ms rec={}ms relapses={} | before {:.0}/s p99={}ms failed={:.2}%",
        story.depth,
        story.surge_percent,
        report.surge_goodput(story),
        report.surge_goodput(story) * 100.0 / story.slow_capacity(),
        report.wasted_percent(),
        lost.join("/"),
        report.latency_us(99, story.surge_from_ms + 1000, story.surge_to_ms) / 1000,
        report.recovery_ms(story),
        report.relapses(story),
        report.goodput(story.settled_ms, story.surge_from_ms),
        report.latency_us(99, story.settled_ms, story.surge_from_ms) / 1000,
        report.ordinary_failures_percent(story),
    );
}

// Story: the deep service takes three times as long and demand surges at the same moment; callers
// resend ten times, 100 ms apart, whatever they are told. Without control hardly a request
// completes, long after the cause is gone. Cause: every hop works for requests that fail deeper.
#[rstest]
#[case(2)]
#[case(4)]
#[case(8)]
fn a_surge_on_a_slowed_deep_service_costs_only_the_least_important(#[case] depth: usize) {
    let story = Story { depth, ..SHORT };
    let report = fake_chain::run(&story);
    line("Levels", &story, &report);
    assert!(report.surge_goodput(&story) >= 0.9 * story.slow_capacity());
    assert!(report.wasted_percent() < 5.0);
    assert!(report.recovery_ms(&story) < 2_000);
    assert_eq!(report.relapses(&story), 0);
    assert_eq!(report.lost_percent(0, &story), 0.0);
    assert!(report.lost_percent(2, &story) > 90.0);
    assert_eq!(report.not_run_after_start, 0);
}

#[test]
fn the_baseline_does_not_reach_a_third_of_it() {
    let story = Story {
        depth: 2,
        control: Control::Baseline,
        ..SHORT
    };
    let report = fake_chain::run(&story);
    line("Baseline", &story, &report);
    assert!(report.surge_goodput(&story) * 3.0 < 0.9 * story.slow_capacity());
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
                line(&format!("{control:?}"), &story, &fake_chain::run(&story));
            }
        }
    }
    for order in [Order::Rank, Order::Fifo, Order::Lifo, Order::Deadline] {
        let story = Story {
            order,
            ..Story::default()
        };
        line(&format!("{order:?}"), &story, &fake_chain::run(&story));
    }
}
