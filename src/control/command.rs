//! What other threads and tasks ask of the membership on the control thread.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use crate::accounts::AllowanceMessage;
use crate::core::Name;
use crate::core::RouteOrigin;
use crate::core::Target;
use crate::core::TargetState;
use crate::membership::ExchangeRequest;

/// One request, handled in the order of arrival.
#[derive(Debug)]
pub enum Command {
    /// The local backend server announced itself or changed.
    Announce {
        service: Name,
        slots: u32,
        state: TargetState,
    },
    /// Changes the state only.
    SetState(TargetState),
    SetConfigVersion(u64),
    /// The store holds nothing newer than this version.
    ConfirmConfigVersion(u64),
    /// The store has answered in this era.
    RaiseStoreEra(u64),
    SetSlotMapVersion {
        service: Name,
        version: u64,
    },
    /// Who uses a route was found out here.
    AnnounceRouteUse {
        route: Name,
        by: RouteOrigin,
    },
    /// Tells a member of accounts' allowances.
    TellAllowances {
        to: Name,
        message: AllowanceMessage,
    },
    AddSeeds(Vec<SocketAddr>),
    /// A peer asks for what it lacks of the members.
    Exchange {
        ask: ExchangeRequest,
        answer: oneshot::Sender<Vec<Target>>,
    },
    /// The answer to an exchange that this node asked for.
    Merge {
        from: SocketAddr,
        members: Vec<Target>,
    },
    /// Sends what is pending and ends the thread.
    Shutdown,
}
