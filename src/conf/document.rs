//! Reads and parses a YAML file, and collects every problem in it.

use std::cell::RefCell;
use std::fs;
use std::path::Path;
use std::rc::Rc;

use serde_yaml_ng::Value;

use crate::conf::Section;
use crate::errors::Problem;
use crate::errors::SettingsError;

/// Reads a file as text.
///
/// # Errors
/// When the file cannot be read; this is then the only problem.
pub fn read_file(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|error| SettingsError {
        file: path.display().to_string(),
        problems: vec![Problem {
            field: String::new(),
            value: "not readable".to_owned(),
            expected: error.to_string(),
        }],
    })
}

/// Parses `text` and calls `read` to extract the values. `read` returns `None` if a required value
/// is missing. Its result is returned only if no problem was recorded.
///
/// # Errors
/// All problems of the document, so that they can be corrected in one round.
pub fn parse_document<T>(
    file: &str,
    text: &str,
    read: impl FnOnce(&mut Section) -> Option<T>,
) -> Result<T, SettingsError> {
    let problems = Rc::new(RefCell::new(Vec::new()));
    let value = parse_value(text, &problems);
    let result = value.and_then(|value| {
        let mut section = Section::root(value, problems.clone());
        let result = read(&mut section);
        section.finish();
        result
    });
    let problems = problems.take();
    match result {
        Some(result) if problems.is_empty() => Ok(result),
        _ => Err(SettingsError {
            file: file.to_owned(),
            problems,
        }),
    }
}

fn parse_value(text: &str, problems: &RefCell<Vec<Problem>>) -> Option<Value> {
    match serde_yaml_ng::from_str(text) {
        Ok(value) => Some(value),
        Err(error) => {
            problems.borrow_mut().push(Problem {
                field: String::new(),
                value: "not YAML".to_owned(),
                expected: error.to_string(),
            });
            None
        }
    }
}
