//! `replay`: sends a recorded trace again, with the same timing.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::load::Outcomes;
use crate::load::PhaseSpan;
use crate::load::Plan;
use crate::load::ResendPolicy;
use crate::load::SiteOptions;
use crate::load::Trace;
use crate::load::commands::finish::finish;
use crate::load::commands::sending::Sending;
use crate::load::commands::sending::send_and_report;
use crate::load::experiment::Variant;

/// Sends a recorded trace with the same timing, and checks stated outcomes.
///
/// Example: sassafrasgap-load replay --trace examples/cantinas/trace.jsonl
/// --plan examples/cantinas/plan.yaml --expect examples/cantinas/outcomes.yaml
/// --deployment examples/cantinas/deployment.yaml
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayArgs {
    /// trace, one JSON line a call
    #[argh(option)]
    pub trace: PathBuf,
    /// plan whose phases and resend policy hold for the trace; one phase and no resends without
    #[argh(option)]
    pub plan: Option<PathBuf>,
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
    /// check the outcomes stated in a file; 1 is returned when one is not met
    #[argh(option)]
    pub expect: Option<PathBuf>,
    /// send the keys as recorded; otherwise they get a prefix, since a key runs only once
    #[argh(switch)]
    pub keys_as_recorded: bool,
    /// write the report as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
    /// draw goodput and latency over time, as SVG
    #[argh(option)]
    pub plot: Option<PathBuf>,
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
/// When the trace is wrong, nothing could be sent, or a file cannot be written.
pub fn run(args: ReplayArgs) -> eyre::Result<u8> {
    let mut trace = Trace::read(&args.trace)?;
    let plan = args.plan.as_deref().map(Plan::load).transpose()?;
    let outcomes = args.expect.as_deref().map(Outcomes::load).transpose()?;
    if !args.keys_as_recorded {
        trace.prefix_keys(&format!("{:08x}", fastrand::u32(..)));
    }
    let phases = match &plan {
        Some(plan) => PhaseSpan::of_plan(plan),
        None => PhaseSpan::of_trace(&trace),
    };
    let classes = match &plan {
        Some(plan) => plan.classes(),
        None => trace.classes(),
    };
    let resend = plan.map_or_else(ResendPolicy::default, |plan| plan.resend);
    let sent = send_and_report(Sending {
        trace,
        phases,
        classes,
        resend,
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
    let code = finish(
        &sent.report,
        args.json.as_deref(),
        args.plot.as_deref(),
        outcomes.as_ref(),
    )?;
    Ok(code)
}
