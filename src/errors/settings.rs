//! Errors in settings files, with all problems reported at once.

use std::fmt;

use serde::Serialize;
use thiserror::Error;

/// One problem in a settings, preset or deployment file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Problem {
    /// Path of the field, such as `rules[2].class`; empty for the whole document.
    pub field: String,
    /// The value as written, shortened.
    pub value: String,
    /// The expected value.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = if self.field.is_empty() {
            "(document)"
        } else {
            &self.field
        };
        write!(f, "{field}: is {}; {}", self.value, self.expected)
    }
}

/// An invalid file, with all its problems.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error, Serialize)]
#[error("{}", list_problems(file, problems))]
pub struct SettingsError {
    pub file: String,
    pub problems: Vec<Problem>,
}

fn list_problems(file: &str, problems: &[Problem]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{file}: {problem}"))
        .collect();
    lines.join("\n")
}
