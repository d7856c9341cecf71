//! The node beside each backend server.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;
use eyre::WrapErr;

use sassafrasgap::conf::NodeSettings;
use sassafrasgap::conf::load_node_settings;
use sassafrasgap::conf::load_preset;
use sassafrasgap::core::FastMap;
use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::View;
use sassafrasgap::node::NodeInputs;
use sassafrasgap::node::RunningNode;
use sassafrasgap::preset::InForce;

/// Runs beside a backend server: entry for callers and for the backend server's own calls, and
/// guard in front of the backend server. See docs/OPERATIONS.md.
#[derive(FromArgs)]
#[argh(example = "{command_name} --settings examples/association/node.yaml")]
struct Arguments {
    /// YAML file with the settings of this node
    #[argh(option)]
    settings: PathBuf,

    /// YAML preset to have in force until the platform or a peer knows a newer one
    #[argh(option)]
    preset: Option<PathBuf>,

    /// JSON file with a fixed list of targets, in place of membership
    #[argh(option)]
    fixed_targets: Option<PathBuf>,
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    let settings = load_node_settings(&arguments.settings)?;
    let log = env_logger::Env::default().default_filter_or(settings.log_level.as_str());
    env_logger::Builder::from_env(log).init();
    let inputs = inputs(&arguments)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    runtime.block_on(run(settings, inputs))
}

async fn run(settings: NodeSettings, inputs: NodeInputs) -> eyre::Result<()> {
    let running = RunningNode::start(settings, inputs).await?;
    log::info!("node: serves callers on {}", running.caller_address);
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn inputs(arguments: &Arguments) -> eyre::Result<NodeInputs> {
    let inputs = NodeInputs::empty();
    if let Some(preset) = &arguments.preset {
        let preset = Arc::new(load_preset(preset)?);
        let in_force = InForce { version: 0, preset };
        inputs.in_force.store(Arc::new(Some(in_force)));
    }
    if let Some(targets) = &arguments.fixed_targets {
        inputs.view.store(Arc::new(read_targets(targets)?));
    }
    Ok(inputs)
}

fn read_targets(file: &Path) -> eyre::Result<View> {
    let text = fs::read_to_string(file).wrap_err_with(|| format!("cannot read {file:?}"))?;
    let targets: Vec<Target> = serde_json::from_str(&text)?;
    let mut by_service: FastMap<Name, Vec<Arc<Target>>> = FastMap::default();
    let mut view = View::default();
    for target in targets {
        let target = Arc::new(target);
        view.nodes.insert(target.node.clone(), target.clone());
        let service = target.service.clone();
        by_service.entry(service).or_default().push(target);
    }
    let services = by_service.into_iter();
    view.services = services
        .map(|(name, targets)| (name, targets.into()))
        .collect();
    Ok(view)
}
