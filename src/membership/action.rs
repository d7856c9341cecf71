//! The effects that the membership logic, which does no I/O itself, asks its caller to carry out.

use std::net::SocketAddr;

use super::Datagram;
use crate::accounts::AllowanceMessage;
use crate::core::Name;
use crate::core::RouteOrigin;

/// One effect. The caller carries out effects in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram. Nothing has to be done if it is lost.
    Send { to: SocketAddr, datagram: Datagram },
    /// The view changed: publish [`super::Membership::view`].
    Publish,
    /// Exchange all members with this node over a control call, and merge the response.
    Exchange { with: SocketAddr },
    /// The node at this address has a newer configuration in force. `is_near` says whether it is in
    /// this node's own failure domain.
    NewerConfig {
        from: SocketAddr,
        version: u64,
        is_near: bool,
    },
    /// A peer reported a store era that is newer than any known here.
    StoreEra { era: u64 },
    /// The node at this address knows a newer slot map of a service.
    NewerSlotMap {
        from: SocketAddr,
        service: Name,
        version: u64,
    },
    /// A peer determined what uses a route, and nothing was known here about that route.
    RouteUse { route: Name, by: RouteOrigin },
    /// A member sent a message about accounts' allowances.
    Allowances {
        from: Name,
        message: AllowanceMessage,
    },
    /// Compare the versions of all slot maps with this node, because the digests have differed for
    /// several seconds.
    CompareSlotMaps { with: SocketAddr },
}
