//! A relay in front of a listener, whose connections can be made half-open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use super::test_mesh::loopback;

/// The direction in which bytes are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    Requests,
    Answers,
    Both,
}

/// Relays connections to `target`. Those accepted before the last [`Self::make_half_open`] lose
/// bytes without being closed, and new ones work.
#[derive(Clone)]
pub struct TestRelay {
    pub address: SocketAddr,
    accepted: Arc<AtomicU64>,
    /// Connections are numbered in the order of acceptance. Those below this number lose requests.
    requests_lost_below: Arc<AtomicU64>,
    /// Those below this number lose answers.
    answers_lost_below: Arc<AtomicU64>,
}

impl TestRelay {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(loopback()).await.expect("a port is free");
        let relay = Self {
            address: listener.local_addr().expect("the port is bound"),
            accepted: Arc::default(),
            requests_lost_below: Arc::default(),
            answers_lost_below: Arc::default(),
        };
        tokio::spawn(relay.clone().run(listener, target));
        relay
    }

    /// Makes all present connections lose bytes from now on.
    pub fn make_half_open(&self, lost: Lost) {
        let accepted = self.accepted.load(Ordering::SeqCst);
        if lost != Lost::Answers {
            self.requests_lost_below.store(accepted, Ordering::SeqCst);
        }
        if lost != Lost::Requests {
            self.answers_lost_below.store(accepted, Ordering::SeqCst);
        }
    }

    /// The number of accepted connections.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    async fn run(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            let number = self.accepted.fetch_add(1, Ordering::SeqCst);
            let Ok(far) = TcpStream::connect(target).await else {
                continue;
            };
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            let requests = self.requests_lost_below.clone();
            let answers = self.answers_lost_below.clone();
            tokio::spawn(copy(near_in, far_out, number, requests));
            tokio::spawn(copy(far_in, near_out, number, answers));
        }
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    lost_below: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 16_384];
    while let Ok(bytes) = from.read(&mut buffer).await {
        let is_lost = number < lost_below.load(Ordering::SeqCst);
        if is_lost && bytes == 0 {
            // The end of the connection is not passed on either.
            std::future::pending::<()>().await;
        }
        if is_lost {
            continue;
        }
        if bytes == 0 || to.write_all(&buffer[..bytes]).await.is_err() {
            return;
        }
    }
}
