//! Fetches from peers what they have in force and this node has not.

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
use crate::desired::fetches_across;
use crate::errors::PeerCallError;
use crate::traffic::DesiredInForce;
use crate::traffic::desired_task::AnnounceVersion;

/// How long a peer may take to hand over what it has in force, in milliseconds. Its answer takes a few;
/// after that the store is asked, while the time in which a change has to be in force goes on.
const FETCH_TIMEOUT_MS: u64 = 400;
/// How long a node waits for a peer of its own failure domain to have a version that one of another domain
/// has told of, in milliseconds.
const SAME_DOMAIN_WAIT_MS: u64 = 300;

/// News that a peer has a version in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionAnnouncement {
    pub from: SocketAddr,
    pub version: u64,
    /// The peer is of the own failure domain.
    pub is_near: bool,
}

/// Takes documents over from peers.
///
/// Guards against a store that turns this node away while it serves the operator and others: the
/// operator's change is acknowledged, and only peers can tell of it. And the other way round, a peer that
/// tells of a version and does not hand it over holds nothing up: the store is asked then.
///
/// Guards against a document that crosses the border of a failure domain once for each node, which is most
/// of the bytes between domains where states hold hundreds of routes: a few nodes of each domain fetch it
/// across, and the others from them.
pub(super) struct VersionFetch {
    pub(super) control: Arc<ControlHandle>,
    pub(super) domain: Name,
    pub(super) desired: Arc<DesiredInForce>,
    pub(super) announce: AnnounceVersion,
    pub(super) poll_now: Arc<Notify>,
}

impl VersionFetch {
    /// Runs until the news end.
    pub(super) async fn run(self, mut announcements: Receiver<VersionAnnouncement>) {
        // What another failure domain has told of, and until when a near peer may have it.
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
            if announced.is_near || self.may_fetch_across() {
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
        fetches_across(&view, &self.domain, fastrand::f64())
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
                log::debug!("config: a peer gave no answer, peer={from} error={error}");
                self.poll_now.notify_one();
            }
        }
    }
}
