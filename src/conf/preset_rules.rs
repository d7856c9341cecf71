//! The rules of a preset document.

use crate::conf::Section;
use crate::core::Name;
use crate::preset::Rule;

/// Rules are tried in order for each call, so their number is limited.
const MAX_RULES: usize = 1_000;
const ANY: &str = "*";
const METHODS: &[&str] = &["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"];
/// Methods whose calls do harm if they run twice, unless a rule states otherwise.
const NON_IDEMPOTENT_METHODS: &[&str] = &["POST", "PATCH"];

/// Reads all rules; `None` when one of them has a problem.
pub fn read_rules(section: &mut Section, classes: &[Name]) -> Option<Vec<Rule>> {
    let mut rules = Vec::new();
    let mut complete = true;
    for mut rule_section in section.sections("rules") {
        match read_rule(&mut rule_section, classes) {
            Some(rule) => {
                check_shadowed(&rule_section, &rule, &rules);
                rules.push(rule);
            }
            None => complete = false,
        }
        rule_section.finish();
    }
    if rules.len() > MAX_RULES {
        let expected = format!("at most {MAX_RULES} rules");
        section.problem("rules", &rules.len().to_string(), expected);
    }
    complete.then_some(rules)
}

/// The index of a class in the order. If the class is unknown, a problem that lists all classes is
/// reported.
pub fn class_index(
    section: &Section,
    field: &'static str,
    class: &Name,
    classes: &[Name],
) -> Option<u8> {
    let index = classes.iter().position(|name| name == class);
    if index.is_none() {
        let expected = format!("one of the classes {}", classes.join(", "));
        section.problem(field, class, expected);
    }
    index.and_then(|index| u8::try_from(index).ok())
}

fn read_rule(section: &mut Section, classes: &[Name]) -> Option<Rule> {
    let service = read_service(section);
    let method = read_method(section);
    let path_prefix = read_path_prefix(section);
    let class = section.name("class");
    let class = class.and_then(|class| class_index(section, "class", &class, classes));
    let non_idempotent = read_non_idempotent(section, method.as_deref());
    Some(Rule {
        service: service?,
        method: method?,
        path_prefix: path_prefix?,
        class: class?,
        non_idempotent: non_idempotent?,
    })
}

fn read_service(section: &mut Section) -> Option<Name> {
    if section.has("service") {
        let text = section.text("service")?;
        if text == ANY {
            return Some(Name::from(ANY));
        }
        return section.checked_name("service", &text);
    }
    section.name("service")
}

fn read_method(section: &mut Section) -> Option<Name> {
    let text = section.text("method").unwrap_or_else(|| ANY.to_owned());
    if text != ANY && !METHODS.contains(&text.as_str()) {
        let expected = format!("* or one of {}", METHODS.join(", "));
        section.problem("method", &text, expected);
        return None;
    }
    Some(Name::from(text))
}

fn read_path_prefix(section: &mut Section) -> Option<Name> {
    let text = section
        .text("path_prefix")
        .unwrap_or_else(|| "/".to_owned());
    if !text.starts_with('/') {
        section.problem("path_prefix", &text, "a path that begins with /");
        return None;
    }
    Some(Name::from(text))
}

/// Reads whether calls of a rule are non-idempotent. If the rule does not state it, this follows
/// from its method. A rule for any method has to state it, because a wrong default could run a
/// charge twice.
fn read_non_idempotent(section: &mut Section, method: Option<&str>) -> Option<bool> {
    let given = section.has("non_idempotent");
    let stated = section.boolean("non_idempotent");
    if given || method.is_none() {
        return stated;
    }
    if method == Some(ANY) {
        let expected = "true or false is required where the method is *";
        section.problem("non_idempotent", "missing", expected);
        return None;
    }
    method.map(|method| NON_IDEMPOTENT_METHODS.contains(&method))
}

/// Reports a rule that never applies because an earlier one matches all its calls.
fn check_shadowed(section: &Section, rule: &Rule, earlier: &[Rule]) {
    let covers = |wide: &Name, narrow: &Name| &**wide == ANY || wide == narrow;
    let shadowing = earlier.iter().find(|other| {
        covers(&other.service, &rule.service)
            && covers(&other.method, &rule.method)
            && rule.path_prefix.starts_with(&*other.path_prefix)
    });
    if let Some(other) = shadowing {
        let expected = format!(
            "an earlier rule ({} {} {}) matches all its calls: put it before that one or remove it",
            other.service, other.method, other.path_prefix
        );
        section.problem("path_prefix", &rule.path_prefix, expected);
    }
}
