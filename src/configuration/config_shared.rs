//! The configuration in force, shared by the task that changes it and the threads that read it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use log::debug;
use log::error;
use log::info;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::channel;

use crate::configuration::ConfigMetrics;
use crate::configuration::ConfigState;
use crate::configuration::IgnoreReason;
use crate::configuration::OfferOutcome;
use crate::configuration::Source;
use crate::control::ConfigDocument;
use crate::core::Published;
use crate::preset::InForce;

/// The largest number of updates queued for the task. More are dropped, since gossip repeats them.
const MAX_QUEUED_UPDATES: usize = 64;

/// A peer has a higher version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewerConfig {
    /// The control address of the peer.
    pub from: SocketAddr,
    pub version: u64,
}

/// The configuration in force at this node. Any thread may read it and report versions of peers.
pub struct ConfigShared {
    state: Mutex<ConfigState>,
    in_force: Arc<Published<Option<InForce>>>,
    highest: AtomicU64,
    updates: Sender<NewerConfig>,
    pub(super) metrics: ConfigMetrics,
}

impl ConfigShared {
    /// Creates the state and the queue of updates for the task. A node that knows no configuration
    /// yet publishes `None`: calls cannot be classified and are refused as `no_preset`. There is no
    /// built-in default preset, because it could rank work differently from what operators chose.
    pub fn new(
        in_force: Arc<Published<Option<InForce>>>,
        metrics: ConfigMetrics,
    ) -> (Arc<Self>, Receiver<NewerConfig>) {
        let (updates, receiver) = channel(MAX_QUEUED_UPDATES);
        let shared = Self {
            state: Mutex::new(ConfigState::new()),
            in_force,
            highest: AtomicU64::new(0),
            updates,
            metrics,
        };
        (Arc::new(shared), receiver)
    }

    /// Records that a peer has `version` in force, as learned from gossip or from the header of an
    /// answer, and queues a fetch if it is higher. Otherwise it costs one load of an atomic.
    pub fn record_peer_version(&self, from: SocketAddr, version: u64) {
        if version <= self.highest.load(Ordering::Relaxed) {
            return;
        }
        if self
            .updates
            .try_send(NewerConfig { from, version })
            .is_err()
        {
            self.metrics.dropped_updates.inc();
        }
    }

    /// The document in force if its version is higher than `above`, for a peer that requests it.
    pub fn document_above(&self, above: u64) -> Option<ConfigDocument> {
        self.lock().document_above(above)
    }

    /// The version in force, or 0 if none is known.
    pub fn version(&self) -> u64 {
        self.lock().version()
    }

    /// The highest version held here, in force or collected from peers at the start.
    pub fn highest(&self) -> u64 {
        self.highest.load(Ordering::Relaxed)
    }

    /// Offers a document to the state. Returns the version that came into force, if any.
    pub fn offer(&self, document: ConfigDocument, source: Source) -> Option<u64> {
        let mut state = self.lock();
        let version = document.version;
        let offer = state.offer(document, source);
        self.highest.store(state.highest(), Ordering::Relaxed);
        match offer {
            OfferOutcome::Apply(in_force) => Some(self.publish(&state, in_force, source)),
            OfferOutcome::Ignore(reason) => {
                self.metrics.count_ignored(&reason);
                log_ignored(version, &reason);
                None
            }
        }
    }

    /// To be called when every peer queried at the start has answered or failed. Returns the
    /// version that came into force, if any.
    pub fn finish_initial_queries(&self) -> Option<u64> {
        let mut state = self.lock();
        let in_force = state.finish_initial_queries()?;
        Some(self.publish(&state, in_force, Source::Peer))
    }

    /// Publishes under the lock, so that two versions cannot be published in the wrong order.
    fn publish(&self, state: &ConfigState, in_force: InForce, source: Source) -> u64 {
        let version = in_force.version;
        let preset = state.preset().map_or("", |name| name);
        info!("config: in force version={version} preset={preset} source={source:?}");
        self.metrics.count_applied(source);
        self.in_force.store(Arc::new(Some(in_force)));
        version
    }

    fn lock(&self) -> MutexGuard<'_, ConfigState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_ignored(version: u64, reason: &IgnoreReason) {
    match reason {
        IgnoreReason::OtherContent => {
            error!("config: different document with the version in force version={version}")
        }
        IgnoreReason::Unreadable(error) => {
            error!("config: unreadable version={version} error={error}")
        }
        IgnoreReason::NotHigher { .. } | IgnoreReason::StillAsking => {
            debug!("config: not applied version={version} reason={reason:?}");
        }
    }
}
