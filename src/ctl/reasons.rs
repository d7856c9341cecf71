//! `reasons`: why requests were refused, over time, out of the logs of several nodes.

use std::collections::BTreeMap;
use std::path::PathBuf;

use jiff::Timestamp;
use serde::Serialize;

use crate::ctl::log_files::NodeLine;
use crate::ctl::log_files::read_logs;
use crate::ctl::output::Output;
use crate::ctl::text_table::text_table;
use crate::errors::CtlError;

/// Lines of one part, event and reason in one span of time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
struct Reason {
    /// When the span began.
    from: String,
    part: String,
    event: String,
    reason: String,
    lines: u64,
    nodes: usize,
}

type Key = (i64, String, String, String);

/// The command. `every_s` is the length of a span.
pub(super) fn run(every_s: u32, files: &[PathBuf]) -> Result<Output, CtlError> {
    let lines = read_logs(files)?;
    let reasons = count(&lines, i64::from(every_s.max(1)));
    let head = ["from", "part", "event", "reason", "lines", "nodes"];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    rows.extend(reasons.iter().map(|each| {
        vec![
            each.from.clone(),
            each.part.clone(),
            each.event.clone(),
            each.reason.clone(),
            each.lines.to_string(),
            each.nodes.to_string(),
        ]
    }));
    Ok(Output::done(text_table(&rows), &reasons))
}

fn count(lines: &[NodeLine], every_s: i64) -> Vec<Reason> {
    let mut counts: BTreeMap<Key, (u64, Vec<&str>)> = BTreeMap::new();
    for line in lines {
        let Some((key, node)) = key_of(line, every_s) else {
            continue;
        };
        let (count, nodes) = counts.entry(key).or_default();
        *count += 1;
        if !nodes.contains(&node) {
            nodes.push(node);
        }
    }
    let reasons = counts.into_iter();
    reasons
        .map(|((from_s, part, event, reason), (lines, nodes))| Reason {
            from: text_of(from_s),
            part,
            event,
            reason,
            lines,
            nodes: nodes.len(),
        })
        .collect()
}

/// The reason of a refusal, what a further attempt came after, or the word of a grave line.
fn key_of(line: &NodeLine, every_s: i64) -> Option<(Key, &str)> {
    let log = &line.line;
    let at: Timestamp = log.ts.parse().ok()?;
    let from_s = at.as_second() / every_s * every_s;
    let reason = log
        .field("reason")
        .or_else(|| log.field("after"))
        .or_else(|| log.field("status"));
    let reason = match reason {
        Some(reason) => reason,
        None if log.level == "info" => return None,
        None => log.level.clone(),
    };
    let key = (from_s, log.part.clone(), log.event.clone(), reason);
    Some((key, &line.node))
}

fn text_of(second: i64) -> String {
    Timestamp::from_second(second).map_or_else(|_| second.to_string(), |at| at.to_string())
}
