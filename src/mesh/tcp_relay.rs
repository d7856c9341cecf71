//! A relay of TCP connections on one link, which obeys the rules of the network.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::core::Name;
use crate::mesh::Direction;
use crate::mesh::Net;
use crate::mesh::gate::DomainsByAddress;
use crate::mesh::gate::Gate;

/// The largest piece of data that is forwarded at once.
const PIECE_BYTES: usize = 64 * 1024;
/// How often a relay looks whether its target is back.
const TARGET_POLL: Duration = Duration::from_millis(10);

/// Nobody listens at the target.
struct Gone;

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
    /// Relays for as long as the task lives. The listener is closed while the link is refused or
    /// nobody listens at the target, so that a process that is gone looks gone.
    pub async fn run(self, first_listener: TcpListener) {
        let mut listener = Some(first_listener);
        let mut rules = self.net.follow();
        let (gone_in, mut gone_out) = mpsc::channel(1);
        loop {
            let allowed = rules.wait_for(|rules| !rules.is_refused(&self.link));
            let is_over = allowed.await.is_err();
            if is_over {
                return;
            }
            if listener.is_none() {
                self.wait_for_target().await;
            }
            let open = match listener.take() {
                Some(open) => open,
                None => self.bind_again().await,
            };
            tokio::select! {
                () = self.accept(&open, &gone_in) => {}
                _ = rules.wait_for(|rules| rules.is_refused(&self.link)) => {}
                _ = gone_out.recv() => {}
            }
        }
    }

    async fn accept(&self, listener: &TcpListener, gone: &mpsc::Sender<Gone>) {
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
            tokio::spawn(relay(opener, self.target, gate, gone.clone()));
        }
    }

    /// A process that is just being started holds the closed listener until it runs its own
    /// program, so the address is in use for a moment.
    async fn bind_again(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.listen).await {
                Ok(listener) => return listener,
                Err(error) => log::debug!("mesh: bind again link={} error={error}", self.link),
            }
            sleep(TARGET_POLL).await;
        }
    }

    async fn wait_for_target(&self) {
        while TcpStream::connect(self.target).await.is_err() {
            sleep(TARGET_POLL).await;
        }
    }
}

async fn relay(opener: TcpStream, target: SocketAddr, gate: Gate, gone: mpsc::Sender<Gone>) {
    let mut first = gate.clone();
    // Nothing reaches the target before the link is open, not even the connection.
    first.pass(Direction::Forward).await;
    let Ok(stream) = TcpStream::connect(target).await else {
        let _ = gone.send(Gone).await;
        return;
    };
    let _ = opener.set_nodelay(true);
    let _ = stream.set_nodelay(true);
    let (opener_read, opener_write) = opener.into_split();
    let (target_read, target_write) = stream.into_split();
    let forward = copy(opener_read, target_write, gate.clone(), Direction::Forward);
    let back = copy(target_read, opener_write, gate.clone(), Direction::Back);
    tokio::select! {
        _ = async { tokio::join!(forward, tell_when_gone(back, target, gone)) } => {}
        () = gate.refused() => {}
    }
}

/// Copies until the end, and tells when the target ended because its process is gone.
async fn tell_when_gone(
    back: impl Future<Output = io::Result<()>>,
    target: SocketAddr,
    gone: mpsc::Sender<Gone>,
) {
    let _ = back.await;
    if TcpStream::connect(target).await.is_err() {
        let _ = gone.send(Gone).await;
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
