//! Reads a mapping of a YAML document field by field.
//!
//! Deserializing directly into structs stops at the first error, but operators want to see all of
//! them. A section records each problem and continues. At the end it reports the unknown keys.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde_yaml_ng::Value;

use crate::conf::section_fields::NAME_EXPECTED;
use crate::conf::section_fields::is_name;
use crate::conf::unit_hint::unit_hint;
use crate::core::Name;
use crate::errors::Problem;

/// The number of characters of a value that are shown in a problem.
const SHOWN_VALUE_CHARS: usize = 60;

/// A mapping and its path in the document.
pub struct Section {
    path: String,
    entries: BTreeMap<String, Value>,
    known: Vec<&'static str>,
    pub(super) problems: Rc<RefCell<Vec<Problem>>>,
}

impl Section {
    /// The section for the whole document.
    pub fn root(value: Value, problems: Rc<RefCell<Vec<Problem>>>) -> Self {
        Self::new(String::new(), value, problems)
    }

    fn new(path: String, value: Value, problems: Rc<RefCell<Vec<Problem>>>) -> Self {
        let mut section = Self {
            path,
            entries: BTreeMap::new(),
            known: Vec::new(),
            problems,
        };
        match value {
            Value::Mapping(mapping) => {
                for (key, value) in mapping {
                    section.entries.insert(key_text(&key), value);
                }
            }
            other => section.push(
                section.path.clone(),
                &other,
                "a mapping of fields belongs here",
            ),
        }
        section
    }

    /// The path of a field of this section.
    pub fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    /// Records a problem with a field of this section.
    pub fn problem(&self, field: &str, value: &str, expected: impl Into<String>) {
        self.problems.borrow_mut().push(Problem {
            field: self.path_of(field),
            value: value.to_owned(),
            expected: expected.into(),
        });
    }

    pub(super) fn push(&self, field: String, value: &Value, expected: impl Into<String>) {
        self.problems.borrow_mut().push(Problem {
            field,
            value: shown(value),
            expected: expected.into(),
        });
    }

    /// Removes and returns a field's value; `null` counts as absent.
    pub(super) fn take(&mut self, field: &'static str) -> Option<Value> {
        self.known.push(field);
        self.entries.remove(field).filter(|value| !value.is_null())
    }

    /// Whether the field is present.
    pub fn has(&self, field: &str) -> bool {
        self.entries
            .get(field)
            .is_some_and(|value| !value.is_null())
    }

    /// Whether the field is given in another unit. It is then reported as an unknown key, and
    /// should not be reported as missing too.
    fn given_in_other_unit(&self, field: &'static str) -> bool {
        self.entries
            .iter()
            .any(|(key, value)| unit_hint(key, value, &[field]).is_some())
    }

    pub(super) fn missing(&self, field: &'static str, expected: &str) {
        if !self.given_in_other_unit(field) {
            self.problem(field, "missing", format!("{expected} is required"));
        }
    }

    pub(super) fn list(&mut self, field: &'static str) -> Vec<Value> {
        match self.take(field) {
            None => Vec::new(),
            Some(Value::Sequence(values)) => values,
            Some(other) => {
                self.push(self.path_of(field), &other, "a list belongs here");
                Vec::new()
            }
        }
    }

    /// A list of mappings, empty if absent. The caller has to call [`Self::finish`] on each.
    pub fn sections(&mut self, field: &'static str) -> Vec<Self> {
        let values = self.list(field);
        let path = self.path_of(field);
        let section =
            |(index, value)| Self::new(format!("{path}[{index}]"), value, self.problems.clone());
        values.into_iter().enumerate().map(section).collect()
    }

    /// A mapping from names to mappings, empty if absent. The caller has to call [`Self::finish`]
    /// on each.
    pub fn named_sections(&mut self, field: &'static str) -> Vec<(Name, Self)> {
        let Some(value) = self.take(field) else {
            return Vec::new();
        };
        let outer = Self::new(self.path_of(field), value, self.problems.clone());
        let mut sections = Vec::new();
        for (key, value) in &outer.entries {
            if !is_name(key) {
                outer.problem(key, &shown(value), NAME_EXPECTED);
            }
            let inner = Self::new(outer.path_of(key), value.clone(), self.problems.clone());
            sections.push((Name::from(key.as_str()), inner));
        }
        sections
    }

    /// Reports every key that was not read.
    pub fn finish(self) {
        for (key, value) in &self.entries {
            if self.known.contains(&key.as_str()) {
                continue;
            }
            let expected = unit_hint(key, value, &self.known)
                .unwrap_or_else(|| format!("unknown field; known are {}", self.known.join(", ")));
            self.push(self.path_of(key), value, expected);
        }
    }
}

fn key_text(key: &Value) -> String {
    key.as_str().map_or_else(|| shown(key), ToOwned::to_owned)
}

/// A value as one line of text, shortened for display.
fn shown(value: &Value) -> String {
    let text = match value {
        Value::String(text) => format!("\"{text}\""),
        other => serde_json::to_string(other).unwrap_or_else(|_| "unprintable".to_owned()),
    };
    if text.chars().count() <= SHOWN_VALUE_CHARS {
        return text;
    }
    let mut short: String = text.chars().take(SHOWN_VALUE_CHARS).collect();
    short.push_str("...");
    short
}
