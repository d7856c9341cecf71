//! The operators' page has a row for whatever an operator can meet.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use sassafrasgap::conf::NodeSettings;
use sassafrasgap::core::Name;
use sassafrasgap::core::RefusalReason;
use sassafrasgap::core::RetryReason;
use sassafrasgap::routing::PlacementReason;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn page() -> String {
    fs::read_to_string(root().join("docs/OPERATIONS.md")).expect("the page")
}

fn assert_listed(words: impl IntoIterator<Item = String>) {
    let page = page();
    let missing: Vec<String> = words
        .into_iter()
        .filter(|word| !page.contains(&format!("`{word}`")))
        .collect();
    assert!(missing.is_empty(), "not in docs/OPERATIONS.md: {missing:?}");
}

/// Names in the program's own text, so that a metric without samples is found as well.
fn metric_names(folder: &Path, names: &mut Vec<String>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            metric_names(&path, names);
            continue;
        }
        let text = fs::read_to_string(&path).expect("a source file");
        let quoted = text
            .split('"')
            .filter(|part| part.starts_with("sassafrasgap_"));
        names.extend(quoted.map(ToOwned::to_owned));
    }
}

#[test]
fn every_metric_has_a_row() {
    let mut names = Vec::new();
    metric_names(&root().join("src"), &mut names);
    assert!(names.len() >= 25, "only {names:?}");
    assert_listed(names);
}

#[test]
fn every_reason_has_a_row() {
    let refusals = RefusalReason::ALL.iter().map(|reason| reason.as_str());
    let retries = RetryReason::ALL.iter().map(|reason| reason.as_str());
    let placements = PlacementReason::ALL.iter().map(|reason| reason.as_str());
    let reasons = refusals.chain(retries).chain(placements);
    assert_listed(reasons.map(ToOwned::to_owned));
}

#[test]
fn every_setting_has_a_row() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let name = Name::from("n");
    let settings =
        NodeSettings::with_defaults(name.clone(), name.clone(), name, [address; 5], address);
    let text = settings.to_yaml();
    let fields = text.lines().filter_map(|line| line.split(':').next());
    assert_listed(fields.map(ToOwned::to_owned));
}
