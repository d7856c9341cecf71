//! Plans and traces: what callers send and when.

use std::fs;

use rstest::rstest;
use tempfile::tempdir;

use sassafrasgap::errors::LoadError;
use sassafrasgap::load::Phase;
use sassafrasgap::load::PhaseRole;
use sassafrasgap::load::Plan;
use sassafrasgap::load::Trace;

const PLAN: &str = "
seed: 7
phases:
  - {name: ordinary, duration_ms: 2000, rate_per_s: 100}
  - {name: ramp, role: surge, duration_ms: 1000, rate_per_s: 100, end_rate_per_s: 300}
calls:
  - {name: read, class: reads, path: /a/x, weight: 3, deadline_ms: 500}
  - {name: job, class: jobs, method: POST, path: /b/jobs, non_idempotent: true, body_bytes: 10, deadline_ms: 900}
";

fn plan() -> Plan {
    serde_yaml_ng::from_str(PLAN).expect("the plan is well formed")
}

#[test]
fn a_trace_offers_the_planned_rate_and_mix() {
    let trace = Trace::generate(&plan());
    assert_eq!(trace.lines.len(), 400);
    let within = |from: u64, to: u64| {
        let in_range = |line: &&sassafrasgap::load::TraceLine| (from..to).contains(&line.at_ms);
        trace.lines.iter().filter(in_range).count()
    };
    assert_eq!(within(0, 1_000), 100);
    assert_eq!(within(1_000, 2_000), 100);
    assert!((73..=77).contains(&within(2_000, 2_500)));
    let jobs = trace.lines.iter().filter(|line| &*line.call == "job");
    assert!((70..=130).contains(&jobs.clone().count()));
    assert!(jobs.clone().all(|line| line.key.is_some()));
}

#[test]
fn the_same_seed_gives_the_same_trace_and_another_seed_another() {
    let first = Trace::generate(&plan());
    let mut other = plan();
    other.seed = 8;
    assert_eq!(first, Trace::generate(&plan()));
    assert_ne!(first, Trace::generate(&other));
}

#[test]
fn a_trace_comes_back_from_its_file_as_it_was() {
    let dir = tempdir().expect("a temporary folder");
    let path = dir.path().join("trace.jsonl");
    let trace = Trace::generate(&plan());
    trace.write(&path).expect("the trace is written");
    assert_eq!(Trace::read(&path).expect("the trace is read"), trace);
}

#[test]
fn a_malformed_line_is_named() {
    let dir = tempdir().expect("a temporary folder");
    let path = dir.path().join("trace.jsonl");
    Trace::generate(&plan()).write(&path).expect("written");
    let mut text = fs::read_to_string(&path).expect("read");
    text.push_str("{\"at_ms\": -1}\n");
    fs::write(&path, text).expect("written");
    let error = Trace::read(&path).expect_err("the last line is malformed");
    assert!(matches!(error, LoadError::TraceLine { line: 401, .. }));
}

#[test]
fn prefixed_keys_stay_apart() {
    let mut trace = Trace::generate(&plan());
    trace.prefix_keys("run1");
    let keys: Vec<_> = trace
        .lines
        .iter()
        .filter_map(|line| line.key.clone())
        .collect();
    assert!(keys.iter().all(|key| key.starts_with("run1-")));
    let distinct: std::collections::HashSet<_> = keys.iter().collect();
    assert_eq!(distinct.len(), keys.len());
}

#[test]
fn all_problems_of_a_plan_are_told_at_once() {
    let spoiled = PLAN
        .replace("duration_ms: 2000", "duration_ms: 0")
        .replace("path: /a/x", "path: a")
        .replace("method: POST", "method: 'P T'");
    let plan: Plan = serde_yaml_ng::from_str(&spoiled).expect("it parses");
    let problems = plan.check().expect_err("three values are wrong");
    let fields: Vec<String> = problems.iter().map(ToString::to_string).collect();
    assert_eq!(fields.len(), 3, "{fields:?}");
    assert!(fields[0].starts_with("phases[0].duration_ms: 0;"));
    assert!(fields[1].starts_with("calls[0].path: a;"));
    assert!(fields[2].starts_with("calls[1].method: P T;"));
}

#[rstest]
#[case(0.0, 0.0)]
#[case(75.0, 500.0)]
#[case(200.0, 1_000.0)]
fn a_ramp_offers_calls_at_a_rate_that_rises_evenly(#[case] calls: f64, #[case] at_ms: f64) {
    let phase = Phase {
        name: "ramp".into(),
        role: PhaseRole::Surge,
        duration_ms: 1_000,
        rate_per_s: 100.0,
        end_rate_per_s: Some(300.0),
    };
    let moment_ms = phase.moment_ms(calls);
    assert!((moment_ms - at_ms).abs() < 1e-6, "{moment_ms}");
}
