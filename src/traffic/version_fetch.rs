//! Fetches newer desired states from peers that have them in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::mpsc::Receiver;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::control::ControlHandle;
use crate::core::Name;
use crate::desired::should_fetch_across_domains;
use crate::errors::PeerCallError;
use crate::traffic::DesiredInForce;
use crate::traffic::desired_task::AnnounceVersion;

/// Time-out for fetching a desired state from a peer, in milliseconds. An answer usually takes a
/// few milliseconds. After the time-out the store is polled. The time-out is short because the
/// change has to be in force within a limited time.
const FETCH_TIMEOUT_MS: u64 = 400;
/// How long a node waits for a peer of its own failure domain to announce a version that a peer of
/// another domain has announced, in milliseconds.
const SAME_DOMAIN_WAIT_MS: u64 = 300;

/// The announcement that a peer has a version in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionAnnouncement {
    pub from: SocketAddr,
    pub version: u64,
    /// The peer is in this node's failure domain.
    pub same_domain: bool,
}

/// Fetches documents from peers.
///
/// The store may refuse this node while it serves the operator and other nodes. The operator's
/// change is then acknowledged, and only peers can deliver it. If a peer announces a version but
/// does not deliver it, the store is polled.
///
/// If every node fetched a document from another failure domain, such documents would make up most
/// of the bytes between domains where states have hundreds of routes. So a few nodes of each domain
/// fetch it from another domain, and the others fetch it from them.
pub(super) struct VersionFetch {
    pub(super) control: Arc<ControlHandle>,
    pub(super) domain: Name,
    pub(super) desired: Arc<DesiredInForce>,
    pub(super) announce: AnnounceVersion,
    pub(super) poll_now: Arc<Notify>,
}

impl VersionFetch {
    /// Runs until the channel of announcements is closed.
    pub(super) async fn run(self, mut announcements: Receiver<VersionAnnouncement>) {
        // A version announced by another failure domain, and until when to wait for a peer of the
        // own domain.
        let mut waiting: Option<(VersionAnnouncement, Instant)> = None;
        loop {
            let until = waiting.map(|(_, until)| until);
            let announced = tokio::select! {
                announced = announcements.recv() => match announced {
                    Some(announced) => announced,
                    None => return,
                },
                () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => {
                    if let Some((announced, _)) = waiting.take() {
                        self.fetch(announced).await;
                    }
                    continue;
                }
            };
            if announced.same_domain || self.may_fetch_across() {
                waiting = None;
                self.fetch(announced).await;
            } else if waiting.is_none() {
                let until = Instant::now() + Duration::from_millis(SAME_DOMAIN_WAIT_MS);
                waiting = Some((announced, until));
            }
        }
    }

    fn may_fetch_across(&self) -> bool {
        let view = self.control.view.load();
        should_fetch_across_domains(&view, &self.domain, fastrand::f64())
    }

    async fn fetch(&self, announced: VersionAnnouncement) {
        let VersionAnnouncement { from, version, .. } = announced;
        if version <= self.desired.version() {
            return;
        }
        let fetching = self
            .control
            .clients
            .config_above(from, self.desired.version());
        let fetching = timeout(Duration::from_millis(FETCH_TIMEOUT_MS), fetching);
        match fetching.await.unwrap_or(Err(PeerCallError::Timeout)) {
            Ok(Some(document)) => {
                if self.desired.apply_document(&document) {
                    (self.announce)(document.version);
                }
            }
            Ok(None) => {}
            Err(error) => {
                log::debug!("config: fetch from a peer failed, peer={from} error={error}");
                self.poll_now.notify_one();
            }
        }
    }
}
