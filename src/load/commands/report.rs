//! `report`: shows a report that was written as JSON, and checks it against stated outcomes.

use std::fs;
use std::path::PathBuf;

use argh::FromArgs;

use crate::errors::LoadError;
use crate::load::Outcomes;
use crate::load::Report;
use crate::load::commands::finish::finish;

/// Shows a report written as JSON, draws it, or checks it against stated outcomes.
///
/// Example: sassafrasgap-load report --json report.json --plot report.svg
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    /// report written by `run` or `replay`
    #[argh(option)]
    pub json: PathBuf,
    /// draw goodput and latency over time, as SVG
    #[argh(option)]
    pub plot: Option<PathBuf>,
    /// check the outcomes stated in a file; 1 is returned when one is not met
    #[argh(option)]
    pub expect: Option<PathBuf>,
}

/// Runs the subcommand.
///
/// # Errors
/// When the report cannot be read or a file cannot be written.
pub fn run(args: ReportArgs) -> eyre::Result<u8> {
    let read = |source| LoadError::read(&args.json, source);
    let text = fs::read_to_string(&args.json).map_err(read)?;
    let report: Report = serde_json::from_str(&text).map_err(|source| LoadError::ReportJson {
        path: args.json.clone(),
        source,
    })?;
    let outcomes = args.expect.as_deref().map(Outcomes::load).transpose()?;
    let code = finish(&report, None, args.plot.as_deref(), outcomes.as_ref())?;
    Ok(code)
}
