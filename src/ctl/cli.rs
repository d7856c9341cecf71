//! From the command line to a command, and from its result to the terminal.

use std::env;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;

use crate::configuration::Change;
use crate::configuration::ConfigStore;
use crate::core::Name;
use crate::core::RequestId;
use crate::core::unix_ms;
use crate::ctl::CtlArguments;
use crate::ctl::Exit;
use crate::ctl::arguments::Command;
use crate::ctl::arguments::StoryArguments;
use crate::ctl::check;
use crate::ctl::drain;
use crate::ctl::output::Output;
use crate::ctl::presets;
use crate::ctl::publish;
use crate::ctl::reasons;
use crate::ctl::status;
use crate::ctl::story;
use crate::ctl::switch;
use crate::errors::CtlError;
use crate::table_service::PlatformClient;

const PROGRAM: &str = "sassafrasgap-ctl";
/// The failure domain that the platform sees requests of operators come from.
const OPERATORS_DOMAIN: &str = "operators";
const PLATFORM_VARIABLE: &str = "SASSAFRASGAP_PLATFORM";
const NODE_VARIABLE: &str = "SASSAFRASGAP_NODE";
const USER_VARIABLE: &str = "USER";

/// The whole program: parses the arguments, runs the command and prints its result.
pub fn main_with(arguments: &[&str]) -> ExitCode {
    let arguments = match CtlArguments::from_args(&[PROGRAM], arguments) {
        Ok(arguments) => arguments,
        Err(exit) => return early_exit(&exit),
    };
    if arguments.version {
        println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("name a command; see {PROGRAM} --help");
        return ExitCode::from(Exit::Usage as u8);
    };
    let output =
        run_blocking(command, arguments.timeout_ms).unwrap_or_else(|error| Output::failed(&error));
    print(&output, arguments.json);
    ExitCode::from(output.exit as u8)
}

fn early_exit(exit: &argh::EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", exit.output);
    ExitCode::from(Exit::Usage as u8)
}

fn print(output: &Output, as_json: bool) {
    let text = if as_json {
        format!("{:#}", output.json)
    } else {
        output.text.clone()
    };
    let written = if as_json || output.exit == Exit::Ok {
        writeln!(std::io::stdout(), "{text}")
    } else {
        writeln!(std::io::stderr(), "{text}")
    };
    match written {
        Ok(()) => {}
        // Whoever reads has seen enough, as `head` has.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => {}
        Err(error) => log::error!("ctl: the result cannot be written, error={error}"),
    }
}

fn run_blocking(command: Command, timeout_ms: u64) -> Result<Output, CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| CtlError::Start { source })?;
    runtime.block_on(run(command, timeout_ms))
}

async fn run(command: Command, timeout_ms: u64) -> Result<Output, CtlError> {
    match command {
        Command::Check(arguments) => check::run(&arguments.files),
        Command::Publish(arguments) => {
            let store = store(arguments.platform, timeout_ms)?;
            publish::run(&store, &arguments.files, &change(arguments.operator, None)).await
        }
        Command::Switch(arguments) => {
            let store = store(arguments.platform, timeout_ms)?;
            let change = change(arguments.operator.clone(), arguments.change_id.clone());
            switch::run(&store, &arguments, &change).await
        }
        Command::Status(arguments) => {
            let node = address(arguments.node, "--node", NODE_VARIABLE)?;
            let store = store(arguments.platform, timeout_ms).ok();
            status::run(node, store.as_ref()).await
        }
        Command::Drain(arguments) => {
            let node = address(arguments.node, "--node", NODE_VARIABLE)?;
            drain::run(node, &arguments.name).await
        }
        Command::Presets(arguments) => presets::run(&store(arguments.platform, timeout_ms)?).await,
        Command::Story(StoryArguments {
            request,
            around,
            files,
        }) => story::run(&request, around, &files),
        Command::Reasons(arguments) => reasons::run(arguments.every_s, &arguments.files),
    }
}

fn store(platform: Option<SocketAddr>, timeout_ms: u64) -> Result<ConfigStore, CtlError> {
    let address = address(platform, "--platform", PLATFORM_VARIABLE)?;
    let domain = Name::from(OPERATORS_DOMAIN);
    let client = PlatformClient::new(address, domain, timeout_ms);
    Ok(ConfigStore::with_read_retries(client))
}

fn address(
    given: Option<SocketAddr>,
    option: &'static str,
    variable: &'static str,
) -> Result<SocketAddr, CtlError> {
    let from_environment = || env::var(variable).ok().and_then(|text| text.parse().ok());
    let address = given.or_else(from_environment);
    address.ok_or(CtlError::Usage { option, variable })
}

fn change(operator: Option<String>, change_id: Option<String>) -> Change {
    let operator = operator.or_else(|| env::var(USER_VARIABLE).ok());
    Change {
        change_id: change_id.map_or_else(fresh_change_id, Name::from),
        operator: Name::from(operator.unwrap_or_else(|| "unknown".to_owned())),
        at_unix_s: unix_ms() / 1_000,
    }
}

fn fresh_change_id() -> Name {
    Name::from(RequestId::random().to_string())
}
