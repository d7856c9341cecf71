//! The server of control calls from peers.

use std::io;
use std::time::Duration;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::AttemptStatus;
use super::Command;
use super::ConfigDocument;
use super::ControlHandlers;
use super::ControlMetrics;
use super::PeerControl;
use super::Promise;
use super::PromiseRequest;
use super::Suspects;
use super::peer_transport;
use crate::core::AttemptId;
use crate::core::Target;
use crate::membership::ExchangeRequest;

/// The largest number of calls of one connection handled at once. Further calls wait in the socket.
const MAX_CONCURRENT_CALLS: usize = 32;
/// The pause before the next accept after one failed, as when the process has no file descriptor
/// left.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Passes each call to the membership or to its handler.
#[derive(Clone)]
pub struct PeerServer {
    pub handlers: ControlHandlers,
    pub commands: UnboundedSender<Command>,
    pub metrics: ControlMetrics,
}

impl PeerServer {
    /// Accepts connections until the task is dropped.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().serve_connection(stream));
                }
                Err(error) => pause_accepting(error).await,
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let transport = peer_transport(stream, &self.metrics);
        BaseChannel::with_defaults(transport)
            .execute(self.serve())
            .for_each_concurrent(MAX_CONCURRENT_CALLS, |call| call)
            .await;
    }
}

async fn pause_accepting(error: io::Error) {
    log::warn!("control: cannot accept a connection error={error}");
    sleep(ACCEPT_RETRY).await;
}

impl PeerControl for PeerServer {
    async fn exchange_members(self, _: Context, request: ExchangeRequest) -> Vec<Target> {
        let (reply, answered) = oneshot::channel();
        let command = Command::Exchange { request, reply };
        if self.commands.send(command).is_err() {
            return Vec::new();
        }
        answered.await.unwrap_or_default()
    }

    async fn config_above(self, _: Context, above: u64) -> Option<ConfigDocument> {
        (self.handlers.config_above)(above)
    }

    async fn attempt_status(self, _: Context, attempt: AttemptId) -> AttemptStatus {
        (self.handlers.attempt_status)(attempt).await
    }

    async fn promise(self, _: Context, request: PromiseRequest) -> Promise {
        (self.handlers.promise)(request)
    }

    async fn hand_over(self, _: Context, transfer: Vec<u8>) -> bool {
        (self.handlers.hand_over)(transfer).await
    }

    async fn report_suspects(self, _: Context, suspects: Suspects) {
        (self.handlers.report_suspects)(suspects);
    }

    async fn node_status(self, _: Context) -> String {
        (self.handlers.node_status)()
    }

    async fn drain(self, _: Context) {
        (self.handlers.drain)();
    }
}
