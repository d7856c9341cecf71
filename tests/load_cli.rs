//! The command line of the load tool, as scripts use it.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::process::Output;

use rstest::rstest;
use tempfile::tempdir;

const PLAN: &str = "
phases: [{name: ordinary, duration_ms: 1000, rate_per_s: 50}]
calls: [{name: read, class: reads, path: /a/x, deadline_ms: 500}]
";

fn load(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sassafrasgap-load"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn written(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    fs::write(&path, text).expect("the file is written");
    path.display().to_string()
}

#[rstest]
#[case::help(&["--help"], 0)]
#[case::help_of_a_subcommand(&["run", "--help"], 0)]
#[case::version(&["--version"], 0)]
#[case::nothing(&[], 2)]
#[case::unknown_subcommand(&["dance"], 2)]
#[case::missing_option(&["run"], 2)]
#[case::missing_file(&["run", "--plan", "/nowhere/plan.yaml", "--entry", "127.0.0.1:1"], 2)]
fn exit_codes_tell_usage_from_success(#[case] arguments: &[&str], #[case] code: i32) {
    assert_eq!(load(arguments).status.code(), Some(code));
}

#[test]
fn a_spoiled_plan_is_refused_with_its_field() {
    let dir = tempdir().expect("a temporary folder");
    let plan = written(
        dir.path(),
        "plan.yaml",
        &PLAN.replace("rate_per_s: 50", "rate_per_s: -1"),
    );
    let output = load(&["run", "--plan", &plan, "--entry", "127.0.0.1:1"]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr.contains("phases[0].rate_per_s: -1"), "{stderr}");
}

/// Nobody listens at the entry: every call is broken, and the stated outcome is not met.
#[test]
fn an_unmet_outcome_gives_exit_code_1_and_a_line() {
    let dir = tempdir().expect("a temporary folder");
    let plan = written(dir.path(), "plan.yaml", PLAN);
    let outcomes = written(
        dir.path(),
        "outcomes.yaml",
        "min_goodput_share: {reads: 0.9}",
    );
    let trace = dir.path().join("trace.jsonl").display().to_string();
    let json = dir.path().join("report.json").display().to_string();
    assert_eq!(
        load(&["generate", "--plan", &plan, "--seed", "3", "--out", &trace])
            .status
            .code(),
        Some(0)
    );
    let output = load(&[
        "replay",
        "--trace",
        &trace,
        "--entry",
        "127.0.0.1:1",
        "--expect",
        &outcomes,
        "--json",
        &json,
        "--quiet",
    ]);
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stdout.contains("unmet: min_goodput_share.reads: wanted 0.9, measured 0"),
        "{stdout}"
    );
    let shown = load(&["report", "--json", &json]);
    assert_eq!(shown.status.code(), Some(0));
}
