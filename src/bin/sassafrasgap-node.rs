//! The node beside each backend server.

use std::path::PathBuf;

use argh::FromArgs;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use sassafrasgap::conf::NodeSettings;
use sassafrasgap::conf::load_node_settings;
use sassafrasgap::logging::start_logging;
use sassafrasgap::node::NodeInputs;
use sassafrasgap::node::NodeProcess;

/// Runs beside a backend server: entry for callers and for the backend server's own calls, and
/// guard in front of the backend server. SIGTERM and Ctrl-C stop it as planned: what is in flight
/// is finished. See docs/OPERATIONS.md.
#[derive(FromArgs)]
#[argh(example = "{command_name} --settings node.yaml")]
struct Arguments {
    /// YAML file with the settings of this node
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    let settings = load_node_settings(&arguments.settings)?;
    let filter = format!("{},tarpc=warn", settings.log_level);
    start_logging(&filter)?;
    let inputs = NodeInputs::empty();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    runtime.block_on(run(settings, inputs))
}

async fn run(settings: NodeSettings, inputs: NodeInputs) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let process = NodeProcess::start(settings, inputs).await?;
    log::info!(
        "node: serves callers, address={}",
        process.running.caller_address
    );
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    process.stop().await;
    log::logger().flush();
    Ok(())
}
