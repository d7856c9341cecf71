//! Binds datagrams and control calls to the same address.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

/// With port 0 the two free ports found may differ; this many pairs are tried.
const BIND_TRIES: usize = 50;

/// A UDP socket and a TCP listener on one address.
#[derive(Debug)]
pub struct ControlSockets {
    pub address: SocketAddr,
    pub datagrams: UdpSocket,
    pub calls: TcpListener,
}

/// Binds both, non-blocking; port 0 takes any port that is free for both.
///
/// # Errors
/// When the address cannot be bound.
pub fn bind_control(address: SocketAddr) -> io::Result<ControlSockets> {
    let mut tries = 0;
    loop {
        tries += 1;
        match bind_both(address) {
            Ok(sockets) => return Ok(sockets),
            Err(error) if address.port() != 0 || tries >= BIND_TRIES => return Err(error),
            Err(_) => {}
        }
    }
}

fn bind_both(address: SocketAddr) -> io::Result<ControlSockets> {
    let calls = TcpListener::bind(address)?;
    let address = calls.local_addr()?;
    let datagrams = UdpSocket::bind(address)?;
    calls.set_nonblocking(true)?;
    datagrams.set_nonblocking(true)?;
    Ok(ControlSockets {
        address,
        datagrams,
        calls,
    })
}
