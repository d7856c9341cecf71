//! Reports: what callers heard, compared with what backend servers ran.

use rstest::rstest;

use sassafrasgap::backend::RunEvent;
use sassafrasgap::backend::RunRecord;
use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;
use sassafrasgap::load::AttemptEnd;
use sassafrasgap::load::AttemptRecord;
use sassafrasgap::load::Audit;
use sassafrasgap::load::CallRecord;
use sassafrasgap::load::Outcomes;
use sassafrasgap::load::PhaseRole;
use sassafrasgap::load::PhaseSpan;
use sassafrasgap::load::Report;
use sassafrasgap::load::Told;
use sassafrasgap::load::draw_plot;
use sassafrasgap::load::render_table;
use sassafrasgap::load::runs_of_events;

fn attempt(end: AttemptEnd, told: Told, request_id: &str) -> AttemptRecord {
    AttemptRecord {
        end,
        told,
        request_id: Some(request_id.into()),
        retry_after_ms: None,
    }
}

fn good(request_id: &str) -> AttemptRecord {
    attempt(AttemptEnd::Good, Told::Ran, request_id)
}

fn shed(request_id: &str) -> AttemptRecord {
    let reason = "overloaded".into();
    attempt(AttemptEnd::Refused { reason }, Told::NotRun, request_id)
}

fn record(at_ms: u64, key: Option<&str>, attempts: Vec<AttemptRecord>) -> CallRecord {
    CallRecord {
        index: 0,
        class: "jobs".into(),
        key: key.map(Name::from),
        at_ms,
        behind_us: 0,
        latency_us: 10_000,
        deadline_ms: 1_000,
        attempts,
    }
}

fn run(key: Option<&str>, request_id: &str) -> RunRecord {
    RunRecord {
        run: 1,
        request_id: request_id.into(),
        key: key.map(str::to_owned),
        method: "POST".into(),
        path: "/jobs".into(),
        started_ms: TimeMs(0),
        ended_ms: Some(TimeMs(1)),
        completed: true,
        cancelled: false,
    }
}

#[test]
fn an_honest_run_has_no_faults() {
    let records = [
        record(0, Some("k1"), vec![good("r1")]),
        record(1, Some("k2"), vec![shed("r2"), shed("r2")]),
        record(2, None, vec![shed("r3"), good("r4")]),
    ];
    let runs = [
        run(Some("k1"), "r1"),
        run(Some("k1/0-b"), "r1"),
        run(None, "r4"),
    ];
    let audit = Audit::of(&records, &runs);
    assert_eq!(
        audit,
        Audit {
            runs: 3,
            ..Audit::default()
        }
    );
}

/// A caller sees one bill; its firm gets two. The caller's key reached two backend servers, since
/// the resend went through another entry, and both ran it.
#[test]
fn a_key_that_ran_twice_is_a_duplicate() {
    let records = [record(0, Some("k1"), vec![good("r1")])];
    let runs = [run(Some("k1"), "r1"), run(Some("k1"), "r1")];
    assert_eq!(Audit::of(&records, &runs).duplicates, 1);
}

/// A caller is told that the job ran; the overnight report never arrives. No backend server has it
/// in its book.
#[test]
fn an_answer_without_a_run_is_a_loss() {
    let records = [record(0, Some("k1"), vec![good("r1")])];
    assert_eq!(Audit::of(&records, &[]).losses, 1);
}

/// A caller is told `not_run` and orders again under a new key; both orders arrive. The refusal
/// came from a node that could not know.
#[test]
fn a_run_behind_a_not_run_is_false() {
    let records = [record(0, Some("k1"), vec![shed("r1")])];
    let audit = Audit::of(&records, &[run(Some("k1"), "r1")]);
    assert_eq!(audit.false_not_run, 1);
    assert_eq!(audit.wasted_runs, 1);
}

#[test]
fn runs_for_requests_that_fail_are_wasted_also_further_down() {
    let failed = attempt(AttemptEnd::Failed { status: 502 }, Told::Ran, "r1");
    let records = [
        record(0, Some("k1"), vec![failed]),
        record(1, None, vec![good("r2")]),
    ];
    let runs = [
        run(Some("k1"), "r1"),
        run(Some("k1/0-b"), "r1"),
        run(None, "r2"),
        run(None, "r2"),
    ];
    let audit = Audit::of(&records, &runs);
    assert_eq!(audit.wasted_runs, 2);
    assert!((audit.wasted_share - 0.5).abs() < 1e-9);
}

#[test]
fn a_late_answer_is_not_good() {
    let mut late = record(0, None, vec![good("r1")]);
    late.latency_us = 1_000_001;
    assert!(!late.is_good());
}

