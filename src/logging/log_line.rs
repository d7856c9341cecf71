//! One line of the log.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// A line as a JSON object: time, level, part of the program, event, and the values behind it.
///
/// Messages in the program are written `part: event, field=value field=value`. They are parsed
/// here, so that the log is structured while the messages stay readable in the source.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LogLine {
    /// The time of day in RFC 3339, with milliseconds.
    pub ts: String,
    pub level: String,
    /// The part of the program that logged the line, for example `entry` or `store`.
    pub part: String,
    /// What happened, as a fixed text.
    pub event: String,
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a message. If it names no part, the last segment of `module` is used.
    pub fn new(ts: String, level: &str, module: &str, message: &str) -> Self {
        let (part, rest) = match message.split_once(": ") {
            Some((part, rest)) if is_identifier(part) => (part, rest),
            _ => (module.rsplit("::").next().unwrap_or(module), message),
        };
        let (event, fields) = rest.split_at(first_field(rest));
        let event = event.trim_end().trim_end_matches(',');
        Self {
            ts,
            level: level.to_owned(),
            part: part.to_owned(),
            event: event.to_owned(),
            fields: split_fields(fields),
        }
    }

    /// The line as JSON, without a line break.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
    }

    /// Parses a line; `None` if it is not a line of this log.
    pub fn parse(text: &str) -> Option<Self> {
        // Log collectors may prepend a prefix to each line.
        let start = text.find('{')?;
        serde_json::from_str(&text[start..]).ok()
    }

    /// The value of a field as text, whatever its type.
    pub fn field(&self, name: &str) -> Option<String> {
        let value = self.fields.get(name)?;
        Some(
            value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned),
        )
    }
}

fn is_identifier(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'_')
}

/// Splits a text that begins with `name=` into the name and the rest.
fn field_at(text: &str) -> Option<(&str, &str)> {
    let (name, rest) = text.split_once('=')?;
    is_identifier(name).then_some((name, rest))
}

/// The offset of the first `name=`, or the length of the text.
fn first_field(text: &str) -> usize {
    let starts = std::iter::once(0).chain(text.match_indices(' ').map(|(at, _)| at + 1));
    let mut fields = starts.filter(|at| field_at(&text[*at..]).is_some());
    fields.next().unwrap_or(text.len())
}

/// Splits `name=value` pairs. A value extends to the next `name=`, so it may contain spaces.
fn split_fields(text: &str) -> Map<String, Value> {
    let mut fields: Map<String, Value> = Map::new();
    let mut last: Option<(&str, String)> = None;
    for token in text.split(' ') {
        match (field_at(token), &mut last) {
            (Some((name, value)), _) => {
                if let Some((name, value)) = last.replace((name, value.to_owned())) {
                    fields.insert(name.to_owned(), typed(&value));
                }
            }
            (None, Some((_, value))) => {
                value.push(' ');
                value.push_str(token);
            }
            (None, None) => {}
        }
    }
    if let Some((name, value)) = last {
        fields.insert(name.to_owned(), typed(&value));
    }
    fields
}

fn typed(text: &str) -> Value {
    match text.parse::<i64>() {
        Ok(number) => Value::from(number),
        Err(_) => Value::from(text),
    }
}
