//! Commands that other threads and tasks send to the membership on the control thread.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use crate::accounts::AllowanceMessage;
use crate::core::Name;
use crate::core::RouteOrigin;
use crate::core::Target;
use crate::core::TargetState;
use crate::membership::ExchangeRequest;
use crate::placement::LoadMessage;

/// One command. Commands are handled in the order of arrival.
#[derive(Debug)]
pub enum Command {
    /// The local backend server announced itself, or its announcement changed.
    Announce {
        service: Name,
        slots: u32,
        state: TargetState,
    },
    /// Changes only the state of the local target.
    SetState(TargetState),
    SetConfigVersion(u64),
    /// The store holds no newer configuration than this version.
    ConfirmConfigVersion(u64),
    /// The store has answered with this era.
    RaiseStoreEra(u64),
    SetSlotMapVersion {
        service: Name,
        version: u64,
    },
    /// This node has found out who uses a route.
    AnnounceRouteUse {
        route: Name,
        by: RouteOrigin,
    },
    /// Sends a message about accounts' allowances to a member.
    SendAllowances {
        to: Name,
        message: AllowanceMessage,
    },
    /// Sends a message about the load of a service to a member.
    SendLoads {
        to: Name,
        message: LoadMessage,
    },
    AddSeeds(Vec<SocketAddr>),
    /// A peer requests this node's member records in all buckets whose digests differ from those
    /// in the request.
    Exchange {
        request: ExchangeRequest,
        reply: oneshot::Sender<Vec<Target>>,
    },
    /// The members received in an exchange that this node requested.
    Merge {
        from: SocketAddr,
        members: Vec<Target>,
    },
    /// Sends pending messages and ends the thread.
    Shutdown,
}
