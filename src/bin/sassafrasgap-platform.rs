//! The stand-in for the platform's table service and object store.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use eyre::WrapErr;

use sassafrasgap::adapters::bind;
use sassafrasgap::adapters::serve;
use sassafrasgap::table_service::FaultScript;
use sassafrasgap::table_service::PlatformServer;
use sassafrasgap::table_service::ServerSettings;

/// Stand-in for the platform's transactional table service and object store, in memory, with
/// scripted faults. For tests and demos; see docs/TABLE_SERVICE.md.
#[derive(FromArgs)]
#[argh(example = "{command_name} --listen 127.0.0.1:7900 --fault-script examples/outage.yaml")]
struct Arguments {
    /// address to listen on; port 0 takes any free port (default 127.0.0.1:0)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,

    /// YAML file with faults to follow from the start
    #[argh(option)]
    fault_script: Option<String>,

    /// rows that may be written in a second (default 600)
    #[argh(option, default = "ServerSettings::default().writes_per_s")]
    writes_per_s: u32,

    /// reads that may be made in a second (default 2000)
    #[argh(option, default = "ServerSettings::default().reads_per_s")]
    reads_per_s: u32,

    /// error, warn, info, debug or trace; RUST_LOG goes first (default info)
    #[argh(option, default = "String::from(\"info\")")]
    log_level: String,
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    let log = env_logger::Env::default().default_filter_or(&arguments.log_level);
    env_logger::Builder::from_env(log).init();
    let faults = read_faults(arguments.fault_script.as_deref())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(&arguments, faults))
}

fn read_faults(file: Option<&str>) -> eyre::Result<FaultScript> {
    let Some(file) = file else {
        return Ok(FaultScript::default());
    };
    let text = fs::read_to_string(file).wrap_err_with(|| format!("cannot read {file}"))?;
    FaultScript::from_yaml(&text).wrap_err_with(|| format!("in {file}"))
}

async fn run(arguments: &Arguments, faults: FaultScript) -> eyre::Result<()> {
    let settings = ServerSettings {
        writes_per_s: arguments.writes_per_s,
        reads_per_s: arguments.reads_per_s,
    };
    let listener = bind(arguments.listen)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", arguments.listen))?;
    println!("listening {}", listener.local_addr()?);
    let server = Arc::new(PlatformServer::new(settings, faults));
    serve(listener, move |request, _| {
        let server = server.clone();
        async move { server.handle(request).await }
    })
    .await;
    Ok(())
}
