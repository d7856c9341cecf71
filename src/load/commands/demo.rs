//! `demo`: the main job in one command.

use std::path::PathBuf;

use argh::FromArgs;

use crate::demo::DemoOptions;
use crate::demo::run_demo;
use crate::load::Outcomes;
use crate::load::commands::finish::finish;

/// Starts a small mesh of real processes on loopback, drives it through ordinary load, a fault, a
/// surge and recovery, and prints the report. Takes about 40 s.
///
/// Example: sassafrasgap-load demo --plot demo.svg
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// nodes forward everything, with three retries a hop: what the product is measured against
    #[argh(switch)]
    pub baseline: bool,
    /// seed of the load in place of the plan's own
    #[argh(option)]
    pub seed: Option<u64>,
    /// draw goodput and latency over time, as SVG (default sassafrasgap-demo.svg)
    #[argh(option, default = "PathBuf::from(\"sassafrasgap-demo.svg\")")]
    pub plot: PathBuf,
    /// write the report as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
    /// no progress lines on stderr
    #[argh(switch)]
    pub quiet: bool,
}

/// Runs the subcommand.
///
/// # Errors
/// When the mesh cannot be started, a process does not do as it is told, or a file cannot be
/// written.
pub fn run(args: DemoArgs) -> eyre::Result<u8> {
    let options = DemoOptions {
        baseline: args.baseline,
        seed: args.seed,
        show_progress: !args.quiet,
    };
    let report = run_demo(&options)?;
    let outcomes = always_holds();
    let outcomes = (!args.baseline).then_some(&outcomes);
    let code = finish(&report, args.json.as_deref(), Some(&args.plot), outcomes)?;
    println!("plot: {}", args.plot.display());
    Ok(code)
}

/// What holds whatever happens: nothing runs twice, gets lost, is denied or mixed up.
fn always_holds() -> Outcomes {
    Outcomes {
        max_duplicates: Some(0),
        max_losses: Some(0),
        max_false_not_run: Some(0),
        max_wrong_answers: Some(0),
        ..Outcomes::default()
    }
}
