//! `generate`: makes a trace from a plan, without sending it.

use std::path::PathBuf;

use argh::FromArgs;

use crate::load::Plan;
use crate::load::Trace;
use crate::load::cli::EXIT_OK;

/// Makes a trace from a plan; the same plan and seed make the same trace.
///
/// Example: sassafrasgap-load generate --plan plan.yaml --seed 7 --out trace.jsonl
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "generate")]
pub struct GenerateArgs {
    /// plan of phases and calls, in YAML
    #[argh(option)]
    pub plan: PathBuf,
    /// seed in place of the plan's own
    #[argh(option)]
    pub seed: Option<u64>,
    /// trace to write, one JSON line a call
    #[argh(option)]
    pub out: PathBuf,
}

/// Runs the subcommand.
///
/// # Errors
/// When the plan is wrong or the trace cannot be written.
pub fn run(args: GenerateArgs) -> eyre::Result<u8> {
    let mut plan = Plan::load(&args.plan)?;
    plan.seed = args.seed.unwrap_or(plan.seed);
    let trace = Trace::generate(&plan);
    trace.write(&args.out)?;
    println!("{} calls over {} ms", trace.lines.len(), trace.last_ms());
    Ok(EXIT_OK)
}
