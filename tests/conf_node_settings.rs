//! Node settings: defaults, and all problems reported at once.

use rstest::rstest;
use sassafrasgap::conf::parse_node_settings;

const GOOD: &str = "
node: workspace-1
region: tw-north
domain: tw-north-a
caller_address: 127.0.0.1:7001
local_address: 127.0.0.1:7002
peer_address: 127.0.0.1:7003
control_address: 127.0.0.1:7004
operator_address: 127.0.0.1:7005
platform_address: 127.0.0.1:7900
seeds: [127.0.0.1:7004, 127.0.0.1:7104]
";

#[test]
fn the_fields_without_a_default_are_enough() {
    let settings = parse_node_settings("node.yaml", GOOD).expect("good settings");
    assert_eq!(&*settings.node, "workspace-1");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.peer_advertised_address, settings.peer_address);
    assert_eq!(settings.log_level, log::LevelFilter::Info);
    assert!(settings.control_enabled);
}

#[rstest]
#[case::unknown_key("colour: red", "colour", "unknown field")]
#[case::wrong_unit("silence_s: 2", "silence_s", "write `silence_ms: 2000`")]
#[case::unit_in_value("silence_ms: 2s", "silence_ms", "write `silence_ms: 2000`")]
#[case::quoted_number("silence_ms: \"700\"", "silence_ms", "write `silence_ms: 700`")]
#[case::wrong_size_unit(
    "max_held_body_kb: 64",
    "max_held_body_kb",
    "write `max_held_body_bytes: 65536`"
)]
#[case::zero("traffic_threads: 0", "traffic_threads", "1..=64")]
#[case::absurd("silence_ms: 999999999", "silence_ms", "50..=60000")]
#[case::negative("silence_ms: -5", "silence_ms", "50..=60000")]
#[case::log_level("log_level: loud", "log_level", "one of off")]
#[case::no_boolean("control_enabled: maybe", "control_enabled", "true or false")]
#[case::no_address(
    "peer_advertised_address: there",
    "peer_advertised_address",
    "IP address"
)]
#[case::unspecified(
    "peer_advertised_address: 0.0.0.0:7",
    "peer_advertised_address",
    "cannot connect"
)]
fn an_invalid_field_is_named_with_the_expected_value(
    #[case] line: &str,
    #[case] field: &str,
    #[case] expected: &str,
) {
    let error = parse_node_settings("node.yaml", &format!("{GOOD}{line}\n")).unwrap_err();
    assert_eq!(error.file, "node.yaml");
    assert_eq!(error.problems.len(), 1, "{error}");
    assert_eq!(error.problems[0].field, field);
    assert!(error.problems[0].expected.contains(expected), "{error}");
}

#[rstest]
#[case::same("127.0.0.1:7005", "127.0.0.1:7001", "operator_address")]
#[case::any_address("127.0.0.1:7005", "0.0.0.0:7001", "operator_address")]
#[case::platform_address("127.0.0.1:7005", "127.0.0.1:7900", "platform_address")]
#[case::not_loopback("127.0.0.1:7002", "10.0.0.1:7002", "local_address")]
#[case::bad_seed("127.0.0.1:7104", "somewhere", "seeds[1]")]
#[case::bad_name("workspace-1", "work/space", "node")]
fn a_replaced_value_is_reported(#[case] from: &str, #[case] to: &str, #[case] field: &str) {
    let error = parse_node_settings("node.yaml", &GOOD.replace(from, to)).unwrap_err();
    assert_eq!(error.problems.len(), 1, "{error}");
    assert_eq!(error.problems[0].field, field);
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = "node: 7\nlocal_address: 10.0.0.1:1\nsilence_s: 1\n";
    let error = parse_node_settings("node.yaml", text).unwrap_err();
    let fields: Vec<&str> = error.problems.iter().map(|p| p.field.as_str()).collect();
    for field in [
        "node",
        "region",
        "domain",
        "caller_address",
        "local_address",
        "peer_address",
        "control_address",
        "operator_address",
        "platform_address",
        "silence_s",
    ] {
        let count = fields.iter().filter(|name| **name == field).count();
        assert_eq!(count, 1, "{field} in {fields:?}");
    }
}

#[rstest]
#[case::empty("")]
#[case::list("- a")]
#[case::not_yaml("a: [")]
#[case::key_twice("node: a\nnode: b\n")]
fn a_document_that_is_not_a_mapping_is_an_error(#[case] text: &str) {
    let error = parse_node_settings("node.yaml", text).unwrap_err();
    assert!(!error.problems.is_empty());
    assert!(error.to_string().starts_with("node.yaml: "));
}
