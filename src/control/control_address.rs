//! Binds the sockets for datagrams and control calls to one address.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

/// The number of attempts to bind both sockets with port 0. A port that is free for TCP may be in
/// use for UDP.
const MAX_BIND_ATTEMPTS: usize = 50;

/// A UDP socket and a TCP listener on one address.
#[derive(Debug)]
pub struct ControlSockets {
    pub address: SocketAddr,
    pub datagrams: UdpSocket,
    pub calls: TcpListener,
}

/// Binds both sockets, non-blocking. Port 0 binds any port that is free for both.
///
/// # Errors
/// When the address cannot be bound.
pub fn bind_control(address: SocketAddr) -> io::Result<ControlSockets> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match bind_both(address) {
            Ok(sockets) => return Ok(sockets),
            Err(error) if address.port() != 0 || attempts >= MAX_BIND_ATTEMPTS => {
                return Err(error);
            }
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
