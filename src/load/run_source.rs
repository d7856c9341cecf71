//! Where runs are read from: stand-in backend servers and their run logs.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::adapters::empty_body;
use crate::adapters::http_client;
use crate::backend::RunEvent;
use crate::backend::RunList;
use crate::backend::RunRecord;
use crate::core::FastMap;
use crate::errors::LoadError;

const IDLE_MS: u64 = 1_000;
const CONNECT_MS: u64 = 1_000;
const READ_MS: u64 = 10_000;

/// Asks a stand-in backend server for everything it ran.
///
/// # Errors
/// When it cannot be asked, answers with something else, or has dropped records.
pub async fn fetch_runs(backend: SocketAddr) -> Result<Vec<RunRecord>, LoadError> {
    let fetched = timeout(Duration::from_millis(READ_MS), fetch(backend)).await;
    let bytes = fetched
        .ok()
        .flatten()
        .ok_or(LoadError::RunsUnreachable { backend })?;
    let list: RunList =
        serde_json::from_slice(&bytes).map_err(|source| LoadError::Runs { backend, source })?;
    if list.dropped > 0 {
        let dropped = list.dropped;
        return Err(LoadError::RunsDropped { backend, dropped });
    }
    Ok(list.runs)
}

/// The number of the last run, 0 without one.
pub fn last_run(runs: &[RunRecord]) -> u64 {
    runs.last().map_or(0, |run| run.run)
}

/// The runs after the one numbered `known`. A backend server restarted since began at 1 again.
pub fn runs_after(mut runs: Vec<RunRecord>, known: u64) -> Vec<RunRecord> {
    if last_run(&runs) >= known {
        runs.retain(|run| run.run > known);
    }
    runs
}

async fn fetch(backend: SocketAddr) -> Option<Bytes> {
    let request = Request::get(format!("http://{backend}/runs"))
        .body(empty_body())
        .ok()?;
    let client = http_client(IDLE_MS, CONNECT_MS);
    let answer = client.request(request).await.ok()?;
    Some(answer.into_body().collect().await.ok()?.to_bytes())
}

/// Reads the run log of one stand-in backend server, over all its restarts.
///
/// # Errors
/// When the file cannot be read, or names the first malformed line.
pub fn read_run_log(path: &Path) -> Result<Vec<RunRecord>, LoadError> {
    let text = fs::read_to_string(path).map_err(|source| LoadError::read(path, source))?;
    let mut events = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let event = serde_json::from_str(line).map_err(|source| LoadError::TraceLine {
            path: path.to_owned(),
            line: index + 1,
            source,
        })?;
        events.push(event);
    }
    Ok(runs_of_events(events))
}

/// Joins starts and ends. Numbers begin at 1 again after a restart, so an end belongs to the
/// latest start of its number.
pub fn runs_of_events(events: Vec<RunEvent>) -> Vec<RunRecord> {
    let mut runs: Vec<RunRecord> = Vec::new();
    let mut places: FastMap<u64, usize> = FastMap::default();
    for event in events {
        match event {
            RunEvent::Start(run) => {
                places.insert(run.run, runs.len());
                runs.push(run);
            }
            RunEvent::End(run) => {
                if let Some(place) = places.remove(&run.run) {
                    runs[place] = run;
                }
            }
        }
    }
    runs
}
