//! A stand-in backend server for tests and demos.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use eyre::WrapErr;

use sassafrasgap::adapters::bind;
use sassafrasgap::backend::BackendSettings;
use sassafrasgap::backend::ServiceTime;
use sassafrasgap::backend::run_backend;

/// A stand-in backend server for tests and demos. It announces itself to its node and prints
/// `listening <address>` when it is ready.
#[derive(FromArgs)]
#[argh(example = "sassafrasgap-backend --service menus --node http://127.0.0.1:7001 --slots 20")]
struct Args {
    /// settings in YAML; the other options go before what it says
    #[argh(option)]
    settings: Option<PathBuf>,
    /// the name of the service
    #[argh(option)]
    service: Option<String>,
    /// where to listen; port 0 takes any free port
    #[argh(option)]
    listen: Option<SocketAddr>,
    /// the local listener of its node, such as http://127.0.0.1:7001
    #[argh(option)]
    node: Option<String>,
    /// how many calls run at once
    #[argh(option)]
    slots: Option<u32>,
    /// mean service time in milliseconds, exponentially distributed
    #[argh(option)]
    mean_ms: Option<f64>,
    /// the seed of all random draws
    #[argh(option)]
    seed: Option<u64>,
    /// a file that gets a line at each start and end of a run
    #[argh(option)]
    run_log: Option<PathBuf>,
    /// log level: error, warn, info, debug or trace (default warn, or RUST_LOG)
    #[argh(option)]
    log_level: Option<String>,
    /// print the version and stop
    #[argh(switch)]
    version: bool,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    if args.version {
        println!("sassafrasgap-backend {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    start_log(args.log_level.as_deref());
    let settings = settings_of(args)?;
    let listener = bind(settings.listen)
        .await
        .wrap_err_with(|| format!("cannot listen at {}", settings.listen))?;
    println!("listening {}", listener.local_addr()?);
    std::io::stdout().flush()?;
    run_backend(settings, listener).await?;
    Ok(())
}

fn start_log(level: Option<&str>) {
    let env = env_logger::Env::default().default_filter_or("warn");
    let mut builder = env_logger::Builder::from_env(env);
    if let Some(level) = level {
        builder.parse_filters(level);
    }
    builder.init();
}

fn settings_of(args: Args) -> eyre::Result<BackendSettings> {
    let mut settings = match &args.settings {
        Some(path) => BackendSettings::read(path)?,
        None => BackendSettings::default(),
    };
    settings.service = args.service.unwrap_or(settings.service);
    settings.listen = args.listen.unwrap_or(settings.listen);
    settings.node = args.node.or(settings.node);
    settings.slots = args.slots.unwrap_or(settings.slots);
    settings.seed = args.seed.unwrap_or(settings.seed);
    settings.run_log = args.run_log.or(settings.run_log);
    if let Some(mean_ms) = args.mean_ms {
        settings.service_time = ServiceTime::exponential(mean_ms);
    }
    Ok(settings)
}
