//! Faults of the simulation.

use super::Simulation;

/// A fault, injected by a test or chosen from a seed.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Pause {
        process: usize,
        for_ms: u64,
    },
    Crash {
        process: usize,
    },
    /// Starts a new process of the same node. With `same_vm` the old process has certainly ended.
    Restart {
        process: usize,
        same_vm: bool,
    },
    Isolate {
        process: usize,
        is_isolated: bool,
    },
    Serve {
        process: usize,
        serving: bool,
    },
    Stop {
        process: usize,
    },
    StoreDown {
        is_down: bool,
    },
    StoreSlow {
        slow_ms: u64,
    },
    /// Cuts a domain off from the other domains and, with `from_store`, also from the store.
    Cut {
        domain: usize,
        from_store: bool,
    },
    Heal,
}

impl Simulation {
    pub fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Pause { process, for_ms } => {
                self.processes[process].paused_until = self.now + for_ms;
            }
            Fault::Crash { process } => self.processes[process].is_dead = true,
            Fault::Restart { process, same_vm } => self.restart(process, same_vm),
            Fault::Isolate {
                process,
                is_isolated,
            } => {
                self.processes[process].is_isolated = is_isolated;
            }
            Fault::Serve { process, serving } => self.processes[process].serving = serving,
            Fault::Stop { process } => self.processes[process].stopping = true,
            Fault::StoreDown { is_down } => self.store.is_down = is_down,
            Fault::StoreSlow { slow_ms } => self.store.slow_ms = slow_ms,
            Fault::Cut { domain, from_store } => self.cut = Some((domain, from_store)),
            Fault::Heal => {
                self.cut = None;
                self.store.is_down = false;
                self.store.slow_ms = 0;
            }
        }
    }

    /// Starts a new process of the same node. On the same VM it binds the addresses of the old
    /// process, which has therefore ended. On another VM of the same name, the old process may go
    /// on running.
    pub(super) fn restart(&mut self, process: usize, same_vm: bool) {
        let old = &self.processes[process];
        let (node, domain, boot) = (old.node.clone(), old.domain, old.boot);
        if !same_vm {
            let boot = self.rng.u64(1..);
            return self.start(node, domain, boot);
        }
        let same_boot = self.processes.iter_mut().filter(|other| other.boot == boot);
        same_boot.for_each(|other| other.is_dead = true);
        self.start(node, domain, boot);
    }
}
