//! The relay of datagrams between nodes, which obeys the rules of the network: what may not pass
//! is lost, as datagrams are.
//!
//! A datagram sent to the relayed address of one node leaves from the relayed address of its
//! sender, so that both see each other only under the addresses that they advertise.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::core::FastMap;
use crate::core::Name;
use crate::mesh::Direction;
use crate::mesh::Rules;

const LARGEST_DATAGRAM_BYTES: usize = 65_536;
/// Datagrams have no connection that could be forgotten.
const NO_CONNECTION: u64 = u64::MAX;

/// One node as the relay knows it.
pub struct UdpEnd {
    pub link: Name,
    pub domain: Name,
    /// Where the node really is.
    pub real: SocketAddr,
    /// Bound to the relayed address of the node.
    pub socket: UdpSocket,
}

/// All nodes, by their real addresses.
pub type UdpEnds = Arc<FastMap<SocketAddr, UdpEnd>>;

/// Relays what is sent to the node at `real`, for as long as the task lives.
pub async fn relay_datagrams(ends: UdpEnds, real: SocketAddr, rules: watch::Receiver<Rules>) {
    let to = &ends[&real];
    let mut datagram = vec![0; LARGEST_DATAGRAM_BYTES];
    loop {
        let received = to.socket.recv_from(&mut datagram).await;
        // An error is a note that the port of some earlier datagram was closed.
        let Ok((length, sender)) = received else {
            continue;
        };
        let Some(from) = ends.get(&sender) else {
            continue;
        };
        if passes(&rules.borrow(), from, to) {
            let _ = from.socket.send_to(&datagram[..length], to.real).await;
        }
    }
}

fn passes(rules: &Rules, from: &UdpEnd, to: &UdpEnd) -> bool {
    let lost = rules.is_cut(&from.domain, &to.domain)
        || rules.is_refused(&to.link)
        || rules.is_silent(&to.link, NO_CONNECTION, Direction::Forward)
        || rules.is_silent(&from.link, NO_CONNECTION, Direction::Back);
    !lost
}
