//! Preset documents: the order of classes, rules, and reported problems.

use rstest::rstest;
use sassafrasgap::conf::parse_preset;

const GOOD: &str = "
preset: ordinary
order: [jobs, browse]
classes:
  browse: {wait_ms: 200, deadline_ms: 2000}
  jobs: {wait_ms: 1000, deadline_ms: 30000}
default_class: browse
rules:
  - {service: scheduler, method: POST, path_prefix: /jobs, class: jobs}
  - {service: scheduler, method: GET, class: browse}
resend_window_ms: 30000
";

#[test]
fn classes_take_the_order_of_importance() {
    let preset = parse_preset("p.yaml", GOOD).expect("good preset");
    let names: Vec<&str> = preset.classes.iter().map(|class| &*class.name).collect();
    assert_eq!(names, ["jobs", "browse"]);
    assert_eq!(preset.classes[0].wait_ms, 1_000);
    assert_eq!(preset.default_class, 1);
    let job = preset.classify("scheduler", "POST", "/jobs/7");
    assert_eq!((job.class, job.non_idempotent), (0, true));
    let read = preset.classify("workspace", "GET", "/");
    assert_eq!((read.class, read.non_idempotent), (1, false));
}

#[rstest]
#[case::order_leaves_one_out("[jobs, browse]", "[jobs]", "order", "leaves out class browse")]
#[case::order_names_another("[jobs, browse]", "[jobs, browse, bills]", "order[2]", "no such class")]
#[case::order_twice("[jobs, browse]", "[jobs, browse, jobs]", "order[2]", "once")]
#[case::rule_of_unknown_class("class: jobs}", "class: job}", "rules[0].class", "jobs, browse")]
#[case::unknown_default(
    "default_class: browse",
    "default_class: rest",
    "default_class",
    "jobs"
)]
#[case::no_default("default_class: browse\n", "", "default_class", "required")]
#[case::wait_in_seconds(
    "wait_ms: 200,",
    "wait_s: 0.2,",
    "classes.browse.wait_s",
    "wait_ms: 200"
)]
#[case::wait_with_unit(
    "wait_ms: 200,",
    "wait_ms: 200ms,",
    "classes.browse.wait_ms",
    "wait_ms: 200"
)]
#[case::zero_wait("wait_ms: 200,", "wait_ms: 0,", "classes.browse.wait_ms", "1..=600000")]
#[case::wait_over_deadline(
    "wait_ms: 200,",
    "wait_ms: 2000,",
    "classes.browse.wait_ms",
    "less than"
)]
#[case::any_method("method: POST, ", "", "rules[0].non_idempotent", "required")]
#[case::wrong_method("method: POST", "method: post", "rules[0].method", "POST")]
#[case::relative_path("/jobs", "jobs", "rules[0].path_prefix", "begins with /")]
#[case::unknown_key("resend_window_ms: 30000", "resends: 3", "resends", "unknown field")]
#[case::no_window(
    "resend_window_ms: 30000",
    "resend_window_ms: 0",
    "resend_window_ms",
    "1000.."
)]
#[case::no_name("preset: ordinary", "preset: ''", "preset", "name")]
#[case::shadowed(
    "method: GET, class",
    "method: POST, path_prefix: /jobs/x, class",
    "rules[1].path_prefix",
    "earlier rule"
)]
fn an_invalid_preset_is_refused(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] expected: &str,
) {
    assert!(GOOD.contains(from));
    let error = parse_preset("p.yaml", &GOOD.replacen(from, to, 1)).unwrap_err();
    assert_eq!(error.problems.len(), 1, "{error}");
    assert_eq!(error.problems[0].field, field, "{error}");
    assert!(error.problems[0].expected.contains(expected), "{error}");
}

#[test]
fn an_unreachable_class_is_reported() {
    let text = GOOD
        .replace("order: [jobs, browse]", "order: [jobs, bills, browse]")
        .replace("  jobs:", "  bills: {wait_ms: 1, deadline_ms: 9}\n  jobs:");
    let error = parse_preset("p.yaml", &text).unwrap_err();
    assert_eq!(error.problems.len(), 1, "{error}");
    assert_eq!(error.problems[0].field, "classes.bills");
}

#[test]
fn problems_of_several_parts_are_reported_together() {
    let text = GOOD
        .replace("[jobs, browse]", "[jobs]")
        .replace("class: jobs}", "class: nothing}")
        .replace("wait_ms: 200", "wait_ms: 0")
        .replace("resend_window_ms: 30000", "resend_window_s: 30");
    let error = parse_preset("p.yaml", &text).unwrap_err();
    assert_eq!(error.problems.len(), 4, "{error}");
    assert!(
        error
            .to_string()
            .contains("write `resend_window_ms: 30000`")
    );
}
