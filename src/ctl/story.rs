//! `story`: what became of one request, out of the logs of several nodes.

use std::path::PathBuf;

use serde_json::json;

use crate::ctl::Exit;
use crate::ctl::log_files::NodeLine;
use crate::ctl::log_files::fields_text;
use crate::ctl::log_files::read_logs;
use crate::ctl::output::Output;
use crate::ctl::text_table::text_table;
use crate::errors::CtlError;

/// The field that names a request.
const REQUEST: &str = "request";

/// The command. With `around`, also shows what the same nodes said about no request in particular
/// between the first and the last line of the request, and so many lines before.
pub(super) fn run(request: &str, around: usize, files: &[PathBuf]) -> Result<Output, CtlError> {
    let lines = read_logs(files)?;
    let story = story(&lines, request, around);
    let mut output = Output::done(
        describe(&story, request),
        &json!({ "request": request, "lines": story }),
    );
    if story.is_empty() {
        output.exit = Exit::Refused;
    }
    Ok(output)
}

/// The lines of a request in order.
fn story<'a>(lines: &'a [NodeLine], request: &str, around: usize) -> Vec<&'a NodeLine> {
    let is_own = |line: &NodeLine| line.line.field(REQUEST).as_deref() == Some(request);
    let own: Vec<usize> = (0..lines.len()).filter(|at| is_own(&lines[*at])).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    if around == 0 {
        return own.iter().map(|at| &lines[*at]).collect();
    }
    let nodes: Vec<&str> = own.iter().map(|at| &*lines[*at].node).collect();
    let is_near =
        |line: &&NodeLine| nodes.contains(&&*line.node) && !line.line.fields.contains_key(REQUEST);
    let mut before: Vec<&NodeLine> = lines[..*first]
        .iter()
        .rev()
        .filter(is_near)
        .take(around)
        .collect();
    before.reverse();
    let during = lines[*first..=*last].iter();
    before.extend(during.filter(|line| is_own(line) || is_near(line)));
    before
}

fn describe(story: &[&NodeLine], request: &str) -> String {
    if story.is_empty() {
        return format!(
            "no line of request {request}; of requests that were served only a part is logged"
        );
    }
    let head = ["time", "node", "part", "event", "what it was decided by"];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    for line in story {
        rows.push(vec![
            line.line.ts.clone(),
            line.node.clone(),
            line.line.part.clone(),
            line.line.event.clone(),
            fields_text(&line.line, REQUEST),
        ]);
    }
    text_table(&rows)
}
