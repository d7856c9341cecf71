//! `experiment`: measures variants of the system against each other on meshes of real processes.

use std::path::PathBuf;

use argh::FromArgs;

use crate::errors::ExperimentError;
use crate::load::ResendPolicy;
use crate::load::cli::EXIT_OK;
use crate::load::experiment::CostExperiment;
use crate::load::experiment::OverloadExperiment;
use crate::load::experiment::RateLimitExperiment;
use crate::load::experiment::SwitchingExperiment;
use crate::load::experiment::Variant;
use crate::load::experiment::overload_rows;
use crate::load::experiment::render_cost;
use crate::load::experiment::render_overload;
use crate::load::experiment::render_rate_limit;
use crate::load::experiment::render_switching;
use crate::load::load_runtime;

/// Threads that send the load of an experiment.
const THREADS: usize = 2;
/// What a caller that resends hard does.
const HARD_RESEND: ResendPolicy = ResendPolicy {
    times: 3,
    wait_ms: 100,
    attempt_timeout_ms: 1_000,
    honour_retry_after: false,
};

/// Measures variants of the system against each other, interleaved and repeated, on meshes of real
/// processes on loopback.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentArgs {
    #[argh(subcommand)]
    pub experiment: ExperimentCommand,
}

/// Which experiment.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum ExperimentCommand {
    Overload(OverloadArgs),
    Cost(CostArgs),
    Switching(SwitchingArgs),
    RateLimit(RateLimitArgs),
}

/// A surge on a chain whose last service slows down at the same moment: goodput, wasted work and
/// recovery.
///
/// Example: sassafrasgap-load experiment overload --depth 2 --depth 4 --rounds 3 --out /tmp/results
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "overload")]
pub struct OverloadArgs {
    /// services in the chain; repeat it for several; 2, 4 and 8 unless given
    #[argh(option)]
    pub depth: Vec<usize>,
    /// load in multiples of what the slowed last service can run; repeat it for several; 1, 2 and 4
    /// unless given
    #[argh(option)]
    pub factor: Vec<f64>,
    /// variant, as name or name:key=value,key=value of node settings; repeat it for several;
    /// controlled and baseline:control_enabled=false unless given
    #[argh(option)]
    pub variant: Vec<Variant>,
    /// repetitions, 3 unless given
    #[argh(option, default = "3")]
    pub rounds: usize,
    /// backend servers of each service, 2 unless given
    #[argh(option, default = "2")]
    pub targets: usize,
    /// calls that a backend server of the last service runs at once, 8 unless given
    #[argh(option, default = "8")]
    pub slots: u32,
    /// mean time of a call in the last service in milliseconds, 50 unless given
    #[argh(option, default = "50.0")]
    pub service_ms: f64,
    /// how many times as long the last service takes in the surge, 2 unless given
    #[argh(option, default = "2.0")]
    pub slow_factor: f64,
    /// length of the ordinary load before the surge in milliseconds, 5000 unless given
    #[argh(option, default = "5000")]
    pub ordinary_ms: u64,
    /// length of the surge in milliseconds, 8000 unless given
    #[argh(option, default = "8000")]
    pub surge_ms: u64,
    /// length of the ordinary load after the surge in milliseconds, 6000 unless given
    #[argh(option, default = "6000")]
    pub recovery_ms: u64,
    /// deadline of a whole request in milliseconds, 3000 unless given
    #[argh(option, default = "3000")]
    pub deadline_ms: u64,
    /// callers wait as long as refusals ask them to
    #[argh(switch)]
    pub honour_retry_after: bool,
    /// folder for the reports, in JSON
    #[argh(option)]
    pub out: PathBuf,
}

/// Calls straight to a backend server, paired with the same calls through entry and guard.
///
/// Example: sassafrasgap-load experiment cost --rate 500 --rounds 5 --out /tmp/results
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "cost")]
pub struct CostArgs {
    /// calls per second, 500 unless given
    #[argh(option, default = "500.0")]
    pub rate: f64,
    /// length of each half of a round in milliseconds, 5000 unless given
    #[argh(option, default = "5000")]
    pub duration_ms: u64,
    /// repetitions, 5 unless given
    #[argh(option, default = "5")]
    pub rounds: usize,
    /// variant of node settings, as name:key=value
    #[argh(option, default = "Variant::controlled()")]
    pub variant: Variant,
    /// time of a call in the backend server in milliseconds, 0 unless given
    #[argh(option, default = "0.0")]
    pub service_ms: f64,
    /// length of answers, 0 for the shortest
    #[argh(option, default = "0")]
    pub answer_bytes: usize,
    /// folder for the rounds, in JSON
    #[argh(option)]
    pub out: PathBuf,
}

