//! One process of a mesh.

use std::fs;
use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use crate::core::Clock;
use crate::core::Name;
use crate::errors::MeshError;

/// How often a process is asked whether it has ended.
const EXIT_POLL: Duration = Duration::from_millis(5);

/// How a process is started.
#[derive(Clone, Debug)]
pub struct Launch {
    pub name: Name,
    pub program: PathBuf,
    pub arguments: Vec<String>,
    pub environment: Vec<(String, String)>,
    /// Gets what the process prints, appended.
    pub log: PathBuf,
}

/// A process that is killed when it is dropped.
pub struct ManagedProcess {
    launch: Launch,
    child: Option<Child>,
}

impl ManagedProcess {
    /// Starts a process.
    ///
    /// # Errors
    /// When its log cannot be opened or the program cannot be started.
    pub fn start(launch: Launch) -> Result<Self, MeshError> {
        let mut process = Self {
            launch,
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Kills the process if it runs, and starts it anew.
    ///
    /// # Errors
    /// When its log cannot be opened or the program cannot be started.
    pub fn restart(&mut self) -> Result<(), MeshError> {
        self.kill();
        let failed = |source| MeshError::Start {
            name: self.launch.name.clone(),
            source,
        };
        let mut options = OpenOptions::new();
        let log = options.create(true).append(true);
        let log = log.open(&self.launch.log).map_err(failed)?;
        let child = Command::new(&self.launch.program)
            .args(&self.launch.arguments)
            .envs(self.launch.environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(failed)?)
            .stderr(log)
            .spawn()
            .map_err(failed)?;
        self.child = Some(child);
        Ok(())
    }

    /// The name under which it was started.
    pub fn name(&self) -> &Name {
        &self.launch.name
    }

    /// Its number, while it has not been reaped.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether it was started and has not been found to have ended.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Ends it at once (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks it to stop (SIGTERM).
    ///
    /// # Errors
    /// When it does not run.
    pub fn terminate(&self) -> Result<(), MeshError> {
        self.signal(Signal::TERM)
    }

    /// Stops its processor time (SIGSTOP), as when a VM is paused.
    ///
    /// # Errors
    /// When it does not run.
    pub fn pause(&self) -> Result<(), MeshError> {
        self.signal(Signal::STOP)
    }

    /// Lets a paused process go on (SIGCONT).
    ///
    /// # Errors
    /// When it does not run.
    pub fn resume(&self) -> Result<(), MeshError> {
        self.signal(Signal::CONT)
    }

    /// How it ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten()
    }

    /// The last line that it printed; empty if there is none.
    pub fn last_output(&self) -> String {
        let output = fs::read(&self.launch.log).unwrap_or_default();
        let output = String::from_utf8_lossy(&output);
        output.lines().last().unwrap_or_default().to_string()
    }

    /// Waits until it has ended.
    ///
    /// # Errors
    /// When it still runs after `wait_ms`.
    pub async fn wait_exit(&mut self, wait_ms: u64) -> Result<ExitStatus, MeshError> {
        let clock = Clock::new();
        loop {
            if let Some(status) = self.exit_status() {
                return Ok(status);
            }
            if clock.now().0 >= wait_ms {
                return Err(MeshError::StillRuns {
                    name: self.launch.name.clone(),
                    wait_ms,
                });
            }
            tokio::time::sleep(EXIT_POLL).await;
        }
    }

    fn signal(&self, signal: Signal) -> Result<(), MeshError> {
        let name = || self.launch.name.clone();
        let child = self.child.as_ref();
        let child = child.ok_or_else(|| MeshError::NotRunning { name: name() })?;
        kill_process(Pid::from_child(child), signal).map_err(|source| MeshError::Signal {
            name: name(),
            source,
        })
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
