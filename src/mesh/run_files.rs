//! What all backend servers of a mesh ran, read from their run logs, which outlive crashes.

use std::fs;
use std::path::Path;

use serde::Serialize;

use crate::backend::RunEvent;
use crate::backend::RunRecord;
use crate::core::FastMap;
use crate::core::Name;

/// The events of one run log, in order. A last line cut short by a crash is left out.
pub fn read_run_events(path: &Path) -> Vec<RunEvent> {
    let text = fs::read_to_string(path).unwrap_or_default();
    let lines = text.lines();
    lines
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect()
}

/// Runs counted over all backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RunSummary {
    pub started: u64,
    pub completed: u64,
    pub cancelled: u64,
    /// How often each key was started, by service, method and key.
    #[serde(skip)]
    pub starts_of_key: FastMap<(Name, String, String), u64>,
    /// How often each path was started, by service and path with query.
    #[serde(skip)]
    pub starts_of_path: FastMap<(Name, String), u64>,
}

impl RunSummary {
    /// Counts the events of one backend server of a service.
    pub fn add(&mut self, service: &Name, events: &[RunEvent]) {
        for event in events {
            match event {
                RunEvent::Start(run) => self.add_start(service, run),
                RunEvent::End(run) if run.completed => self.completed += 1,
                RunEvent::End(_) => self.cancelled += 1,
            }
        }
    }

    /// Keys that were started more than once.
    pub fn duplicates(&self) -> Vec<(Name, String, String)> {
        let starts = self.starts_of_key.iter();
        let twice = starts.filter(|(_, starts)| **starts > 1);
        twice.map(|(key, _)| key.clone()).collect()
    }

    /// How often a path was started in a service.
    pub fn starts_of(&self, service: &str, path: &str) -> u64 {
        let key = (Name::from(service), path.to_string());
        self.starts_of_path.get(&key).copied().unwrap_or(0)
    }

    fn add_start(&mut self, service: &Name, run: &RunRecord) {
        self.started += 1;
        let path = (service.clone(), run.path.clone());
        *self.starts_of_path.entry(path).or_default() += 1;
        if let Some(key) = &run.key {
            let key = (service.clone(), run.method.clone(), key.clone());
            *self.starts_of_key.entry(key).or_default() += 1;
        }
    }
}
