//! Readers for each type of field in a section.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde_yaml_ng::Value;

use crate::conf::Section;
use crate::conf::unit_hint::number_hint;
use crate::core::Name;

/// The longest name of a node, service, class or preset, in bytes.
const MAX_NAME_BYTES: usize = 64;
pub(super) const NAME_EXPECTED: &str =
    "a name of at most 64 letters, digits, '-', '_' or '.' belongs here";
const ADDRESS_EXPECTED: &str = "an IP address with port, such as 10.0.0.1:7000, belongs here";

impl Section {
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

    /// An optional whole number within a range, with a default.
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

    /// An optional boolean.
    pub fn boolean(&mut self, field: &'static str) -> Option<bool> {
        let value = self.take(field)?;
        if value.as_bool().is_none() {
            self.push(self.path_of(field), &value, "true or false");
        }
        value.as_bool()
    }

    /// An optional text.
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

    /// Parses a name from a field's text, or reports a problem.
    pub fn checked_name(&self, field: &str, text: &str) -> Option<Name> {
        if !is_name(text) {
            self.problem(field, text, NAME_EXPECTED);
            return None;
        }
        Some(Name::from(text))
    }

    /// Reports a missing name, unless [`Self::text`] has already reported a value that is not a
    /// text.
    fn missing_name(&self, field: &'static str) {
        let path = self.path_of(field);
        let reported = self.problems.borrow().iter().any(|p| p.field == path);
        if !reported {
            self.missing(field, "a name");
        }
    }

    /// A list of names, empty if absent.
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

    /// A list of texts, empty if absent.
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

    /// An optional address with port.
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

    /// A list of addresses, empty if absent.
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
}

/// Whether a text is a valid name. Names become part of keys, paths and labels.
pub(super) fn is_name(text: &str) -> bool {
    let ok = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(ok)
}
