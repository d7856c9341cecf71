//! A relay of TCP connections on one link, which obeys the rules of the network.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use crate::core::Name;
use crate::mesh::Direction;
use crate::mesh::Net;
use crate::mesh::gate::DomainsByAddress;
use crate::mesh::gate::Gate;

/// The largest piece of data that is forwarded at once.
const PIECE_BYTES: usize = 64 * 1024;

/// One relayed address.
#[derive(Clone)]
pub struct TcpRelay {
    pub net: Arc<Net>,
    pub link: Name,
    pub listen: SocketAddr,
    pub target: SocketAddr,
    pub target_domain: Name,
    pub domains: DomainsByAddress,
}

impl TcpRelay {
    /// Relays for as long as the task lives. The listener is closed while the link is refused.
    pub async fn run(self, first_listener: TcpListener) {
        let mut listener = Some(first_listener);
        let mut rules = self.net.follow();
        loop {
            let allowed = rules.wait_for(|rules| !rules.is_refused(&self.link));
            let is_gone = allowed.await.is_err();
            if is_gone {
                return;
            }
            let open = match listener.take() {
                Some(open) => open,
                None => match TcpListener::bind(self.listen).await {
                    Ok(open) => open,
                    Err(error) => {
                        log::error!("mesh: relay lost link={} error={error}", self.link);
                        return;
                    }
                },
            };
            tokio::select! {
                () = self.accept(&open) => {}
                _ = rules.wait_for(|rules| rules.is_refused(&self.link)) => {}
            }
        }
    }

    async fn accept(&self, listener: &TcpListener) {
        loop {
            let Ok((opener, from)) = listener.accept().await else {
                continue;
            };
            let gate = Gate {
                rules: self.net.follow(),
                link: self.link.clone(),
                from_domain: self.domains.get(&from.ip()).cloned(),
                to_domain: self.target_domain.clone(),
                number: self.net.open(&self.link),
            };
            tokio::spawn(relay(opener, self.target, gate));
        }
    }
}

async fn relay(opener: TcpStream, target: SocketAddr, gate: Gate) {
    let mut first = gate.clone();
    // Nothing reaches the target before the link is open, not even the connection.
    first.pass(Direction::Forward).await;
    let Ok(target) = TcpStream::connect(target).await else {
        return;
    };
    let _ = opener.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (opener_read, opener_write) = opener.into_split();
    let (target_read, target_write) = target.into_split();
    let forward = copy(opener_read, target_write, gate.clone(), Direction::Forward);
    let back = copy(target_read, opener_write, gate.clone(), Direction::Back);
    tokio::select! {
        _ = async { tokio::join!(forward, back) } => {}
        () = gate.refused() => {}
    }
}

/// Copies until the end or an error, which closes the other side too once the link is open.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut gate: Gate,
    direction: Direction,
) -> io::Result<()> {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let read = from.read(&mut piece).await;
        gate.pass(direction).await;
        let length = read?;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&piece[..length]).await?;
    }
}
