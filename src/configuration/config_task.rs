//! Keeps the configuration in force up to date: queries peers at the start, polls the platform, and
//! fetches newer versions from peers that have them in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use log::debug;
use tokio::sync::mpsc::Receiver;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::configuration::ConfigPorts;
use crate::configuration::ConfigShared;
use crate::configuration::NewerConfig;
use crate::configuration::PeerAnswer;
use crate::configuration::PollOutcome;
use crate::configuration::PollSchedule;
use crate::configuration::Source;
use crate::core::Clock;

/// How often the schedule is checked: whether this node is a poller may change at any time.
const SCHEDULE_CHECK_MS: u64 = 50;
/// The timeout of a query. After it the next peer with the newer version is queried, so that one
/// peer that does not answer does not delay the change.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// The timeout of a query at the start. It is longer, because an answer that comes too late is
/// ignored and may be the one with the highest version.
const INITIAL_QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The largest number of peers queried in one round at the start. The failure domains of the seeds
/// are not known yet. Among this many seeds, some are in the own failure domain.
const MAX_INITIAL_PEERS: usize = 32;
/// The pause after the first round of queries at the start. It doubles with each round.
const INITIAL_ROUND_PAUSE_MS: u64 = 200;
/// The longest pause between rounds. If the platform is down and no configuration has ever been in
/// force, all nodes query their peers until that changes. Without growing pauses this took 8 KB/s
/// of each node.
const MAX_ROUND_PAUSE_MS: u64 = 12_800;

/// The configuration task. It runs on the control thread.
pub struct ConfigTask {
    pub shared: Arc<ConfigShared>,
    pub updates: Receiver<NewerConfig>,
    pub ports: ConfigPorts,
    pub clock: Clock,
    pub poll_ms: u64,
}

impl ConfigTask {
    /// Runs until it is dropped.
    pub async fn run(self) {
        let Self {
            shared,
            updates,
            ports,
            clock,
            poll_ms,
        } = self;
        let start = query_initial_peers(&shared, &ports);
        let polls = poll(&shared, &ports, clock, PollSchedule::new(poll_ms));
        let fetches = fetch_updates(&shared, &ports, updates);
        tokio::join!(start, polls, fetches);
    }
}

/// Queries peers until a configuration is in force, from a peer or from the platform. The first
/// answer is not applied at once: see [`crate::configuration::ConfigState`].
async fn query_initial_peers(shared: &ConfigShared, ports: &ConfigPorts) {
    let mut pause_ms = INITIAL_ROUND_PAUSE_MS;
    while shared.version() == 0 {
        let mut peers = (ports.initial_peers)();
        peers.truncate(MAX_INITIAL_PEERS);
        let queries = peers
            .into_iter()
            .map(|peer| query(shared, ports, peer, INITIAL_QUERY_TIMEOUT));
        join_all(queries).await;
        if let Some(version) = shared.finish_initial_queries() {
            (ports.announce)(version);
        }
        sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(MAX_ROUND_PAUSE_MS);
    }
}

async fn poll(
    shared: &ConfigShared,
    ports: &ConfigPorts,
    clock: Clock,
    mut schedule: PollSchedule,
) {
    let mut due = schedule.due(true, 0);
    let mut was_poller = (ports.is_poller)();
    loop {
        let is_poller = (ports.is_poller)();
        if is_poller != was_poller {
            was_poller = is_poller;
            due = schedule.due(is_poller, fastrand::u64(0..=1_000));
        }
        if clock.now() < due {
            sleep(Duration::from_millis(SCHEDULE_CHECK_MS)).await;
            continue;
        }
        let outcome = poll_once(shared, ports).await;
        shared.metrics.count_poll(outcome);
        schedule.record(outcome, clock.now());
        due = schedule.due(is_poller, fastrand::u64(0..=1_000));
    }
}

async fn poll_once(shared: &ConfigShared, ports: &ConfigPorts) -> PollOutcome {
    match (ports.poll)(shared.version()).await {
        Ok(Some(document)) => {
            if let Some(version) = shared.offer(document, Source::Platform) {
                (ports.announce)(version);
            }
            PollOutcome::Answered
        }
        Ok(None) => PollOutcome::Answered,
        Err(error) => {
            debug!("config: poll failed error={error}");
            PollOutcome::Failed
        }
    }
}

/// Fetches newer versions from peers, one peer at a time. After the first answer the remaining
/// updates are outdated and skipped. If a peer does not answer, the peer of the next update is
/// queried.
async fn fetch_updates(
    shared: &ConfigShared,
    ports: &ConfigPorts,
    mut updates: Receiver<NewerConfig>,
) {
    while let Some(NewerConfig { from, version }) = updates.recv().await {
        if version > shared.highest() {
            query(shared, ports, from, QUERY_TIMEOUT).await;
        }
    }
}

async fn query(shared: &ConfigShared, ports: &ConfigPorts, peer: SocketAddr, time_limit: Duration) {
    let answer = (ports.query_peer)(peer, shared.highest());
    let answer = timeout(time_limit, answer).await;
    let answer = answer.unwrap_or(PeerAnswer::NoAnswer);
    shared.metrics.count_peer_query(&answer);
    match answer {
        PeerAnswer::Newer(document) => {
            if let Some(version) = shared.offer(document, Source::Peer) {
                (ports.announce)(version);
            }
        }
        PeerAnswer::NothingNewer => {}
        PeerAnswer::NoAnswer => debug!("config: peer did not answer peer={peer}"),
    }
}