/// Switches between presets: the time until a version is in force on every node, with the platform
/// as usual, slow, failing, and cut off from one failure domain.
///
/// Example: sassafrasgap-load experiment switching --domains 3 --nodes 4 --rounds 5 --out /tmp/results
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "switching")]
pub struct SwitchingArgs {
    /// failure domains, 3 unless given
    #[argh(option, default = "3")]
    pub domains: usize,
    /// nodes in each failure domain, 4 unless given
    #[argh(option, default = "4")]
    pub nodes: usize,
    /// repetitions, 5 unless given
    #[argh(option, default = "5")]
    pub rounds: usize,
    /// folder for the rounds, in JSON
    #[argh(option)]
    pub out: PathBuf,
}

/// Backend servers that name a rate in their answers, under ordinary load and a surge: the most requests that each
/// got in 4 s against what may be, who was served, and what refused callers were told.
///
/// Example: sassafrasgap-load experiment rate-limit --targets 3 --limited 3 --out /tmp/results
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "rate-limit")]
pub struct RateLimitArgs {
    /// backend servers, 3 unless given
    #[argh(option, default = "3")]
    pub targets: usize,
    /// how many of them name the rate, all unless given
    #[argh(option)]
    pub limited: Option<usize>,
    /// requests a second that each of these names, 10 unless given
    #[argh(option, default = "10.0")]
    pub rate: f64,
    /// ordinary load in requests a second, 20 unless given
    #[argh(option, default = "20.0")]
    pub load: f64,
    /// load of the surge in multiples of the ordinary one, 3 unless given
    #[argh(option, default = "3.0")]
    pub surge_factor: f64,
    /// length of the ordinary load and of the surge in milliseconds, 10000 unless given
    #[argh(option, default = "10000")]
    pub phase_ms: u64,
    /// time of a call in milliseconds, 50 unless given
    #[argh(option, default = "50.0")]
    pub service_ms: f64,
    /// folder for the report, in JSON
    #[argh(option)]
    pub out: PathBuf,
}

/// Runs the subcommand.
///
/// # Errors
/// When a mesh cannot be started or a file cannot be written.
pub fn run(args: ExperimentArgs) -> eyre::Result<u8> {
    match args.experiment {
        ExperimentCommand::Overload(args) => run_overload(args)?,
        ExperimentCommand::Cost(args) => run_cost(args)?,
        ExperimentCommand::Switching(args) => run_switching(args)?,
        ExperimentCommand::RateLimit(args) => run_rate_limit(args)?,
    }
    Ok(EXIT_OK)
}

fn run_overload(args: OverloadArgs) -> Result<(), ExperimentError> {
    let experiment = OverloadExperiment {
        depths: or_else(args.depth, vec![2, 4, 8]),
        factors: or_else(args.factor, vec![1.0, 2.0, 4.0]),
        variants: or_else(
            args.variant,
            vec![Variant::controlled(), Variant::baseline()],
        ),
        rounds: args.rounds,
        targets_per_service: args.targets,
        last_slots: args.slots,
        last_service_ms: args.service_ms,
        slow_factor: args.slow_factor,
        ordinary_ms: args.ordinary_ms,
        surge_ms: args.surge_ms,
        recovery_ms: args.recovery_ms,
        deadline_ms: args.deadline_ms,
        resend: ResendPolicy {
            honour_retry_after: args.honour_retry_after,
            ..HARD_RESEND
        },
    };
    let runs = load_runtime(THREADS)?.block_on(experiment.run(&args.out))?;
    print!("{}", render_overload(&overload_rows(&runs)));
    Ok(())
}

fn run_cost(args: CostArgs) -> Result<(), ExperimentError> {
    let experiment = CostExperiment {
        rate_per_s: args.rate,
        duration_ms: args.duration_ms,
        rounds: args.rounds,
        variant: args.variant,
        service_ms: args.service_ms,
        answer_bytes: args.answer_bytes,
    };
    let rows = load_runtime(THREADS)?.block_on(experiment.run(&args.out))?;
    print!("{}", render_cost(&rows));
    Ok(())
}

fn run_switching(args: SwitchingArgs) -> Result<(), ExperimentError> {
    let experiment = SwitchingExperiment {
        domains: args.domains,
        nodes_per_domain: args.nodes,
        rounds: args.rounds,
    };
    let rows = load_runtime(THREADS)?.block_on(experiment.run(&args.out))?;
    print!("{}", render_switching(&rows));
    Ok(())
}

fn run_rate_limit(args: RateLimitArgs) -> Result<(), ExperimentError> {
    let experiment = RateLimitExperiment {
        targets: args.targets,
        limited: args.limited.unwrap_or(args.targets).min(args.targets),
        rate_per_s: args.rate,
        load_per_s: args.load,
        surge_factor: args.surge_factor,
        phase_ms: args.phase_ms,
        service_ms: args.service_ms,
    };
    let report = load_runtime(THREADS)?.block_on(experiment.run(&args.out))?;
    print!("{}", render_rate_limit(&report));
    Ok(())
}

fn or_else<T>(given: Vec<T>, usual: Vec<T>) -> Vec<T> {
    if given.is_empty() { usual } else { given }
}
