//! What `run` and `replay` share: send a trace, ask backend servers, make the report.

use std::sync::Arc;

use crate::core::Name;
use crate::errors::LoadError;
use crate::load::CallRecord;
use crate::load::DriveOptions;
use crate::load::PhaseSpan;
use crate::load::Report;
use crate::load::ResendPolicy;
use crate::load::Site;
use crate::load::SiteOptions;
use crate::load::Trace;
use crate::load::drive;
use crate::load::load_runtime;

/// Where to send and whom to ask afterwards.
pub struct Sending {
    pub trace: Trace,
    pub phases: Vec<PhaseSpan>,
    pub classes: Vec<Name>,
    pub resend: ResendPolicy,
    pub show_progress: bool,
    pub site: SiteOptions,
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
    let site = Site::open(sending.site).await?;
    let options = DriveOptions {
        entries: site.entries.clone(),
        resend: sending.resend,
        show_progress: sending.show_progress,
    };
    let records = drive(Arc::new(sending.trace), options).await?;
    let runs = site.runs().await?;
    let report = Report::of(&records, &sending.phases, &sending.classes, runs.as_deref());
    Ok(Sent { records, report })
}
