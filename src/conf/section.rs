//! A mapping of a YAML document, read field by field.
//!
//! Deserializing straight into structs stops at the first error; operators want all of them. A
//! section notes each problem, goes on, and at the end reports the keys nobody asked for.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;

use serde_yaml_ng::Value;

use crate::conf::unit_hint::number_hint;
use crate::conf::unit_hint::unit_hint;
use crate::core::Name;
use crate::errors::Problem;

/// The longest part of a value that a problem repeats.
const SHOWN_VALUE_CHARS: usize = 60;
/// The longest name of a node, service, class or preset.
const LONGEST_NAME_BYTES: usize = 64;

/// One mapping and the path that leads to it.
pub struct Section {
    path: String,
    entries: BTreeMap<String, Value>,
    known: Vec<&'static str>,
    problems: Rc<RefCell<Vec<Problem>>>,
}

impl Section {
    /// The section of a whole document.
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

    /// Notes a problem with a field of this section.
    pub fn problem(&self, field: &str, value: &str, expected: impl Into<String>) {
        self.problems.borrow_mut().push(Problem {
            field: self.path_of(field),
            value: value.to_owned(),
            expected: expected.into(),
        });
    }

    fn push(&self, field: String, value: &Value, expected: impl Into<String>) {
        self.problems.borrow_mut().push(Problem {
            field,
            value: shown(value),
            expected: expected.into(),
        });
    }

    /// Takes a field's value out; `null` counts as absent.
    fn take(&mut self, field: &'static str) -> Option<Value> {
        self.known.push(field);
        self.entries.remove(field).filter(|value| !value.is_null())
    }

    /// Whether the field is given.
    pub fn has(&self, field: &str) -> bool {
        self.entries
            .get(field)
            .is_some_and(|value| !value.is_null())
    }

    /// Whether the field is given in another unit, which is reported as an unknown key: then it
    /// is not reported as missing as well.
    fn given_in_other_unit(&self, field: &'static str) -> bool {
        self.entries
            .iter()
            .any(|(key, value)| unit_hint(key, value, &[field]).is_some())
    }

    fn missing(&self, field: &'static str, expected: &str) {
        if !self.given_in_other_unit(field) {
            self.problem(field, "missing", format!("{expected} is required"));
        }
    }

    /// A required whole number within a range.
    pub fn number(&mut self, field: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        match self.take(field) {
            Some(value) => self.check_number(field, &value, range),
            None => {
                self.missing(
                    field,
                    &format!("a number in {}..={}", range.start(), range.end()),
                );
                None
            }
        }
    }

    /// A whole number within a range, with a default.
    pub fn number_or(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        match self.take(field) {
            Some(value) => self.check_number(field, &value, range).unwrap_or(default),
            None => default,
        }
    }

    fn check_number(
        &self,
        field: &'static str,
        value: &Value,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        if let Some(number) = value.as_u64().filter(|number| range.contains(number)) {
            return Some(number);
        }
        let expected = match number_hint(field, value) {
            Some(number) => format!("write `{field}: {number}`: the unit is in the name"),
            None => format!("a whole number in {}..={}", range.start(), range.end()),
        };
        self.push(self.path_of(field), value, expected);
        None
    }

    /// `true` or `false`, if given.
    pub fn boolean(&mut self, field: &'static str) -> Option<bool> {
        let value = self.take(field)?;
        if value.as_bool().is_none() {
            self.push(self.path_of(field), &value, "true or false");
        }
        value.as_bool()
    }

    /// Text, if given.
    pub fn text(&mut self, field: &'static str) -> Option<String> {
        let value = self.take(field)?;
        if value.as_str().is_none() {
            self.push(
                self.path_of(field),
                &value,
                "a text; quote it if it looks like a number",
            );
        }
        value.as_str().map(ToOwned::to_owned)
    }

