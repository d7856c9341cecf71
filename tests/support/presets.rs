//! Preset documents for tests.

use sassafrasgap::configuration::Change;
use sassafrasgap::control::ConfigDocument;
use sassafrasgap::core::Name;

/// A small valid preset, whose `wait_ms` distinguishes revisions.
pub fn preset_text(name: &str, wait_ms: u64) -> String {
    format!(
        "preset: {name}\norder: [jobs]\nclasses:\n  jobs: {{wait_ms: {wait_ms}, deadline_ms: \
         60000}}\ndefault_class: jobs\n"
    )
}

/// A configuration document as passed between nodes. Its content is derived from its version.
pub fn document(version: u64) -> ConfigDocument {
    ConfigDocument {
        version,
        preset: Name::from("ordinary"),
        document: preset_text("ordinary", 1 + version),
    }
}

/// A change with an identifier, made by an operator.
pub fn change(change_id: &str, operator: &str) -> Change {
    Change {
        change_id: Name::from(change_id),
        operator: Name::from(operator),
        at_unix_s: 1_790_000_000,
    }
}
