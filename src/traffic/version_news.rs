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
use crate::desired::should_fetch_across_domains;
use crate::errors::PeerCallError;
use crate::traffic::DesiredInForce;
use crate::traffic::desired_task::AnnounceVersion;

/// How long a peer may take to hand over what it has in force, in milliseconds. Its answer takes a few;
/// after that the store is asked, while the time in which a change has to be in force goes on.
const FETCH_WITHIN_MS: u64 = 400;
/// How long a node waits for a peer of its own failure domain to have a version that one of another domain
/// has told of, in milliseconds.
const NEAR_WITHIN_MS: u64 = 300;

/// News that a peer has a version in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionNews {
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
    pub(super) ask_now: Arc<Notify>,
}

impl VersionFetch {
    /// Runs until the news end.
    pub(super) async fn run(self, mut news: Receiver<VersionNews>) {
        // What another failure domain has told of, and until when a near peer may have it.
        let mut waiting: Option<(VersionNews, Instant)> = None;
        loop {
            let until = waiting.map(|(_, until)| until);
            let told = tokio::select! {
                told = news.recv() => match told {
                    Some(told) => told,
                    None => return,
                },
                () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => {
                    if let Some((told, _)) = waiting.take() {
                        self.fetch(told).await;
                    }
                    continue;
                }
            };
            if told.is_near || self.goes_across() {
                waiting = None;
                self.fetch(told).await;
            } else if waiting.is_none() {
                let until = Instant::now() + Duration::from_millis(NEAR_WITHIN_MS);
                waiting = Some((told, until));
            }
        }
    }

    fn goes_across(&self) -> bool {
        let view = self.control.view.load();
        should_fetch_across_domains(&view, &self.domain, fastrand::f64())
    }

    async fn fetch(&self, told: VersionNews) {
        let VersionNews { from, version, .. } = told;
        if version <= self.desired.version() {
            return;
        }
        let asking = self
            .control
            .clients
            .config_above(from, self.desired.version());
        let asking = timeout(Duration::from_millis(FETCH_WITHIN_MS), asking);
        match asking.await.unwrap_or(Err(PeerCallError::Timeout)) {
            Ok(Some(document)) => {
                if self.desired.offer_document(&document) {
                    (self.announce)(document.version);
                }
            }
            Ok(None) => {}
            Err(error) => {
                log::debug!("config: a peer gave no answer, peer={from} error={error}");
                self.ask_now.notify_one();
            }
        }
    }
}
