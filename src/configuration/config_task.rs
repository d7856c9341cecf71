//! Keeps the configuration in force up to date: asks peers at the start, polls the platform, and
//! fetches from peers what gossip and answers tell of.

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

/// How often the schedule is looked at: whether this node polls may change at any moment.
const LOOK_MS: u64 = 50;
/// How long a peer may take to answer. The next one that has the updates is asked after that, so
/// that one silent connection does not hold the change up.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a peer may take at the start: longer, since an answer that comes too late to count may
/// be the one that holds the highest version.
const FIRST_ASK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How many peers are asked at the start, in one round: enough that nodes of the own failure
/// domain are among the seeds asked, whose domains are not known yet.
const FIRST_PEERS: usize = 32;
/// The pause after the first round of questions at the start; it doubles with each round.
const ROUND_PAUSE_MS: u64 = 200;
/// The longest pause. Before anything was ever in force, with the platform down, all nodes ask for
/// as long as that lasts; asking on without growing pauses took 8 KB/s of each node.
const LONGEST_ROUND_PAUSE_MS: u64 = 12_800;

/// Runs on the control thread.
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
        let fetches = fetch_news(&shared, &ports, updates);
        tokio::join!(start, polls, fetches);
    }
}

/// Asks until something is in force; the platform's answer ends it as well. It does not end at
/// the first answer: see [`crate::configuration::ConfigState`].
async fn query_initial_peers(shared: &ConfigShared, ports: &ConfigPorts) {
    let mut pause_ms = ROUND_PAUSE_MS;
    while shared.version() == 0 {
        let mut peers = (ports.initial_peers)();
        peers.truncate(FIRST_PEERS);
        let asked = peers
            .into_iter()
            .map(|peer| ask(shared, ports, peer, FIRST_ASK_TIMEOUT));
        join_all(asked).await;
        if let Some(version) = shared.finish_initial_queries() {
            (ports.announce)(version);
        }
        sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(LONGEST_ROUND_PAUSE_MS);
    }
}

async fn poll(shared: &ConfigShared, ports: &ConfigPorts, clock: Clock, mut plan: PollSchedule) {
    let mut due = plan.due(true, 0);
    let mut was_poller = (ports.is_poller)();
    loop {
        let is_poller = (ports.is_poller)();
        if is_poller != was_poller {
            was_poller = is_poller;
            due = plan.due(is_poller, fastrand::u64(0..=1_000));
        }
        if clock.now() < due {
            sleep(Duration::from_millis(LOOK_MS)).await;
            continue;
        }
        let outcome = poll_once(shared, ports).await;
        shared.metrics.count_poll(outcome);
        plan.record(outcome, clock.now());
        due = plan.due(is_poller, fastrand::u64(0..=1_000));
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

/// News are taken one after the other: the first answer makes the rest of them old, and a peer
/// that does not answer is followed by the next one that told.
async fn fetch_news(
    shared: &ConfigShared,
    ports: &ConfigPorts,
    mut updates: Receiver<NewerConfig>,
) {
    while let Some(NewerConfig { from, version }) = updates.recv().await {
        if version > shared.highest() {
            ask(shared, ports, from, ASK_TIMEOUT).await;
        }
    }
}

async fn ask(shared: &ConfigShared, ports: &ConfigPorts, peer: SocketAddr, wait: Duration) {
    let answer = (ports.query_peer)(peer, shared.highest());
    let answer = timeout(wait, answer).await;
    let answer = answer.unwrap_or(PeerAnswer::NoAnswer);
    shared.metrics.count_peer_query(&answer);
    match answer {
        PeerAnswer::Newer(document) => {
            if let Some(version) = shared.offer(document, Source::Peer) {
                (ports.announce)(version);
            }
        }
        PeerAnswer::NothingNewer => {}
        PeerAnswer::NoAnswer => debug!("config: no answer peer={peer}"),
    }
}
