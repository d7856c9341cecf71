//! How the rest of the process talks to the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread::JoinHandle;

use tokio::runtime::Handle;
use tokio::sync::mpsc::UnboundedSender;

use super::Command;
use super::Freshness;
use super::PeerClients;
use crate::accounts::AllowanceMessage;
use crate::core::Name;
use crate::core::Published;
use crate::core::RouteOrigin;
use crate::core::TargetState;
use crate::core::View;

/// The running control thread. Shared between threads by `Arc`; dropping it stops the thread.
pub struct ControlHandle {
    /// Where this node is bound: UDP for gossip and TCP for control calls.
    pub address: SocketAddr,
    /// All members as this node knows them, replaced at each change.
    pub view: Arc<Published<View>>,
    /// How fresh what gossip tells is.
    pub freshness: Arc<Freshness>,
    /// Control calls to peers.
    pub clients: Arc<PeerClients>,
    /// The control thread's runtime, for tasks of the concerns that run there.
    pub runtime: Handle,
    pub(super) commands: UnboundedSender<Command>,
    pub(super) thread: Mutex<Option<JoinHandle<()>>>,
}

impl ControlHandle {
    /// Tells all members what the local backend server is. Call it at each change; a call without
    /// a change costs nothing. `slots` is how many calls it says it runs at once.
    pub fn announce(&self, service: &Name, slots: u32, state: TargetState) {
        self.command(Command::Announce {
            service: service.clone(),
            slots,
            state,
        });
    }

    /// Tells all members of a change of state only, for example [`TargetState::Draining`].
    pub fn set_state(&self, state: TargetState) {
        self.command(Command::SetState(state));
    }

    /// Tells all members which configuration version is in force here. Lower ones are ignored.
    pub fn set_config_version(&self, version: u64) {
        self.command(Command::SetConfigVersion(version));
    }

    /// Tells all members that the store holds no newer configuration than this version, if that is the
    /// one in force here.
    pub fn confirm_config_version(&self, version: u64) {
        self.command(Command::ConfirmConfigVersion(version));
    }

    /// Tells all members of an era of the store. Lower ones are ignored.
    pub fn raise_store_era(&self, era: u64) {
        self.command(Command::RaiseStoreEra(era));
    }

    /// Tells all members which version of a slot map is held here. Lower ones are ignored.
    pub fn set_slot_map_version(&self, service: &Name, version: u64) {
        self.command(Command::SetSlotMapVersion {
            service: service.clone(),
            version,
        });
    }

    /// Tells all members who uses a route, if nobody has told yet.
    pub fn announce_route_use(&self, route: Name, by: RouteOrigin) {
        self.command(Command::AnnounceRouteUse { route, by });
    }

    /// Tells a member of accounts' allowances. A message that is lost is not sent again.
    pub fn send_allowances(&self, to: Name, message: AllowanceMessage) {
        self.command(Command::SendAllowances { to, message });
    }

    /// Adds control addresses to try, for example from the platform's table.
    pub fn add_seeds(&self, seeds: Vec<SocketAddr>) {
        self.command(Command::AddSeeds(seeds));
    }

    /// Says that this node leaves, then ends the thread once the news is sent. Blocks shortly.
    pub fn leave(&self) {
        self.set_state(TargetState::Left);
        self.shutdown();
    }

    /// Ends the thread without a word, as a crash would. Blocks shortly.
    pub fn shutdown(&self) {
        self.command(Command::Shutdown);
        let thread = self
            .thread
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        // A task on the control thread may drop the last handle. The thread ends by the command;
        // waiting for its own end it would panic.
        let own_thread = std::thread::current().id();
        let thread = thread.filter(|thread| thread.thread().id() != own_thread);
        if thread.is_some_and(|thread| thread.join().is_err()) {
            log::error!("control: the control thread panicked");
        }
    }

    fn command(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::debug!("control: the control thread has ended");
        }
    }
}

impl Drop for ControlHandle {
    fn drop(&mut self) {
        self.shutdown();
    }
}
