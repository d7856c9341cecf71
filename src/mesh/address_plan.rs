//! Which loopback address each process of a mesh gets.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::errors::MeshError;

/// Addresses that one mesh may use.
const BLOCK_ADDRESSES: u32 = 1 << 10;
/// Blocks between 127.16.0.0 and 127.255.255.255.
const BLOCKS: u32 = (240 << 16) / BLOCK_ADDRESSES;
const FIRST_BLOCK: u32 = (127 << 24) | (16 << 16);
/// Blocks tried before giving up.
const BLOCK_TRIES: u32 = 64;

/// No process of a mesh listens on it; see [`AddressPlan::find`].
const RESERVATION_PORT: u16 = 6999;
const PLATFORM_PORT: u16 = 7000;
const CALLER_PORT: u16 = 7001;
const LOCAL_PORT: u16 = 7002;
const PEER_PORT: u16 = 7003;
const CONTROL_PORT: u16 = 7004;
const OPERATOR_PORT: u16 = 7005;
const BACKEND_PORT: u16 = 7006;
/// Added to a port for the relay in front of it.
const RELAY_OFFSET: u16 = 100;

static MESHES_STARTED: AtomicU32 = AtomicU32::new(0);

/// The addresses of one mesh. No other mesh gets them as long as it lives.
#[derive(Debug)]
pub struct AddressPlan {
    first: u32,
    _reservation: TcpListener,
}

/// The addresses of one node and its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    pub caller: SocketAddr,
    pub local: SocketAddr,
    pub peer: SocketAddr,
    pub control: SocketAddr,
    pub operator: SocketAddr,
    pub backend: SocketAddr,
    pub relayed_peer: SocketAddr,
    pub relayed_control: SocketAddr,
    pub relayed_backend: SocketAddr,
}

impl AddressPlan {
    /// Finds a block that no other mesh uses, and reserves it.
    ///
    /// The reservation is a listener on a port of its own. A process that another thread is starting
    /// holds copies of all sockets of this process for a moment, so an address that was bound here
    /// to find out whether it is free may not be free yet when the platform binds it.
    ///
    /// # Errors
    /// When no block is free, such as on systems where only 127.0.0.1 is loopback.
    pub fn find() -> Result<Self, MeshError> {
        let started = MESHES_STARTED.fetch_add(1, Ordering::Relaxed);
        let start = process::id().wrapping_mul(97).wrapping_add(started);
        for attempt in 0..BLOCK_TRIES {
            let block = start.wrapping_add(attempt * 1_009) % BLOCKS;
            let first = FIRST_BLOCK + block * BLOCK_ADDRESSES;
            if let Ok(reservation) = TcpListener::bind(socket_address(first, RESERVATION_PORT)) {
                return Ok(Self {
                    first,
                    _reservation: reservation,
                });
            }
        }
        Err(MeshError::NoAddress)
    }

    /// Where the platform listens.
    pub fn platform(&self) -> SocketAddr {
        self.address(0, PLATFORM_PORT)
    }

    /// The addresses of the node with this index.
    pub fn node(&self, index: usize) -> NodeAddresses {
        let offset = index as u32 + 1;
        assert!(offset < BLOCK_ADDRESSES, "too many nodes for one mesh");
        let at = |port| self.address(offset, port);
        NodeAddresses {
            caller: at(CALLER_PORT),
            local: at(LOCAL_PORT),
            peer: at(PEER_PORT),
            control: at(CONTROL_PORT),
            operator: at(OPERATOR_PORT),
            backend: at(BACKEND_PORT),
            relayed_peer: at(PEER_PORT + RELAY_OFFSET),
            relayed_control: at(CONTROL_PORT + RELAY_OFFSET),
            relayed_backend: at(BACKEND_PORT + RELAY_OFFSET),
        }
    }

    fn address(&self, offset: u32, port: u16) -> SocketAddr {
        socket_address(self.first + offset, port)
    }
}

/// The very first address of a block may end in .0; it is as good as any other on loopback.
fn socket_address(ip: u32, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(ip), port))
}