fn spans() -> Vec<PhaseSpan> {
    let span = |name: &str, role, start_ms, end_ms| PhaseSpan {
        name: name.into(),
        role,
        start_ms,
        end_ms,
    };
    vec![
        span("ordinary", PhaseRole::Ordinary, 0, 2_000),
        span("surge", PhaseRole::Surge, 2_000, 4_000),
        span("recovery", PhaseRole::Recovery, 4_000, 8_000),
    ]
}

/// A hundred requests a second; those due in a bad stretch are refused.
fn records_with_bad(bad: &[std::ops::Range<u64>]) -> Vec<CallRecord> {
    let record_at = |index: u64| {
        let at_ms = index * 10;
        let is_bad = bad.iter().any(|range| range.contains(&at_ms));
        let attempts = if is_bad {
            vec![shed("r")]
        } else {
            vec![good("r")]
        };
        record(at_ms, None, attempts)
    };
    (0..800).map(record_at).collect()
}

fn records_with_bad_surge() -> Vec<CallRecord> {
    records_with_bad(std::slice::from_ref(&(2_000..4_000)))
}

#[rstest]
#[case::at_once(vec![2_000..4_000], Some(0), 0)]
#[case::after_a_while(vec![2_000..4_700], Some(700), 0)]
#[case::relapse(vec![2_000..4_000, 6_500..6_600], Some(0), 9)]
#[case::never(vec![2_000..8_000], None, 0)]
fn recovery_counts_from_the_end_of_the_surge(
    #[case] bad: Vec<std::ops::Range<u64>>,
    #[case] recovery_ms: Option<u64>,
    #[case] at_least_relapsed: u64,
) {
    let records = records_with_bad(&bad);
    let report = Report::of(&records, &spans(), &["jobs".into()], None);
    let recovery = report.recovery.expect("there is a surge");
    assert!((recovery.ordinary_goodput_per_s - 100.0).abs() < 1e-9);
    assert_eq!(recovery.recovery_ms, recovery_ms);
    assert!(recovery.relapsed_windows >= at_least_relapsed);
    assert_eq!(at_least_relapsed == 0, recovery.relapsed_windows == 0);
}

#[test]
fn figures_are_kept_by_phase_and_class() {
    let records = records_with_bad_surge();
    let report = Report::of(&records, &spans(), &["jobs".into()], None);
    let surge = report.phase("surge").expect("the phase is reported");
    assert_eq!(surge.all.offered, 200);
    assert_eq!(surge.all.refused["overloaded"], 200);
    let jobs = report.class("jobs").expect("the class is reported");
    assert!((jobs.goodput_share - 0.75).abs() < 1e-9);
    assert!((jobs.latency.p99_ms - 10.0).abs() < 0.1);
}

#[test]
fn unmet_outcomes_are_named_with_what_was_measured() {
    let outcomes: Outcomes = serde_yaml_ng::from_str(
        "
min_goodput_share: {jobs: 0.9, archives: 0.5}
max_p99_ms: {jobs: 50}
max_duplicates: 0
",
    )
    .expect("the outcomes are well formed");
    let records = records_with_bad_surge();
    let report = Report::of(&records, &spans(), &["jobs".into()], None);
    let unmet: Vec<String> = outcomes
        .unmet(&report)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        unmet,
        [
            "min_goodput_share.archives: wanted 0.5, not measured",
            "min_goodput_share.jobs: wanted 0.9, measured 0.75",
            "max_duplicates: wanted 0, not measured",
        ]
    );
}

#[test]
fn a_report_is_shown_and_drawn() {
    let records = records_with_bad_surge();
    let report = Report::of(&records, &spans(), &["jobs".into()], Some(&[]));
    let table = render_table(&report);
    assert!(table.contains("refused overloaded: 200"));
    assert!(table.contains("losses 600"));
    let dir = tempfile::tempdir().expect("a temporary folder");
    let path = dir.path().join("plot.svg");
    draw_plot(&report, &path).expect("the plot is drawn");
    let svg = std::fs::read_to_string(&path).expect("the plot is there");
    assert!(svg.contains("good: jobs"));
}

/// A backend server crashes over its first run and is restarted: its second life numbers its runs
/// from 1 again, and the run that never ended must not be taken for ended.
#[test]
fn the_log_of_a_restarted_backend_server_keeps_both_lives_apart() {
    let crashed = RunRecord {
        ended_ms: None,
        completed: false,
        ..run(Some("k1"), "r1")
    };
    let started = RunRecord {
        ended_ms: None,
        completed: false,
        ..run(Some("k2"), "r2")
    };
    let ended = run(Some("k2"), "r2");
    let events = vec![
        RunEvent::Start(crashed.clone()),
        RunEvent::Start(started),
        RunEvent::End(ended.clone()),
    ];
    assert_eq!(runs_of_events(events), [crashed, ended]);
}
