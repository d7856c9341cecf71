//! The status as text for people.

use std::collections::BTreeMap;

use crate::configuration::DomainConfirmation;
use crate::core::Name;
use crate::core::TargetState;
use crate::ctl::NodeLine;
use crate::ctl::StatusReport;
use crate::ctl::text_table;

/// Renders the whole status: what is in force first, then domains, nodes and counters.
pub fn render_status(report: &StatusReport) -> String {
    let mut parts = vec![
        head(report),
        domains_table(report),
        nodes_table(&report.nodes),
    ];
    parts.extend(counts("refused", &report.refusals));
    parts.extend(counts("retried", &report.retries));
    parts.join("\n\n")
}

fn head(report: &StatusReport) -> String {
    let accepted = match (&report.platform, &report.platform_error) {
        (Some(row), _) => format!(
            "platform: version {}, preset {} revision {}",
            row.version, row.preset, row.revision
        ),
        (None, Some(error)) => format!("platform: not known ({error})"),
        (None, None) => "platform: not asked, or nothing is in force there".to_owned(),
    };
    let confirmed = match report.unconfirmed_domains.as_slice() {
        [] => format!("version {} is in force on every node", report.version),
        domains => format!(
            "version {} is NOT confirmed in: {}",
            report.version,
            domains.join(", ")
        ),
    };
    let mut lines = vec![
        accepted,
        confirmed,
        format!("seen from {}", report.seen_from),
    ];
    if !report.cut_off_domains.is_empty() {
        lines.push(format!(
            "cut off from: {}",
            report.cut_off_domains.join(", ")
        ));
    }
    lines.join("\n")
}

fn domains_table(report: &StatusReport) -> String {
    let mut rows = vec![cells(&["domain", "nodes", "in force", "behind", "silent"])];
    for domain in &report.domains {
        rows.push(domain_row(domain));
    }
    text_table(&rows)
}

fn domain_row(domain: &DomainConfirmation) -> Vec<String> {
    vec![
        domain.domain.to_string(),
        domain.nodes.to_string(),
        domain.in_force.to_string(),
        domain.behind.join(" "),
        domain.silent.join(" "),
    ]
}

fn nodes_table(nodes: &[NodeLine]) -> String {
    let head = [
        "node",
        "domain",
        "service",
        "state",
        "version",
        "preset",
        "in flight",
        "limit",
        "queued",
        "refused",
    ];
    let mut rows = vec![cells(&head)];
    rows.extend(nodes.iter().map(node_row));
    text_table(&rows)
}

fn node_row(node: &NodeLine) -> Vec<String> {
    let mut row = vec![
        node.node.to_string(),
        node.domain.to_string(),
        or_dash(&node.service),
        state_word(node.state).to_owned(),
    ];
    if !node.answered {
        row.push("no answer".to_owned());
        return row;
    }
    row.extend([
        node.version
            .map_or_else(String::new, |version| version.to_string()),
        or_dash(node.preset.as_deref().unwrap_or_default()),
        node.in_flight.to_string(),
        node.limit.to_string(),
        node.queued.to_string(),
        node.refused.to_string(),
    ]);
    row
}

fn counts(title: &str, counts: &BTreeMap<Name, u64>) -> Option<String> {
    if counts.is_empty() {
        return None;
    }
    let mut rows = vec![cells(&[title, "count"])];
    let lines = counts.iter();
    rows.extend(lines.map(|(reason, count)| vec![reason.to_string(), count.to_string()]));
    Some(text_table(&rows))
}

fn cells(texts: &[&str]) -> Vec<String> {
    texts.iter().map(ToString::to_string).collect()
}

fn or_dash(text: &str) -> String {
    if text.is_empty() { "-" } else { text }.to_owned()
}

fn state_word(state: TargetState) -> &'static str {
    match state {
        TargetState::Starting => "starting",
        TargetState::Up => "up",
        TargetState::Draining => "draining",
        TargetState::Suspect => "suspect",
        TargetState::Dead => "dead",
        TargetState::Left => "left",
    }
}