    /// A required name.
    pub fn name(&mut self, field: &'static str) -> Option<Name> {
        let Some(text) = self.text(field) else {
            self.missing_name(field);
            return None;
        };
        self.checked_name(field, &text)
    }

    /// A name out of a field's text, or a problem with it.
    pub fn checked_name(&self, field: &str, text: &str) -> Option<Name> {
        if !is_name(text) {
            self.problem(field, text, NAME_EXPECTED);
            return None;
        }
        Some(Name::from(text))
    }

    /// A text that was given but is no text has been reported by [`Self::text`].
    fn missing_name(&self, field: &'static str) {
        let path = self.path_of(field);
        let reported = self.problems.borrow().iter().any(|p| p.field == path);
        if !reported {
            self.missing(field, "a name");
        }
    }

    /// A list of names, empty when it is not given.
    pub fn names(&mut self, field: &'static str) -> Vec<Name> {
        let mut names = Vec::new();
        for (index, value) in self.list(field).into_iter().enumerate() {
            match value.as_str().filter(|text| is_name(text)) {
                Some(text) => names.push(Name::from(text)),
                None => self.push(
                    format!("{}[{index}]", self.path_of(field)),
                    &value,
                    NAME_EXPECTED,
                ),
            }
        }
        names
    }

    /// A list of texts, empty when it is not given.
    pub fn texts(&mut self, field: &'static str) -> Vec<String> {
        let mut texts = Vec::new();
        for (index, value) in self.list(field).into_iter().enumerate() {
            match value.as_str() {
                Some(text) => texts.push(text.to_owned()),
                None => {
                    let path = format!("{}[{index}]", self.path_of(field));
                    self.push(path, &value, "a text belongs here");
                }
            }
        }
        texts
    }

    /// An address with port, if given.
    pub fn address(&mut self, field: &'static str) -> Option<SocketAddr> {
        let text = self.text(field)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.problem(field, &text, ADDRESS_EXPECTED);
        }
        address
    }

    /// A required address with port.
    pub fn required_address(&mut self, field: &'static str) -> Option<SocketAddr> {
        if !self.has(field) {
            self.take(field);
            self.missing(field, "an IP address with port");
            return None;
        }
        self.address(field)
    }

    /// A list of addresses, empty when it is not given.
    pub fn addresses(&mut self, field: &'static str) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (index, value) in self.list(field).into_iter().enumerate() {
            match value.as_str().and_then(|text| text.parse().ok()) {
                Some(address) => addresses.push(address),
                None => {
                    let path = format!("{}[{index}]", self.path_of(field));
                    self.push(path, &value, ADDRESS_EXPECTED);
                }
            }
        }
        addresses
    }

    fn list(&mut self, field: &'static str) -> Vec<Value> {
        match self.take(field) {
            None => Vec::new(),
            Some(Value::Sequence(values)) => values,
            Some(other) => {
                self.push(self.path_of(field), &other, "a list belongs here");
                Vec::new()
            }
        }
    }

    /// A list of mappings, empty when it is not given. Each has to be finished by the caller.
    pub fn sections(&mut self, field: &'static str) -> Vec<Self> {
        let values = self.list(field);
        let path = self.path_of(field);
        let section =
            |(index, value)| Self::new(format!("{path}[{index}]"), value, self.problems.clone());
        values.into_iter().enumerate().map(section).collect()
    }

    /// A mapping from names to mappings, empty when it is not given. Each has to be finished.
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

    /// Reports every key that nobody asked for.
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

const NAME_EXPECTED: &str = "a name of at most 64 letters, digits, '-', '_' or '.' belongs here";
const ADDRESS_EXPECTED: &str = "an IP address with port, such as 10.0.0.1:7000, belongs here";

fn is_name(text: &str) -> bool {
    let ok = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= LONGEST_NAME_BYTES && text.chars().all(ok)
}

fn key_text(key: &Value) -> String {
    key.as_str().map_or_else(|| shown(key), ToOwned::to_owned)
}

/// A value as an operator recognises it, on one line.
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
