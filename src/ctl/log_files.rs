//! Logs of several nodes, read and put in order.

use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;

use crate::errors::CtlError;
use crate::logging::LogLine;

/// Stands for the standard input in place of a file.
const STANDARD_INPUT: &str = "-";

/// A line, and the node that wrote it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub(super) struct NodeLine {
    pub node: String,
    #[serde(flatten)]
    pub line: LogLine,
}

/// All lines of the files in the order of time. Lines of another kind are passed over.
///
/// # Errors
/// When a file cannot be read.
pub(super) fn read_logs(files: &[PathBuf]) -> Result<Vec<NodeLine>, CtlError> {
    let mut lines = Vec::new();
    for file in files {
        let text = read(file)?;
        let stem = file.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(text.lines().filter_map(|text| node_line(text, &stem)));
    }
    // The order of lines of one node and millisecond is that in which they were written.
    lines.sort_by(|one, other| one.line.ts.cmp(&other.line.ts));
    Ok(lines)
}

fn read(file: &Path) -> Result<String, CtlError> {
    let failed = |source| CtlError::LogUnreadable {
        file: file.display().to_string(),
        source,
    };
    if file.as_os_str() == STANDARD_INPUT {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(failed)?;
        return Ok(text);
    }
    std::fs::read_to_string(file).map_err(failed)
}

/// Whoever collected the logs may have put the node's name before each line; otherwise the file is
/// named after it.
fn node_line(text: &str, stem: &str) -> Option<NodeLine> {
    let line = LogLine::parse(text)?;
    let before = text.split('{').next().unwrap_or("");
    let node = before.split_whitespace().last().unwrap_or(stem);
    Some(NodeLine {
        node: node.to_owned(),
        line,
    })
}

/// All fields as `name=value`, without one that is shown elsewhere.
pub(super) fn fields_text(line: &LogLine, without: &str) -> String {
    let names = line.fields.keys().filter(|name| *name != without);
    let texts: Vec<String> = names
        .map(|name| format!("{name}={}", line.field(name).unwrap_or_default()))
        .collect();
    texts.join(" ")
}
