//! `sassafrasgap-ctl story` and `reasons` on the logs of nodes.

mod support;

use std::fs;
use std::path::PathBuf;

use rstest::rstest;
use serde_json::Value;
use support::ctl::ctl;
use tempfile::TempDir;

/// A request of `front-1` that was lost at `back-1` and refused at `back-2`, among others' lines.
const FRONT: &str = r#"{"ts":"2026-03-01T10:00:01.000Z","level":"info","part":"config","event":"in force","version":4}
{"ts":"2026-03-01T10:00:02.000Z","level":"info","part":"entry","event":"refused","request":"other","reason":"shed_at_entry"}
{"ts":"2026-03-01T10:00:02.300Z","level":"info","part":"entry","event":"tries again","request":"r-1","after":"backend_broke","target":"back-1"}
{"ts":"2026-03-01T10:00:02.400Z","level":"info","part":"entry","event":"refused","request":"r-1","reason":"overloaded","attempts":2}
not one of ours
{"ts":"2026-03-01T10:00:02.5"#;
const BACK: &str = r#"{"ts":"2026-03-01T10:00:02.250Z","level":"warn","part":"local","event":"backend server","state":"Starting"}
{"ts":"2026-03-01T10:00:02.280Z","level":"info","part":"guard","event":"refused","request":"r-1","reason":"backend_broke"}"#;
/// As a collector may hand it over, with the time and the node before each line.
const COLLECTED: &str = r#"   12.04 back-2 {"ts":"2026-03-01T10:00:02.390Z","level":"info","part":"guard","event":"refused","request":"r-1","reason":"overloaded","queued":12}"#;

fn logs() -> (TempDir, Vec<String>) {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| {
        let path: PathBuf = folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let files = vec![
        write("front-1.log", FRONT),
        write("back-1.log", BACK),
        write("collected.txt", COLLECTED),
    ];
    (folder, files)
}

async fn run(arguments: &[&str]) -> (i32, String) {
    let (_folder, files) = logs();
    let mut all = arguments.to_vec();
    all.extend(files.iter().map(String::as_str));
    let run = ctl(&all).await;
    (run.code, format!("{}{}", run.stdout, run.stderr))
}

/// The lines of one request come in the order of time, each with its node.
#[rstest]
#[tokio::test]
async fn a_request_is_followed_over_all_nodes() {
    let (code, text) = run(&["--json", "story", "--request", "r-1"]).await;
    assert_eq!(code, 0, "{text}");
    let told: Value = serde_json::from_str(&text).unwrap();
    let lines = told["lines"].as_array().unwrap();
    let nodes: Vec<&str> = lines
        .iter()
        .map(|line| line["node"].as_str().unwrap())
        .collect();
    assert_eq!(nodes, ["back-1", "front-1", "back-2", "front-1"]);
    assert_eq!(lines[2]["queued"], 12);
    let (code, text) = run(&["story", "--request", "r-1"]).await;
    assert_eq!(code, 0);
    assert!(text.contains("after=backend_broke target=back-1"), "{text}");
}

/// What the same nodes said besides is shown when it is asked for.
#[rstest]
#[tokio::test]
async fn what_happened_around_it_can_be_shown() {
    let (_, text) = run(&["story", "--request", "r-1", "--around", "5"]).await;
    let state = text.find("state=Starting").unwrap();
    assert!(text.find("in force").unwrap() < state);
    assert!(state < text.find("backend_broke").unwrap(), "{text}");
    assert!(!text.contains("shed_at_entry"), "{text}");
}

/// A request that nobody logged, and a file that is not there, end with a word and a code.
#[rstest]
#[tokio::test]
async fn what_is_not_found_is_told() {
    let (code, text) = run(&["story", "--request", "r-9"]).await;
    assert_eq!(code, 1);
    assert!(text.contains("no line of request r-9"), "{text}");
    let missing = ctl(&["story", "--request", "r-1", "/nowhere.log"]).await;
    assert_eq!(missing.code, 1);
    assert!(missing.stderr.contains("/nowhere.log"), "{missing:?}");
}

/// Reasons are counted by span, part and event.
#[rstest]
#[tokio::test]
async fn reasons_are_summed_up_over_time() {
    let (code, text) = run(&["--json", "reasons", "--every-s", "10"]).await;
    assert_eq!(code, 0, "{text}");
    let told: Value = serde_json::from_str(&text).unwrap();
    let reasons: Vec<(String, u64)> = told
        .as_array()
        .unwrap()
        .iter()
        .map(|each| {
            assert_eq!(each["from"], "2026-03-01T10:00:00Z");
            let word = |name: &str| each[name].as_str().unwrap().to_owned();
            let name = format!("{} {} {}", word("part"), word("event"), word("reason"));
            (name, each["lines"].as_u64().unwrap())
        })
        .collect();
    let expected = [
        ("entry refused overloaded", 1),
        ("entry refused shed_at_entry", 1),
        ("entry tries again backend_broke", 1),
        ("guard refused backend_broke", 1),
        ("guard refused overloaded", 1),
        ("local backend server warn", 1),
    ];
    assert_eq!(
        reasons,
        expected.map(|(name, lines)| (name.to_owned(), lines))
    );
}
