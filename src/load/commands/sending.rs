//! What `run` and `replay` share: send a trace, ask backend servers, make the report.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use crate::core::Name;
use crate::errors::LoadError;
use crate::load::CallRecord;
use crate::load::DriveOptions;
use crate::load::PhaseSpan;
use crate::load::Report;
use crate::load::Trace;
use crate::load::drive;
use crate::load::fetch_runs;
use crate::load::last_run;
use crate::load::load_runtime;
use crate::load::read_run_log;
use crate::load::runs_after;

/// Where to send and whom to ask afterwards.
pub struct Sending {
    pub trace: Trace,
    pub phases: Vec<PhaseSpan>,
    pub classes: Vec<Name>,
    pub options: DriveOptions,
    pub backends: Vec<SocketAddr>,
    pub run_logs: Vec<PathBuf>,
    pub threads: usize,
}

/// What the run leaves.
pub struct Sent {
    pub records: Vec<CallRecord>,
    pub report: Report,
}

/// Sends the trace and makes the report.
///
/// # Errors
/// When nothing can be sent, or backend servers or run logs cannot be read afterwards.
pub fn send_and_report(sending: Sending) -> Result<Sent, LoadError> {
    load_runtime(sending.threads)?.block_on(send(sending))
}

async fn send(sending: Sending) -> Result<Sent, LoadError> {
    let mut known = Vec::new();
    for backend in &sending.backends {
        known.push(last_run(&fetch_runs(*backend).await?));
    }
    let records = drive(Arc::new(sending.trace), sending.options).await?;
    let asked = !(sending.backends.is_empty() && sending.run_logs.is_empty());
    let mut runs = Vec::new();
    for (backend, known) in sending.backends.iter().zip(known) {
        runs.extend(runs_after(fetch_runs(*backend).await?, known));
    }
    for path in &sending.run_logs {
        runs.extend(read_run_log(path)?);
    }
    let runs = asked.then_some(runs.as_slice());
    let report = Report::of(&records, &sending.phases, &sending.classes, runs);
    Ok(Sent { records, report })
}
