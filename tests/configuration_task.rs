//! The task that keeps the configuration up to date, over fake peers and a fake platform.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures::FutureExt;
use futures::future::pending;
use futures::future::ready;
use prometheus::Registry;
use sassafrasgap::configuration::ConfigMetrics;
use sassafrasgap::configuration::ConfigPorts;
use sassafrasgap::configuration::ConfigShared;
use sassafrasgap::configuration::ConfigTask;
use sassafrasgap::configuration::PeerAnswer;
use sassafrasgap::core::Clock;
use sassafrasgap::core::FastMap;
use sassafrasgap::core::Published;
use sassafrasgap::errors::ConfigError;
use sassafrasgap::errors::PlatformError;
use sassafrasgap::preset::InForce;
use support::presets::document;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How a fake peer behaves.
#[derive(Clone, Copy)]
enum Peer {
    Holds { version: u64, after_ms: u64 },
    Silent,
}

/// What the fakes answer, and the calls that they received. Tests change it while the task runs.
#[derive(Default)]
struct FakeState {
    peers: FastMap<SocketAddr, Peer>,
    /// `None` is a platform that is down.
    platform: Option<u64>,
    polls: u32,
    queries: u32,
    announced: Vec<u64>,
    is_poller: bool,
}

struct Running {
    state: Arc<Mutex<FakeState>>,
    shared: Arc<ConfigShared>,
    in_force: Arc<Published<Option<InForce>>>,
    task: JoinHandle<()>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

async fn answer(peer: Option<Peer>, above: u64) -> PeerAnswer {
    match peer {
        Some(Peer::Holds { version, after_ms }) => {
            sleep(Duration::from_millis(after_ms)).await;
            match version > above {
                true => PeerAnswer::Newer(document(version)),
                false => PeerAnswer::NothingNewer,
            }
        }
        Some(Peer::Silent) => pending().await,
        None => PeerAnswer::NoAnswer,
    }
}

fn ports(state: &Arc<Mutex<FakeState>>) -> ConfigPorts {
    let (polled, queried, poller, initial, announcer) = (
        state.clone(),
        state.clone(),
        state.clone(),
        state.clone(),
        state.clone(),
    );
    ConfigPorts {
        poll: Arc::new(move |above| {
            let mut state = polled.lock().unwrap();
            state.polls += 1;
            let answer = match state.platform {
                Some(version) => Ok((version > above).then(|| document(version))),
                None => Err(ConfigError::Platform(PlatformError::Unavailable)),
            };
            ready(answer).boxed()
        }),
        query_peer: Arc::new(move |peer, above| {
            let mut state = queried.lock().unwrap();
            state.queries += 1;
            answer(state.peers.get(&peer).copied(), above).boxed()
        }),
        is_poller: Arc::new(move || poller.lock().unwrap().is_poller),
        initial_peers: Arc::new(move || {
            let mut peers: Vec<_> = initial.lock().unwrap().peers.keys().copied().collect();
            peers.sort_unstable();
            peers
        }),
        announce: Arc::new(move |version| announcer.lock().unwrap().announced.push(version)),
    }
}

fn start(state: FakeState) -> Running {
    let state = Arc::new(Mutex::new(state));
    let in_force = Arc::new(Published::from_pointee(None));
    let metrics = ConfigMetrics::new(&Registry::new()).unwrap();
    let (shared, updates) = ConfigShared::new(in_force.clone(), metrics);
    let task = ConfigTask {
        shared: shared.clone(),
        updates,
        ports: ports(&state),
        clock: Clock::new(),
        poll_ms: 50,
    };
    Running {
        state,
        shared,
        in_force,
        task: tokio::spawn(task.run()),
    }
}

impl Running {
    async fn wait_for(&self, version: u64) {
        for _ in 0..500 {
            if self.shared.version() == version {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("version {} instead of {version}", self.shared.version());
    }

    fn announced(&self) -> Vec<u64> {
        self.state.lock().unwrap().announced.clone()
    }
}

fn peers(list: &[(u16, Peer)]) -> FastMap<SocketAddr, Peer> {
    list.iter()
        .map(|(port, peer)| (address(*port), *peer))
        .collect()
}

// Guards against an old preset in force for a moment after a restart with the platform down: the
// peer that is behind answers first, another later and one never, and the first answer is applied.
#[tokio::test]
async fn a_restart_with_the_platform_down_applies_only_the_highest_answer() {
    let running = start(FakeState {
        peers: peers(&[
            (
                1,
                Peer::Holds {
                    version: 3,
                    after_ms: 0,
                },
            ),
            (
                2,
                Peer::Holds {
                    version: 5,
                    after_ms: 100,
                },
            ),
            (3, Peer::Silent),
        ]),
        ..FakeState::default()
    });
    running.wait_for(5).await;
    assert_eq!(running.announced(), [5], "3 was never in force");
    let in_force = running.in_force.load();
    assert_eq!(in_force.as_ref().as_ref().map(|held| held.version), Some(5));
}

#[tokio::test]
async fn nothing_is_in_force_while_no_peer_knows_a_version() {
    let running = start(FakeState {
        peers: peers(&[
            (
                1,
                Peer::Holds {
                    version: 0,
                    after_ms: 0,
                },
            ),
            (2, Peer::Silent),
        ]),
        ..FakeState::default()
    });
    sleep(Duration::from_millis(700)).await;
    assert!(running.in_force.load().is_none());
    let new_peer = (
        address(1),
        Peer::Holds {
            version: 1,
            after_ms: 0,
        },
    );
    running
        .state
        .lock()
        .unwrap()
        .peers
        .insert(new_peer.0, new_peer.1);
    running.wait_for(1).await;
}

#[tokio::test]
async fn a_poller_takes_a_change_from_the_platform_and_announces_it() {
    let running = start(FakeState {
        platform: Some(1),
        is_poller: true,
        ..FakeState::default()
    });
    running.wait_for(1).await;
    running.state.lock().unwrap().platform = Some(2);
    running.wait_for(2).await;
    assert_eq!(running.announced(), [1, 2]);
}

// Guards against a switch that takes seconds at some nodes. Two peers announce the new version and
// the first does not answer; the node waits for it as long as a call may take.
#[tokio::test]
async fn a_peer_that_does_not_answer_does_not_delay_an_update() {
    let running = start(FakeState {
        platform: Some(1),
        ..FakeState::default()
    });
    running.wait_for(1).await;
    let announcing = [
        (1, Peer::Silent),
        (
            2,
            Peer::Holds {
                version: 2,
                after_ms: 0,
            },
        ),
    ];
    running.state.lock().unwrap().peers = peers(&announcing);
    running.shared.record_peer_version(address(1), 2);
    running.shared.record_peer_version(address(2), 2);
    running.wait_for(2).await;
    assert_eq!(running.state.lock().unwrap().queries, 2);
}

#[tokio::test]
async fn an_update_of_a_held_version_costs_no_message() {
    let running = start(FakeState {
        platform: Some(7),
        peers: peers(&[(
            1,
            Peer::Holds {
                version: 7,
                after_ms: 0,
            },
        )]),
        ..FakeState::default()
    });
    running.wait_for(7).await;
    sleep(Duration::from_millis(50)).await;
    let queries = running.state.lock().unwrap().queries;
    for _ in 0..1_000 {
        running.shared.record_peer_version(address(1), 7);
        running.shared.record_peer_version(address(1), 6);
    }
    let new_peer = (
        address(1),
        Peer::Holds {
            version: 8,
            after_ms: 0,
        },
    );
    running
        .state
        .lock()
        .unwrap()
        .peers
        .insert(new_peer.0, new_peer.1);
    running.shared.record_peer_version(address(1), 8);
    running.wait_for(8).await;
    assert_eq!(running.state.lock().unwrap().queries, queries + 1);
}

// Guards against many messages of every node at each switch: all peers of a node announce the new
// version at the same time, and the node queries each of them.
#[tokio::test]
async fn many_peers_with_the_same_version_are_queried_once() {
    let running = start(FakeState {
        platform: Some(1),
        ..FakeState::default()
    });
    running.wait_for(1).await;
    let announcing: Vec<(u16, Peer)> = (1..20)
        .map(|port| {
            (
                port,
                Peer::Holds {
                    version: 2,
                    after_ms: 20,
                },
            )
        })
        .collect();
    running.state.lock().unwrap().peers = peers(&announcing);
    for (port, _) in announcing {
        running.shared.record_peer_version(address(port), 2);
    }
    running.wait_for(2).await;
    sleep(Duration::from_millis(100)).await;
    assert_eq!(running.state.lock().unwrap().queries, 1);
}

// Guards against a platform that stays slow after an outage because of too many polls: there is no
// back-off, or every node polls.
#[tokio::test]
async fn polls_back_off_while_the_platform_is_down_and_only_pollers_poll() {
    let poller = start(FakeState {
        is_poller: true,
        ..FakeState::default()
    });
    let other = start(FakeState {
        platform: Some(1),
        ..FakeState::default()
    });
    sleep(Duration::from_millis(1_500)).await;
    let polls = poller.state.lock().unwrap().polls;
    assert!(
        (3..=8).contains(&polls),
        "{polls} instead of some 30 without back-off"
    );
    assert_eq!(other.state.lock().unwrap().polls, 1, "the one at the start");
}
