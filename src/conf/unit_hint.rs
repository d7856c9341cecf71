//! Detects values in another unit than the field's name states, and suggests the correct one.

use serde_yaml_ng::Value;

/// Unit suffixes of field names, with the factor to milliseconds or bytes.
const UNITS: &[(&str, Kind, f64)] = &[
    ("_us", Kind::Time, 0.001),
    ("_ms", Kind::Time, 1.0),
    ("_sec", Kind::Time, 1_000.0),
    ("_secs", Kind::Time, 1_000.0),
    ("_seconds", Kind::Time, 1_000.0),
    ("_s", Kind::Time, 1_000.0),
    ("_min", Kind::Time, 60_000.0),
    ("_minutes", Kind::Time, 60_000.0),
    ("_bytes", Kind::Size, 1.0),
    ("_kb", Kind::Size, 1_024.0),
    ("_kib", Kind::Size, 1_024.0),
    ("_mb", Kind::Size, 1_048_576.0),
    ("_mib", Kind::Size, 1_048_576.0),
];

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Time,
    Size,
}

fn split_unit(key: &str) -> (&str, Option<(Kind, f64)>) {
    for &(suffix, kind, size) in UNITS {
        if let Some(stem) = key.strip_suffix(suffix) {
            return (stem, Some((kind, size)));
        }
    }
    (key, None)
}

/// Suggests the known field that differs from an unknown one only in its unit, with the value
/// converted if possible.
pub fn unit_hint(unknown: &str, value: &Value, known: &[&'static str]) -> Option<String> {
    let (stem, unit) = split_unit(unknown);
    let field = known.iter().find(|field| {
        let (known_stem, known_unit) = split_unit(field);
        known_unit.is_some() && known_stem == stem
    })?;
    let (_, known_unit) = split_unit(field);
    let converted = number_hint(field, value).or_else(|| {
        let (kind, size) = unit?;
        let (known_kind, known_size) = known_unit?;
        let number = value.as_f64()?;
        (kind == known_kind).then(|| format!("{}", (number * size / known_size).round()))
    });
    Some(match converted {
        Some(number) => format!("write `{field}: {number}`"),
        None => format!("the field is called {field}"),
    })
}

/// The number to write instead of a text with a unit, such as `200ms`.
pub fn number_hint(field: &str, value: &Value) -> Option<String> {
    let text = value.as_str()?.trim();
    if let Ok(number) = text.parse::<u64>() {
        return Some(number.to_string());
    }
    let (_, unit) = split_unit(field);
    match unit? {
        (Kind::Time, size) => {
            let duration = humantime::parse_duration(text).ok()?;
            let number = duration.as_secs_f64() * 1_000.0 / size;
            Some(format!("{}", number.round()))
        }
        (Kind::Size, size) => size_in_bytes(text).map(|bytes| format!("{}", bytes / size)),
    }
}

fn size_in_bytes(text: &str) -> Option<f64> {
    let digits = text.trim_end_matches(|c: char| !c.is_ascii_digit());
    let number: f64 = digits.parse().ok()?;
    let unit = text[digits.len()..].trim().to_ascii_lowercase();
    let factor = match unit.as_str() {
        "b" | "bytes" => 1.0,
        "k" | "kb" | "kib" => 1_024.0,
        "m" | "mb" | "mib" => 1_048_576.0,
        _ => return None,
    };
    Some(number * factor)
}
