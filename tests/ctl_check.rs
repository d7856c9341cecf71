//! `sassafrasgap-ctl check` on good and spoiled files, and its command line.

mod support;

use std::fs;
use std::path::Path;

use rstest::rstest;
use support::ctl::ctl;

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name);
    path.display().to_string()
}

#[tokio::test]
async fn all_examples_check_clean() {
    let mut arguments = vec!["check".to_owned()];
    for (deployment, node) in [("association", "workspace-1"), ("cantinas", "compras-1")] {
        arguments.push(example(&format!("{deployment}/deployment.yaml")));
        arguments.push(example(&format!("{deployment}/node-{node}.yaml")));
        for preset in ["ordinary", "peak", "maintenance"] {
            arguments.push(example(&format!("{deployment}/presets/{preset}.yaml")));
        }
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let run = ctl(&arguments).await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.stdout.contains("10 files, no problems"), "{run:?}");
}

#[tokio::test]
async fn spoiled_files_are_told_with_every_problem() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: String| {
        let path = folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let node = fs::read_to_string(example("cantinas/node-compras-1.yaml")).unwrap();
    let preset = fs::read_to_string(example("cantinas/presets/peak.yaml")).unwrap();
    let node = write(
        "node.yaml",
        node.replace("region:", "zone:").replace(":7003", ":7001"),
    );
    let preset = write(
        "peak.yaml",
        preset
            .replace("order: [vouchers, ", "order: [")
            .replace("class: stock}", "class: stocks}")
            .replace("resend_window_ms: 30000", "resend_window_s: 30"),
    );
    let run = ctl(&["check", &node, &preset, "/nowhere.yaml"]).await;
    assert_eq!(run.code, 1);
    for expected in [
        "node.yaml: region: is missing; a name is required",
        "node.yaml: zone: is \"pt-interior\"; unknown field",
        "node.yaml: peer_address: is 10.30.1.11:7001; an address that caller_address does not use",
        "peak.yaml: order: is [orders, uploads, menus, stock]; the order of importance leaves out \
         class vouchers",
        "peak.yaml: rules[7].class: is stocks; one of the classes",
        "peak.yaml: resend_window_s: is 30; write `resend_window_ms: 30000`",
        "/nowhere.yaml: (document): is not readable",
    ] {
        assert!(
            run.stderr.contains(expected),
            "{expected}\nnot in\n{}",
            run.stderr
        );
    }
    assert!(run.stderr.contains("3 files, 7 problems"), "{}", run.stderr);
    let json = ctl(&["--json", "check", &preset]).await;
    assert_eq!(json.code, 1);
    let problems = &json.json()[0]["errors"][0]["problems"];
    assert_eq!(problems.as_array().map(Vec::len), Some(3), "{json:?}");
}

#[tokio::test]
async fn settings_of_two_nodes_are_checked_against_each_other() {
    let folder = tempfile::tempdir().unwrap();
    let copy = folder.path().join("copy.yaml");
    let good = example("association/node-workspace-1.yaml");
    fs::copy(&good, &copy).unwrap();
    let run = ctl(&["check", &good, &copy.display().to_string()]).await;
    assert_eq!(run.code, 1);
    assert!(
        run.stderr
            .contains("node: is workspace-1; a name of its own"),
        "{run:?}"
    );
    assert!(
        run.stderr
            .contains("caller_address: is 10.20.1.11:7001; an address of its own")
    );
}

#[rstest]
#[case::no_command(&[], 2, "name a command")]
#[case::unknown_command(&["swich", "peak"], 2, "swich")]
#[case::unknown_option(&["switch", "--expected", "4", "peak"], 2, "--expected")]
#[case::no_platform(&["switch", "peak"], 2, "SASSAFRASGAP_PLATFORM")]
#[case::no_node(&["status"], 2, "SASSAFRASGAP_NODE")]
#[case::bad_address(&["presets", "--platform", "here"], 2, "platform")]
#[tokio::test]
async fn a_wrong_command_line_says_what_is_wrong(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] expected: &str,
) {
    let run = ctl(arguments).await;
    assert_eq!(run.code, code, "{run:?}");
    assert!(run.stderr.contains(expected), "{run:?}");
}

#[rstest]
#[case("check")]
#[case("publish")]
#[case("switch")]
#[case("status")]
#[case("drain")]
#[case("presets")]
#[tokio::test]
async fn each_command_helps_with_an_example(#[case] command: &str) {
    let run = ctl(&[command, "--help"]).await;
    assert_eq!(run.code, 0);
    let example = format!("sassafrasgap-ctl {command} ");
    let examples = run.stdout.split("Examples:").nth(1).unwrap_or_default();
    assert!(examples.contains(&example), "{}", run.stdout);
}

#[tokio::test]
async fn the_whole_help_lists_exit_codes_and_the_version_is_known() {
    let help = ctl(&["--help"]).await.stdout;
    for code in 0..=5 {
        assert!(help.contains(&format!("\n  {code} ")), "{code} in\n{help}");
    }
    let version = ctl(&["--version"]).await.stdout;
    assert_eq!(
        version.trim(),
        format!("sassafrasgap-ctl {}", env!("CARGO_PKG_VERSION"))
    );
}
