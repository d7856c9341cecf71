//! Reads preset documents in YAML. The format is described in
//! [docs/OPERATIONS.md](../../docs/OPERATIONS.md), "Presets".

use std::path::Path;

use crate::conf::Section;
use crate::conf::parse_document;
use crate::conf::preset_rules::class_index;
use crate::conf::preset_rules::read_rules;
use crate::conf::read_file;
use crate::core::Name;
use crate::errors::SettingsError;
use crate::preset::ClassPolicy;
use crate::preset::Preset;
use crate::preset::Rule;

/// Operators have no use for more classes. A class also has to fit into one byte of a priority.
const MAX_CLASSES: usize = 32;
const MAX_WAIT_MS: u64 = 600_000;
const MAX_DEADLINE_MS: u64 = 86_400_000;
const MAX_RETRIES: u64 = 100;
/// Ledgers keep keys for twice the resend window, so this limit also bounds their memory.
const MAX_RESEND_WINDOW_MS: u64 = 3_600_000;
const MIN_RESEND_WINDOW_MS: u64 = 1_000;
const DEFAULT_RETRY_ALLOTMENT: u64 = 3;
const DEFAULT_RESEND_WINDOW_MS: u64 = 60_000;

/// Reads and validates a preset document.
///
/// # Errors
/// All problems of the file.
pub fn load_preset(path: &Path) -> Result<Preset, SettingsError> {
    let text = read_file(path)?;
    parse_preset(&path.display().to_string(), &text)
}

/// Parses and validates a preset document. Problems are reported under the name `file`.
///
/// # Errors
/// All problems of the text.
pub fn parse_preset(file: &str, text: &str) -> Result<Preset, SettingsError> {
    parse_document(file, text, read_preset)
}

fn read_preset(section: &mut Section) -> Option<Preset> {
    let name = section.name("preset");
    let classes = read_classes(section);
    let names: Vec<Name> = classes.iter().map(|class| class.name.clone()).collect();
    let default_class = section.name("default_class");
    let default_class =
        default_class.and_then(|class| class_index(section, "default_class", &class, &names));
    let rules = read_rules(section, &names);
    let retry_allotment =
        section.number_or("retry_allotment", 0..=MAX_RETRIES, DEFAULT_RETRY_ALLOTMENT);
    let resend_window_ms = section.number_or(
        "resend_window_ms",
        MIN_RESEND_WINDOW_MS..=MAX_RESEND_WINDOW_MS,
        DEFAULT_RESEND_WINDOW_MS,
    );
    if let Some(rules) = &rules {
        check_reachable(section, &names, default_class, rules);
    }
    Some(Preset {
        name: name?,
        classes,
        rules: rules?,
        default_class: default_class?,
        retry_allotment: retry_allotment as u16,
        resend_window_ms,
    })
}

/// Reads the classes in order of importance. Reports an order that omits a class or names an
/// unknown one.
fn read_classes(section: &mut Section) -> Vec<ClassPolicy> {
    let order = section.names("order");
    let mut policies: Vec<ClassPolicy> = Vec::new();
    for (name, mut class) in section.named_sections("classes") {
        let wait_ms = class.number("wait_ms", 1..=MAX_WAIT_MS);
        let deadline_ms = class.number("deadline_ms", 1..=MAX_DEADLINE_MS);
        check_wait(&class, wait_ms, deadline_ms);
        class.finish();
        policies.push(ClassPolicy {
            name,
            wait_ms: wait_ms.unwrap_or(1) as u32,
            deadline_ms: deadline_ms.unwrap_or(1) as u32,
        });
    }
    check_order(section, &order, &policies);
    let rank = |policy: &ClassPolicy| order.iter().position(|name| *name == policy.name);
    policies.sort_by_key(|policy| rank(policy).unwrap_or(usize::MAX));
    policies
}

fn check_wait(class: &Section, wait_ms: Option<u64>, deadline_ms: Option<u64>) {
    if let (Some(wait_ms), Some(deadline_ms)) = (wait_ms, deadline_ms)
        && wait_ms >= deadline_ms
    {
        let expected = format!("less than deadline_ms, which is {deadline_ms}");
        class.problem("wait_ms", &wait_ms.to_string(), expected);
    }
}

fn check_order(section: &Section, order: &[Name], policies: &[ClassPolicy]) {
    if policies.is_empty() {
        section.problem("classes", "missing", "at least one class is required");
    }
    if policies.len() > MAX_CLASSES {
        let expected = format!("at most {MAX_CLASSES} classes");
        section.problem("classes", &policies.len().to_string(), expected);
    }
    for policy in policies {
        if !order.contains(&policy.name) {
            let expected = format!("the order of importance leaves out class {}", policy.name);
            section.problem("order", &format!("[{}]", order.join(", ")), expected);
        }
    }
    for (index, name) in order.iter().enumerate() {
        if !policies.iter().any(|policy| policy.name == *name) {
            let expected = "no such class is described under classes";
            section.problem(&format!("order[{index}]"), name, expected);
        }
        if order[..index].contains(name) {
            section.problem(&format!("order[{index}]"), name, "each class once");
        }
    }
}

/// Reports classes to which no call can be assigned.
fn check_reachable(section: &Section, names: &[Name], default_class: Option<u8>, rules: &[Rule]) {
    let is_reachable = |index: usize| {
        default_class.is_none_or(|class| usize::from(class) == index)
            || rules.iter().any(|rule| usize::from(rule.class) == index)
    };
    for (index, name) in names.iter().enumerate() {
        if !is_reachable(index) {
            let field = format!("classes.{name}");
            section.problem(
                &field,
                name,
                "no rule leads to it and it is not the default class",
            );
        }
    }
}
