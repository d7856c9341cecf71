//! The report as a table for people.

use std::fmt::Write;

use crate::load::Audit;
use crate::load::ClassFigures;
use crate::load::Recovery;
use crate::load::Report;

/// Renders a report.
pub fn render_table(report: &Report) -> String {
    let mut out = String::new();
    render_head(&mut out);
    for phase in &report.phases {
        let name = format!("{} ({} ms)", phase.span.name, phase.span.duration_ms());
        let _ = writeln!(out, "{name}");
        for row in &phase.classes {
            render_row(&mut out, &row.class, &row.figures);
        }
        render_row(&mut out, "all", &phase.all);
    }
    render_refusals(&mut out, &report.all);
    if let Some(recovery) = &report.recovery {
        render_recovery(&mut out, recovery);
    }
    match &report.audit {
        Some(audit) => render_audit(&mut out, audit),
        None => out.push_str("audit: not run, no backend servers were named\n"),
    }
    render_generator(&mut out, report);
    out
}

fn render_head(out: &mut String) {
    let _ = writeln!(
        out,
        "{:<16}{:>9}{:>9}{:>7}{:>9}{:>8}{:>8}{:>8}{:>8}{:>8}{:>10}{:>9}{:>9}",
        "class",
        "offered",
        "good",
        "%",
        "refused",
        "failed",
        "broken",
        "late",
        "unknown",
        "resent",
        "good/s",
        "p50 ms",
        "p99 ms",
    );
}

fn render_row(out: &mut String, class: &str, figures: &ClassFigures) {
    let failed: u64 = figures.failed.values().sum();
    let _ = writeln!(
        out,
        "  {:<14}{:>9}{:>9}{:>7.1}{:>9}{:>8}{:>8}{:>8}{:>8}{:>8}{:>10.1}{:>9.2}{:>9.2}",
        class,
        figures.offered,
        figures.good,
        figures.goodput_share * 100.0,
        figures.refused_sum(),
        failed,
        figures.broken + figures.wrong,
        figures.late + figures.timed_out,
        figures.unknown,
        figures.resent,
        figures.goodput_per_s,
        figures.latency.p50_ms,
        figures.latency.p99_ms,
    );
}

fn render_refusals(out: &mut String, figures: &ClassFigures) {
    for (reason, count) in &figures.refused {
        let _ = writeln!(out, "refused {reason}: {count}");
    }
    for (status, count) in &figures.failed {
        let _ = writeln!(out, "failed with status {status}: {count}");
    }
}

fn render_recovery(out: &mut String, recovery: &Recovery) {
    let came = recovery.recovery_ms.map_or_else(
        || "did not come within the run".to_owned(),
        |recovery_ms| format!("after {recovery_ms} ms"),
    );
    let _ = writeln!(
        out,
        "recovery: {came}; relapsed {} of {} windows; ordinary goodput {:.1}/s, p99 {:.2} ms",
        recovery.relapsed_windows,
        recovery.windows,
        recovery.ordinary_goodput_per_s,
        recovery.ordinary_p99_ms,
    );
}

fn render_audit(out: &mut String, audit: &Audit) {
    let _ = writeln!(
        out,
        "audit: runs {}  duplicates {}  losses {}  false not_run {}  wrong answers {}  \
         wasted {} ({:.1}%)",
        audit.runs,
        audit.duplicates,
        audit.losses,
        audit.false_not_run,
        audit.wrong_answers,
        audit.wasted_runs,
        audit.wasted_share * 100.0,
    );
    for example in &audit.examples {
        let _ = writeln!(out, "audit: {example}");
    }
}

fn render_generator(out: &mut String, report: &Report) {
    let figures = &report.generator;
    let _ = writeln!(
        out,
        "generator: behind its schedule by p50 {:.2} ms, p99 {:.2} ms, at most {:.2} ms",
        figures.behind_p50_ms, figures.behind_p99_ms, figures.behind_max_ms,
    );
    if figures.fell_behind {
        out.push_str(
            "generator: WARNING it fell behind; latencies count from the due moment and so \
             include its own delay\n",
        );
    }
}
