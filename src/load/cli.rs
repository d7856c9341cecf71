//! The command line of `sassafrasgap-load`: one module a subcommand under `commands`.

use std::process::ExitCode;

use argh::FromArgs;

use crate::load::commands;

/// Everything was done, and every stated outcome was met.
pub const EXIT_OK: u8 = 0;
/// A stated outcome was not met, or the run failed.
pub const EXIT_UNMET: u8 = 1;
/// The command line, a settings file or a trace is wrong; nothing was sent.
pub const EXIT_USAGE: u8 = 2;

/// Sends load to sassafrasgap nodes and reports what became of whole requests.
///
/// Example: sassafrasgap-load run --plan plan.yaml --entry 127.0.0.1:7100 --json report.json
#[derive(Debug)]
#[derive(FromArgs)]
pub struct LoadArgs {
    /// print the version
    #[argh(switch)]
    pub version: bool,
    #[argh(subcommand)]
    pub command: Option<LoadCommand>,
}

/// What to do. A new subcommand is a module under `commands`, a variant here and an arm in
/// [`dispatch`].
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum LoadCommand {
    Run(commands::run::RunArgs),
    Replay(commands::replay::ReplayArgs),
    Generate(commands::generate::GenerateArgs),
    Report(commands::report::ReportArgs),
    Calibrate(commands::calibrate::CalibrateArgs),
    Experiment(commands::experiment::ExperimentArgs),
    Demo(commands::demo::DemoArgs),
}

/// Runs a subcommand and returns the exit code.
///
/// # Errors
/// When the run failed; wrong settings are a [`LoadError`](crate::errors::LoadError) for which
/// `is_usage` holds.
pub fn dispatch(command: LoadCommand) -> eyre::Result<u8> {
    match command {
        LoadCommand::Run(args) => commands::run::run(args),
        LoadCommand::Replay(args) => commands::replay::run(args),
        LoadCommand::Generate(args) => commands::generate::run(args),
        LoadCommand::Report(args) => commands::report::run(args),
        LoadCommand::Calibrate(args) => commands::calibrate::run(args),
        LoadCommand::Experiment(args) => commands::experiment::run(args),
        LoadCommand::Demo(args) => commands::demo::run(args),
    }
}

/// The whole program: parses the arguments, runs, and prints failures.
pub fn main_with(arguments: &[&str]) -> ExitCode {
    let args = match LoadArgs::from_args(&["sassafrasgap-load"], arguments) {
        Ok(args) => args,
        Err(exit) => return early_exit(&exit),
    };
    if args.version {
        println!("sassafrasgap-load {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = args.command else {
        eprintln!("load: name a subcommand; see sassafrasgap-load --help");
        return ExitCode::from(EXIT_USAGE);
    };
    match dispatch(command) {
        Ok(code) => ExitCode::from(code),
        Err(report) => {
            eprintln!("load: {report}");
            ExitCode::from(code_of(&report))
        }
    }
}

fn early_exit(exit: &argh::EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", exit.output);
    ExitCode::from(EXIT_USAGE)
}

fn code_of(report: &eyre::Report) -> u8 {
    let usage = report
        .downcast_ref::<crate::errors::LoadError>()
        .is_some_and(crate::errors::LoadError::is_usage);
    if usage { EXIT_USAGE } else { EXIT_UNMET }
}
