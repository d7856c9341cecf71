//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Checks settings, publishes presets, switches the preset in force, shows status and drains.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    example = "{command_name} check examples/association/deployment.yaml",
    note = "The platform's address is taken from --platform or SASSAFRASGAP_PLATFORM, a node's \
            operators' address from --node or SASSAFRASGAP_NODE.",
    error_code(0, "done, or nothing had to be done"),
    error_code(1, "refused, or a problem was found; nothing was changed"),
    error_code(2, "the command line is wrong"),
    error_code(3, "another operator's change came first; nothing was changed"),
    error_code(
        4,
        "the platform or the node could not be reached; nothing was changed"
    ),
    error_code(
        5,
        "the change may have taken effect; repeat it with the --change-id shown"
    )
)]
pub struct CtlArguments {
    /// print JSON for scripts instead of text for people
    #[argh(switch)]
    pub json: bool,

    /// how long the platform may take for each answer, in milliseconds
    #[argh(option, default = "5000")]
    pub timeout_ms: u64,

    /// print the version
    #[argh(switch)]
    pub version: bool,

    #[argh(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Check(CheckArguments),
    Publish(PublishArguments),
    Switch(SwitchArguments),
    Status(StatusArguments),
    Drain(DrainArguments),
    Presets(PresetsArguments),
    Story(StoryArguments),
    Reasons(ReasonsArguments),
}

/// Check settings of nodes, presets and deployments, without touching anything.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} node.yaml presets/peak.yaml"
)]
pub struct CheckArguments {
    /// files to check
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Publish preset documents as their next revisions. They come into force by `switch` only.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "publish",
    example = "{command_name} --platform 10.20.0.5:7900 presets/peak.yaml"
)]
pub struct PublishArguments {
    /// preset files
    #[argh(positional)]
    pub files: Vec<PathBuf>,

    /// address of the platform's table service
    #[argh(option)]
    pub platform: Option<SocketAddr>,

    /// operator's name for the log of changes; USER when left out
    #[argh(option, long = "as")]
    pub operator: Option<String>,
}

/// Bring the latest revision of a preset into force everywhere.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "switch",
    example = "{command_name} --platform 10.20.0.5:7900 --expect 41 peak"
)]
pub struct SwitchArguments {
    /// name of a published preset
    #[argh(positional)]
    pub preset: String,

    /// only if this version is in force now
    #[argh(option)]
    pub expect: Option<u64>,

    /// give the change a version above this one; only after the table was restored from an old
    /// copy while nodes hold higher versions
    #[argh(option, default = "0")]
    pub above: u64,

    /// id of the change; give the id of an earlier try to find out what became of it
    #[argh(option)]
    pub change_id: Option<String>,

    /// address of the platform's table service
    #[argh(option)]
    pub platform: Option<SocketAddr>,

    /// operator's name for the log of changes; USER when left out
    #[argh(option, long = "as")]
    pub operator: Option<String>,
}

/// Show nodes, failure domains, and where which version is in force.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --node 10.20.1.11:7005"
)]
pub struct StatusArguments {
    /// operators' address of any node
    #[argh(option)]
    pub node: Option<SocketAddr>,

    /// address of the platform's table service, to compare with what it says is in force
    #[argh(option)]
    pub platform: Option<SocketAddr>,
}

/// Take a target out of service: no new work, what is in flight finishes.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "{command_name} --node 10.20.1.11:7005 workspace-2"
)]
pub struct DrainArguments {
    /// name of the node beside the target
    #[argh(positional)]
    pub name: String,

    /// operators' address of any node that reaches it
    #[argh(option)]
    pub node: Option<SocketAddr>,
}

/// List published presets and the last changes.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "presets",
    example = "{command_name} --platform 10.20.0.5:7900"
)]
pub struct PresetsArguments {
    /// address of the platform's table service
    #[argh(option)]
    pub platform: Option<SocketAddr>,
}

/// Tell what became of one request, out of the logs of all nodes.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "story",
    example = "{command_name} --request 9c41d07be2a35f68 logs/*.log"
)]
pub struct StoryArguments {
    /// identifier of the request, as its caller gave it
    #[argh(option)]
    pub request: String,

    /// also show what these nodes said at that time about no request in particular, and so many such
    /// lines from before
    #[argh(option, default = "0")]
    pub around: usize,

    /// logs of nodes, each named after its node; - for the standard input
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Sum up why requests were refused, tried again or failed, over time, out of logs.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "reasons",
    example = "{command_name} --every-s 5 logs/*.log"
)]
pub struct ReasonsArguments {
    /// length of the spans that are summed up, in seconds
    #[argh(option, default = "10")]
    pub every_s: u32,

    /// logs of nodes, each named after its node; - for the standard input
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}
