//! `calibrate`: what the generator itself can offer on this machine.

use std::net::SocketAddr;
use std::thread;

use argh::FromArgs;
use bytes::Bytes;
use http::Request;
use http::Response;

use crate::adapters::Body;
use crate::adapters::bind;
use crate::adapters::full_body;
use crate::adapters::serve;
use crate::errors::LoadError;
use crate::load::AnswerCheck;
use crate::load::CallKind;
use crate::load::Phase;
use crate::load::PhaseRole;
use crate::load::PhaseSpan;
use crate::load::Plan;
use crate::load::ResendPolicy;
use crate::load::SiteOptions;
use crate::load::Trace;
use crate::load::commands::finish::finish;
use crate::load::commands::sending::Sending;
use crate::load::commands::sending::send_and_report;
use crate::load::experiment::Variant;
use crate::load::load_runtime;
use crate::load::path_at_backend;

/// The deadline of a call to a server that answers at once.
const DEADLINE_MS: u64 = 1_000;
/// Connections and caches fill during this time.
const WARMUP_MS: u64 = 1_000;

/// Measures what the generator itself can offer, against a server that answers at once.
///
/// Example: sassafrasgap-load calibrate --rate 5000
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "calibrate")]
pub struct CalibrateArgs {
    /// calls per second, 5000 unless given
    #[argh(option, default = "5000.0")]
    pub rate: f64,
    /// length of the run in milliseconds, 5000 unless given
    #[argh(option, default = "5000")]
    pub duration_ms: u64,
    /// threads that send, 2 unless given
    #[argh(option, default = "2")]
    pub threads: usize,
    /// threads of the server, 2 unless given
    #[argh(option, default = "2")]
    pub server_threads: usize,
}

/// Runs the subcommand.
///
/// # Errors
/// When the rate is not a positive number or the server cannot be started.
pub fn run(args: CalibrateArgs) -> eyre::Result<u8> {
    let plan = plan_of(&args);
    plan.check().map_err(|problems| LoadError::Plan {
        path: "calibrate".into(),
        problems,
    })?;
    let entry = start_server(args.server_threads)?;
    let sent = send_and_report(Sending {
        trace: Trace::generate(&plan),
        phases: PhaseSpan::of_plan(&plan),
        classes: plan.classes(),
        resend: plan.resend,
        show_progress: true,
        site: SiteOptions {
            entries: vec![entry],
            backends: Vec::new(),
            run_logs: Vec::new(),
            deployment: None,
            variant: Variant::controlled(),
        },
        threads: args.threads,
    })?;
    let code = finish(&sent.report, None, None, None)?;
    Ok(code)
}

fn plan_of(args: &CalibrateArgs) -> Plan {
    let phase = |name: &str, role, duration_ms| Phase {
        name: name.into(),
        role,
        duration_ms,
        rate_per_s: args.rate,
        end_rate_per_s: None,
    };
    let call = CallKind {
        name: "call".into(),
        class: "calls".into(),
        method: "GET".into(),
        path: "/service/path".into(),
        weight: 1.0,
        non_idempotent: false,
        body_bytes: 0,
        deadline_ms: DEADLINE_MS,
        answer: AnswerCheck::Archive,
    };
    Plan {
        seed: 1,
        phases: vec![
            phase("warm-up", PhaseRole::Warmup, WARMUP_MS),
            phase("measured", PhaseRole::Ordinary, args.duration_ms),
        ],
        calls: vec![call],
        resend: ResendPolicy::default(),
    }
}

/// Starts the server on threads of its own, so that it does not share those that send.
fn start_server(threads: usize) -> Result<SocketAddr, LoadError> {
    let runtime = load_runtime(threads)?;
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = runtime
        .block_on(bind(any_port))
        .map_err(|source| LoadError::Listen { source })?;
    let address = listener
        .local_addr()
        .map_err(|source| LoadError::Listen { source })?;
    thread::spawn(move || runtime.block_on(serve(listener, |request, _| answer(request))));
    Ok(address)
}

async fn answer(request: Request<Body>) -> Response<Body> {
    let uri = request.uri();
    let path = uri.path_and_query().map_or("/", |full| full.as_str());
    let body = Bytes::from(format!("{}\n", path_at_backend(path)));
    Response::new(full_body(body))
}
