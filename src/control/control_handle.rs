//! The interface of the control thread to the rest of the process.

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
use crate::placement::LoadMessage;

/// A handle to the running control thread, shared between threads by `Arc`. Dropping it stops the
/// thread.
pub struct ControlHandle {
    /// The bound address: UDP for gossip and TCP for control calls.
    pub address: SocketAddr,
    /// All members known to this node, replaced at each change.
    pub view: Arc<Published<View>>,
    /// How recent the state received by gossip is.
    pub freshness: Arc<Freshness>,
    /// Control calls to peers.
    pub clients: Arc<PeerClients>,
    /// The control thread's runtime, for tasks of other parts of the node that run there.
    pub runtime: Handle,
    pub(super) commands: UnboundedSender<Command>,
    pub(super) thread: Mutex<Option<JoinHandle<()>>>,
}

impl ControlHandle {
    /// Announces the local backend server to all members. Call it at each change; a call without a
    /// change sends nothing. `slots` is the number of calls that the server says it runs at once.
    pub fn announce(&self, service: &Name, slots: u32, state: TargetState) {
        self.command(Command::Announce {
            service: service.clone(),
            slots,
            state,
        });
    }

    /// Announces only a change of state to all members, for example [`TargetState::Draining`].
    pub fn set_state(&self, state: TargetState) {
        self.command(Command::SetState(state));
    }

    /// Announces the configuration version in force here to all members. Lower ones are ignored.
    pub fn set_config_version(&self, version: u64) {
        self.command(Command::SetConfigVersion(version));
    }

    /// Announces to all members that the store holds no newer configuration than this version, if
    /// it is the one in force here.
    pub fn confirm_config_version(&self, version: u64) {
        self.command(Command::ConfirmConfigVersion(version));
    }

    /// Announces an era of the store to all members. Lower ones are ignored.
    pub fn raise_store_era(&self, era: u64) {
        self.command(Command::RaiseStoreEra(era));
    }

    /// Announces the version of a slot map held here to all members. Lower ones are ignored.
    pub fn set_slot_map_version(&self, service: &Name, version: u64) {
        self.command(Command::SetSlotMapVersion {
            service: service.clone(),
            version,
        });
    }

    /// Announces to all members who uses a route, unless a member has announced it already.
    pub fn announce_route_use(&self, route: Name, by: RouteOrigin) {
        self.command(Command::AnnounceRouteUse { route, by });
    }

    /// Sends a message about accounts' allowances to a member. A lost message is not sent again.
    pub fn send_allowances(&self, to: Name, message: AllowanceMessage) {
        self.command(Command::SendAllowances { to, message });
    }

    /// Sends a message about the load of a service to a member. A lost message is not sent again.
    pub fn send_loads(&self, to: Name, message: LoadMessage) {
        self.command(Command::SendLoads { to, message });
    }

    /// Adds control addresses to contact, for example from the platform's table.
    pub fn add_seeds(&self, seeds: Vec<SocketAddr>) {
        self.command(Command::AddSeeds(seeds));
    }

    /// Announces that this node leaves, and ends the thread once the announcement is sent. Blocks
    /// briefly, until the thread has ended.
    pub fn leave(&self) {
        self.set_state(TargetState::Left);
        self.shutdown();
    }

    /// Ends the thread without announcing it, as a crash would. Blocks briefly, until the thread
    /// has ended.
    pub fn shutdown(&self) {
        self.command(Command::Shutdown);
        let thread = self
            .thread
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        // A task on the control thread may drop the last handle. The command ends the thread; if
        // the thread also joined itself, it would panic.
        let own_thread = std::thread::current().id();
        let thread = thread.filter(|thread| thread.thread().id() != own_thread);
        if thread.is_some_and(|thread| thread.join().is_err()) {
            log::error!("control: the control thread panicked");
        }
    }

    fn command(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::debug!("control: command dropped because the control thread has ended");
        }
    }
}

impl Drop for ControlHandle {
    fn drop(&mut self) {
        self.shutdown();
    }
}
