//! What the pure membership asks of the outside.

use std::net::SocketAddr;

use super::Datagram;
use crate::accounts::AllowanceMessage;
use crate::core::Name;
use crate::core::RouteOrigin;

/// One thing to do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram; if it is lost, nothing else has to be done.
    Send { to: SocketAddr, datagram: Datagram },
    /// The view changed: publish [`super::Membership::view`].
    Publish,
    /// Exchange all members with this node over a control call and merge the answer.
    Exchange { with: SocketAddr },
    /// The node at this address, of the own failure domain or not, has a newer configuration in force.
    NewerConfig {
        from: SocketAddr,
        version: u64,
        is_near: bool,
    },
    /// The store has a newer era than was known here.
    StoreEra { era: u64 },
    /// The node at this address knows a newer slot map of a service.
    NewerSlotMap {
        from: SocketAddr,
        service: Name,
        version: u64,
    },
    /// Somebody has found out who uses a route, of which nothing was known here.
    RouteUse { route: Name, by: RouteOrigin },
    /// A member tells of accounts' allowances.
    Allowances {
        from: Name,
        message: AllowanceMessage,
    },
    /// Compare the versions of all slot maps with this node: the digests differ persistently.
    CompareSlotMaps { with: SocketAddr },
}
