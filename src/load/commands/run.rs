//! `run`: sends the load of a plan.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::load::CallRecord;
use crate::load::Outcomes;
use crate::load::PhaseSpan;
use crate::load::Plan;
use crate::load::SiteOptions;
use crate::load::Trace;
use crate::load::commands::finish::finish;
use crate::load::commands::sending::Sending;
use crate::load::commands::sending::send_and_report;
use crate::load::experiment::Variant;

/// Sends the load of a plan, open-loop, and reports.
///
/// Example: sassafrasgap-load run --plan plan.yaml --entry 127.0.0.1:7100
/// --backend 127.0.0.1:7900 --json report.json --plot report.svg
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunArgs {
    /// plan of phases and calls, in YAML
    #[argh(option)]
    pub plan: PathBuf,
    /// callers' address of a node; repeat it for several
    #[argh(option)]
    pub entry: Vec<SocketAddr>,
    /// stand-in backend server to ask what it ran; repeat it for several
    #[argh(option)]
    pub backend: Vec<SocketAddr>,
    /// starts a mesh of this deployment on loopback and sends to its nodes; its backend servers are
    /// described in backends.yaml beside it
    #[argh(option)]
    pub deployment: Option<PathBuf>,
    /// settings of the nodes of that mesh, as name:key=value, such as baseline:control_enabled=false
    #[argh(option, default = "Variant::controlled()")]
    pub variant: Variant,
    /// run log of a stand-in backend server; repeat it for several
    #[argh(option)]
    pub run_log: Vec<PathBuf>,
    /// write what was sent, for `replay`
    #[argh(option)]
    pub record: Option<PathBuf>,
    /// write the report as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
    /// draw goodput and latency over time, as SVG
    #[argh(option)]
    pub plot: Option<PathBuf>,
    /// check the outcomes stated in a file; 1 is returned when one is not met
    #[argh(option)]
    pub expect: Option<PathBuf>,
    /// threads that send, 2 unless given
    #[argh(option, default = "2")]
    pub threads: usize,
    /// no progress lines on stderr
    #[argh(switch)]
    pub quiet: bool,
}

/// Runs the subcommand.
///
/// # Errors
/// When the plan is wrong, nothing could be sent, or a file cannot be written.
pub fn run(args: RunArgs) -> eyre::Result<u8> {
    let plan = Plan::load(&args.plan)?;
    let outcomes = args.expect.as_deref().map(Outcomes::load).transpose()?;
    let mut trace = Trace::generate(&plan);
    trace.prefix_keys(&format!("{:08x}", fastrand::u32(..)));
    let sent_trace = args.record.is_some().then(|| trace.clone());
    let sent = send_and_report(Sending {
        trace,
        phases: PhaseSpan::of_plan(&plan),
        classes: plan.classes(),
        resend: plan.resend,
        show_progress: !args.quiet,
        site: SiteOptions {
            entries: args.entry,
            backends: args.backend,
            run_logs: args.run_log,
            deployment: args.deployment,
            variant: args.variant,
        },
        threads: args.threads,
    })?;
    if let (Some(path), Some(trace)) = (&args.record, sent_trace) {
        as_sent(trace, &sent.records).write(path)?;
    }
    let code = finish(
        &sent.report,
        args.json.as_deref(),
        args.plot.as_deref(),
        outcomes.as_ref(),
    )?;
    Ok(code)
}

/// The trace with the moments at which calls really went out.
fn as_sent(mut trace: Trace, records: &[CallRecord]) -> Trace {
    for record in records {
        let line = &mut trace.lines[record.index];
        line.at_ms += record.behind_us / 1_000;
    }
    trace.lines.sort_by_key(|line| line.at_ms);
    trace
}
