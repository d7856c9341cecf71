//! Where runs are read from: stand-in backend servers and their run logs.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use serde::Deserialize;
use tokio::time::timeout;

use crate::adapters::empty_body;
use crate::adapters::http_client;
use crate::core::FastMap;
use crate::errors::LoadError;
use crate::load::RunEntry;

const IDLE_MS: u64 = 1_000;
const CONNECT_MS: u64 = 1_000;
const READ_MS: u64 = 10_000;

/// The answer to `GET /runs`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct RunList {
    /// Runs that the backend server no longer lists.
    #[serde(default)]
    pub dropped: u64,
    pub runs: Vec<RunEntry>,
}

impl RunList {
    /// The number of the last run, 0 without one.
    pub fn last_run(&self) -> u64 {
        self.runs.last().map_or(0, |run| run.run)
    }

    /// The runs after `last_run`. A backend server that was restarted since began at 1 again.
    pub fn runs_after(mut self, last_run: u64) -> Vec<RunEntry> {
        if self.last_run() >= last_run {
            self.runs.retain(|run| run.run > last_run);
        }
        self.runs
    }
}

/// Asks a stand-in backend server for everything it ran.
///
/// # Errors
/// When it cannot be asked or answers with something else.
pub async fn fetch_runs(backend: SocketAddr) -> Result<RunList, LoadError> {
    let fetched = timeout(Duration::from_millis(READ_MS), fetch(backend)).await;
    let bytes = fetched
        .ok()
        .flatten()
        .ok_or(LoadError::RunsUnreachable { backend })?;
    serde_json::from_slice(&bytes).map_err(|source| LoadError::Runs { backend, source })
}

async fn fetch(backend: SocketAddr) -> Option<Bytes> {
    let request = Request::get(format!("http://{backend}/runs"))
        .body(empty_body())
        .ok()?;
    let client = http_client(IDLE_MS, CONNECT_MS);
    let answer = client.request(request).await.ok()?;
    Some(answer.into_body().collect().await.ok()?.to_bytes())
}

/// A line of a run log: one at the start of a run and one at its end.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum LoggedRun {
    Start(RunEntry),
    End(RunEntry),
}

/// Reads the run log of one stand-in backend server, over all its restarts.
///
/// # Errors
/// When the file cannot be read, or names the first malformed line.
pub fn read_run_log(path: &Path) -> Result<Vec<RunEntry>, LoadError> {
    let text = fs::read_to_string(path).map_err(|source| LoadError::read(path, source))?;
    let mut runs: Vec<RunEntry> = Vec::new();
    // Numbers begin at 1 again after a restart, so an end belongs to the latest start.
    let mut places: FastMap<u64, usize> = FastMap::default();
    for (index, line) in text.lines().enumerate() {
        let logged = serde_json::from_str(line).map_err(|source| LoadError::TraceLine {
            path: path.to_owned(),
            line: index + 1,
            source,
        })?;
        match logged {
            LoggedRun::Start(run) => {
                places.insert(run.run, runs.len());
                runs.push(run);
            }
            LoggedRun::End(run) => {
                if let Some(place) = places.remove(&run.run) {
                    runs[place] = run;
                }
            }
        }
    }
    Ok(runs)
}
