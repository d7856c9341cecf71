//! The experiment behind docs/CAPACITY.md.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use eyre::WrapErr;

use sassafrasgap::capacity::CapacityReport;
use sassafrasgap::capacity::ExperimentPlan;
use sassafrasgap::capacity::draw_slopes;
use sassafrasgap::capacity::run;
use sassafrasgap::mesh::Binaries;

/// Starts real nodes at several sizes on the loopback device, measures what control costs them
/// and the platform, and fits the slopes of docs/CAPACITY.md. Build everything with --release
/// first.
#[derive(FromArgs)]
#[argh(example = "{command_name} --sizes 8,24,72 --out docs/capacity")]
struct Arguments {
    /// numbers of nodes, each measured in turn (default 8,24,72)
    #[argh(option, default = "String::from(\"8,24,72\")")]
    sizes: String,

    /// seconds to let the news of the start be spread before anything is counted (default 10)
    #[argh(option, default = "10")]
    settle_s: u64,

    /// seconds for which each size is watched at rest (default 30)
    #[argh(option, default = "30")]
    steady_s: u64,

    /// how many switches, deaths and planned stops are timed (default 3)
    #[argh(option, default = "3")]
    repeats: usize,

    /// calls per second, each rate in turn at the first size; empty for none
    /// (default 100,200,400,800)
    #[argh(option, default = "String::from(\"100,200,400,800\")")]
    call_rates: String,

    /// seconds for which each rate is watched (default 10)
    #[argh(option, default = "10")]
    calls_s: u64,

    /// folder for report.json and the plots (default docs/capacity)
    #[argh(option, default = "PathBuf::from(\"docs/capacity\")")]
    out: PathBuf,

    /// error, warn, info, debug or trace; RUST_LOG goes first (default info)
    #[argh(option, default = "String::from(\"info\")")]
    log_level: String,
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    // The memberships that are filled in this process would log what nodes log.
    let filter = format!("warn,sassafrasgap::capacity={}", arguments.log_level);
    let log = env_logger::Env::default().default_filter_or(filter);
    env_logger::Builder::from_env(log).init();
    let plan = ExperimentPlan {
        binaries: Binaries::beside_current()?,
        sizes: numbers(&arguments.sizes)?,
        settle_s: arguments.settle_s,
        steady_s: arguments.steady_s,
        repeats: arguments.repeats,
        call_rates_per_s: numbers(&arguments.call_rates)?,
        calls_s: arguments.calls_s,
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(run(&plan))?;
    write(&report, &arguments.out)
}

fn numbers<T>(list: &str) -> eyre::Result<Vec<T>>
where
    T: std::str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let parts = list.split(',').filter(|part| !part.is_empty());
    parts
        .map(|part| part.trim().parse::<T>())
        .collect::<Result<Vec<T>, T::Err>>()
        .wrap_err_with(|| format!("{list:?} is not a list of numbers"))
}

fn write(report: &CapacityReport, folder: &Path) -> eyre::Result<()> {
    fs::create_dir_all(folder)?;
    let text = serde_json::to_string_pretty(report)?;
    let file = folder.join("report.json");
    fs::write(&file, text + "\n").wrap_err_with(|| format!("cannot write {}", file.display()))?;
    draw_slopes(report, folder)?;
    println!("{:24} {:>14} {:>14}", "figure", "per node", "at 720 nodes");
    for (name, figure) in &report.slopes {
        let per_unit = figure.slope.per_unit;
        println!("{name:24} {per_unit:>14.4} {:>14.2}", figure.at_full_size);
    }
    Ok(())
}
