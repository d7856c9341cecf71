//! The effects that the caller of the membership logic carries out. The logic itself does no I/O.

use std::net::SocketAddr;

use super::Datagram;
use crate::accounts::AllowanceMessage;
use crate::core::Name;
use crate::core::RouteOrigin;
use crate::placement::LoadMessage;

/// One effect. The caller carries out effects in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram. Nothing has to be done if it is lost.
    Send { to: SocketAddr, datagram: Datagram },
    /// The view changed: publish [`super::Membership::view`].
    Publish,
    /// Start a full exchange of members with this node over a control call, and merge the response.
    Exchange { with: SocketAddr },
    /// The node at this address has a newer configuration in force. `is_near` is set if it is in
    /// this node's own failure domain.
    NewerConfig {
        from: SocketAddr,
        version: u64,
        is_near: bool,
    },
    /// A peer reported a store era that is newer than any known here.
    StoreEra { era: u64 },
    /// The node at this address sent a higher slot map version of a service than the one held here.
    NewerSlotMap {
        from: SocketAddr,
        service: Name,
        version: u64,
    },
    /// A peer reported whether callers or backend servers use a route. This was unknown here.
    RouteUse { route: Name, by: RouteOrigin },
    /// A member sent a message about the allowances of client accounts.
    Allowances {
        from: Name,
        message: AllowanceMessage,
    },
    /// A member sent a message about the load of services in failure domains.
    Loads { from: Name, message: LoadMessage },
    /// Compare the versions of all slot maps with this node, because the digests have differed for
    /// several seconds.
    CompareSlotMaps { with: SocketAddr },
}
