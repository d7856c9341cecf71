//! Sends a trace at its moments, whatever becomes of the calls before: open-loop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::core::Clock;
use crate::errors::LoadError;
use crate::load::CallRecord;
use crate::load::Caller;
use crate::load::Progress;
use crate::load::ResendPolicy;
use crate::load::Trace;

const PROGRESS_EVERY_MS: u64 = 1_000;

/// How to drive a trace.
#[derive(Clone, Debug)]
pub struct DriveOptions {
    /// Callers' addresses of nodes, used in turn.
    pub entries: Vec<SocketAddr>,
    pub resend: ResendPolicy,
    /// A line a second on stderr.
    pub show_progress: bool,
}

/// Builds the runtime of a load generator.
///
/// # Errors
/// When the operating system gives no threads.
pub fn load_runtime(threads: usize) -> Result<Runtime, LoadError> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(|source| LoadError::Runtime { source })
}

/// Sends all calls of a trace and returns their records in the order in which they ended.
///
/// # Errors
/// When there is no entry to send to.
pub async fn drive(trace: Arc<Trace>, options: DriveOptions) -> Result<Vec<CallRecord>, LoadError> {
    if options.entries.is_empty() {
        return Err(LoadError::NoEntries);
    }
    let clock = Clock::new();
    let caller = Arc::new(caller_of(&trace, &options, clock));
    let progress = Arc::new(Progress::default());
    let printer = options.show_progress.then(|| {
        let progress = progress.clone();
        tokio::spawn(print_progress(progress, clock, trace.lines.len()))
    });
    let (records_in, mut records_out) = mpsc::unbounded_channel();
    let sender = tokio::spawn(send_all(trace.clone(), caller, progress, clock, records_in));
    let mut records = Vec::with_capacity(trace.lines.len());
    while let Some(record) = records_out.recv().await {
        records.push(record);
    }
    sender.await.map_err(|_| LoadError::CallerPanicked)?;
    if let Some(printer) = printer {
        printer.abort();
    }
    if records.len() < trace.lines.len() {
        return Err(LoadError::CallerPanicked);
    }
    Ok(records)
}

fn caller_of(trace: &Trace, options: &DriveOptions, clock: Clock) -> Caller {
    let longest_body_bytes = trace.lines.iter().map(|line| line.body_bytes).max();
    Caller::new(
        clock,
        options.entries.clone(),
        options.resend,
        longest_body_bytes.unwrap_or(0),
        format!("{:08x}", fastrand::u32(..)),
    )
}

async fn send_all(
    trace: Arc<Trace>,
    caller: Arc<Caller>,
    progress: Arc<Progress>,
    clock: Clock,
    records: mpsc::UnboundedSender<CallRecord>,
) {
    let start_us = clock.now_us();
    for index in 0..trace.lines.len() {
        wait_until(start_us + trace.lines[index].at_ms * 1_000, clock).await;
        progress.note_sent();
        let trace = trace.clone();
        let caller = caller.clone();
        let progress = progress.clone();
        let records = records.clone();
        tokio::spawn(async move {
            let record = caller.send(index, &trace.lines[index], start_us).await;
            progress.note_end(&record);
            // The receiver goes away only when the whole run was given up.
            let _ = records.send(record);
        });
    }
}

async fn wait_until(due_us: u64, clock: Clock) {
    let now_us = clock.now_us();
    if due_us > now_us {
        sleep(Duration::from_micros(due_us - now_us)).await;
    }
}

async fn print_progress(progress: Arc<Progress>, clock: Clock, planned: usize) {
    loop {
        sleep(Duration::from_millis(PROGRESS_EVERY_MS)).await;
        eprintln!("{}", progress.line(clock.now().0, planned));
    }
}
