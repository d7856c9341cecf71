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

/// What the fakes answer and what they were asked; changed while the task runs.
#[derive(Default)]
struct World {
    peers: FastMap<SocketAddr, Peer>,
    /// `None` is a platform that is down.
    platform: Option<u64>,
    polls: u32,
    asks: u32,
    announced: Vec<u64>,
    is_poller: bool,
}

struct Running {
    world: Arc<Mutex<World>>,
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

fn ports(world: &Arc<Mutex<World>>) -> ConfigPorts {
    let (polled, asked, poller, first, told) = (
        world.clone(),
        world.clone(),
        world.clone(),
        world.clone(),
        world.clone(),
    );
    ConfigPorts {
        poll: Arc::new(move |above| {
            let mut world = polled.lock().unwrap();
            world.polls += 1;
            let answer = match world.platform {
                Some(version) => Ok((version > above).then(|| document(version))),
                None => Err(ConfigError::Platform(PlatformError::Unavailable)),
            };
            ready(answer).boxed()
        }),
        query_peer: Arc::new(move |peer, above| {
            let mut world = asked.lock().unwrap();
            world.asks += 1;
            answer(world.peers.get(&peer).copied(), above).boxed()
        }),
        is_poller: Arc::new(move || poller.lock().unwrap().is_poller),
        initial_peers: Arc::new(move || {
            let mut peers: Vec<_> = first.lock().unwrap().peers.keys().copied().collect();
            peers.sort_unstable();
            peers
        }),
        announce: Arc::new(move |version| told.lock().unwrap().announced.push(version)),
    }
}

fn start(world: World) -> Running {
    let world = Arc::new(Mutex::new(world));
    let in_force = Arc::new(Published::from_pointee(None));
    let metrics = ConfigMetrics::new(&Registry::new()).unwrap();
    let (shared, updates) = ConfigShared::new(in_force.clone(), metrics);
    let task = ConfigTask {
        shared: shared.clone(),
        updates,
        ports: ports(&world),
        clock: Clock::new(),
        poll_ms: 50,
    };
    Running {
        world,
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
        self.world.lock().unwrap().announced.clone()
    }
}

fn peers(list: &[(u16, Peer)]) -> FastMap<SocketAddr, Peer> {
    list.iter()
        .map(|(port, peer)| (address(*port), *peer))
        .collect()
}

// What a user would see: after a restart a node serves by an old preset for a moment.
// The platform is down; the peer that is behind answers first, the others some time later, one
// never. Cause: the first answer was applied.
#[tokio::test]
async fn a_restart_with_the_platform_down_applies_only_the_highest_answer() {
    let running = start(World {
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
        ..World::default()
    });
    running.wait_for(5).await;
    assert_eq!(running.announced(), [5], "3 was never in force");
    let in_force = running.in_force.load();
    assert_eq!(in_force.as_ref().as_ref().map(|held| held.version), Some(5));
}

#[tokio::test]
async fn nothing_is_in_force_while_nobody_knows_anything() {
    let running = start(World {
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
        ..World::default()
    });
    sleep(Duration::from_millis(700)).await;
    assert!(running.in_force.load().is_none());
    let news = (
        address(1),
        Peer::Holds {
            version: 1,
            after_ms: 0,
        },
    );
    running.world.lock().unwrap().peers.insert(news.0, news.1);
    running.wait_for(1).await;
}

#[tokio::test]
async fn a_poller_takes_a_change_from_the_platform_and_tells_the_others() {
    let running = start(World {
        platform: Some(1),
        is_poller: true,
        ..World::default()
    });
    running.wait_for(1).await;
    running.world.lock().unwrap().platform = Some(2);
    running.wait_for(2).await;
    assert_eq!(running.announced(), [1, 2]);
}

// What a user would see: a switch takes seconds at some nodes.
// The first peer that told of the new version has gone silent; another told as well. Cause: the
// node waits for the first one for as long as a call may take.
#[tokio::test]
async fn a_silent_peer_does_not_hold_up_the_news() {
    let running = start(World {
        platform: Some(1),
        ..World::default()
    });
    running.wait_for(1).await;
    let telling = [
        (1, Peer::Silent),
        (
            2,
            Peer::Holds {
                version: 2,
                after_ms: 0,
            },
        ),
    ];
    running.world.lock().unwrap().peers = peers(&telling);
    running.shared.record_peer_version(address(1), 2);
    running.shared.record_peer_version(address(2), 2);
    running.wait_for(2).await;
    assert_eq!(running.world.lock().unwrap().asks, 2);
}

#[tokio::test]
async fn news_of_what_is_held_costs_no_message() {
    let running = start(World {
        platform: Some(7),
        peers: peers(&[(
            1,
            Peer::Holds {
                version: 7,
                after_ms: 0,
            },
        )]),
        ..World::default()
    });
    running.wait_for(7).await;
    sleep(Duration::from_millis(50)).await;
    let asks = running.world.lock().unwrap().asks;
    for _ in 0..1_000 {
        running.shared.record_peer_version(address(1), 7);
        running.shared.record_peer_version(address(1), 6);
    }
    let news = (
        address(1),
        Peer::Holds {
            version: 8,
            after_ms: 0,
        },
    );
    running.world.lock().unwrap().peers.insert(news.0, news.1);
    running.shared.record_peer_version(address(1), 8);
    running.wait_for(8).await;
    assert_eq!(running.world.lock().unwrap().asks, asks + 1);
}

// What a user would see: each switch makes every node send many messages.
// All its peers tell a node of the new version at the same moment. Cause: it asks each of them.
#[tokio::test]
async fn many_peers_that_tell_the_same_are_asked_once() {
    let running = start(World {
        platform: Some(1),
        ..World::default()
    });
    running.wait_for(1).await;
    let telling: Vec<(u16, Peer)> = (1..20)
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
    running.world.lock().unwrap().peers = peers(&telling);
    for (port, _) in telling {
        running.shared.record_peer_version(address(port), 2);
    }
    running.wait_for(2).await;
    sleep(Duration::from_millis(100)).await;
    assert_eq!(running.world.lock().unwrap().asks, 1);
}

// What a user would see: the platform, just back, is met by a storm of reads and stays slow.
// It was down for a while and all nodes polled it again and again. Cause: no back-off, or every
// node polls.
#[tokio::test]
async fn polls_back_off_while_the_platform_is_down_and_only_pollers_poll() {
    let poller = start(World {
        is_poller: true,
        ..World::default()
    });
    let other = start(World {
        platform: Some(1),
        ..World::default()
    });
    sleep(Duration::from_millis(1_500)).await;
    let polls = poller.world.lock().unwrap().polls;
    assert!(
        (3..=8).contains(&polls),
        "{polls} instead of some 30 without back-off"
    );
    assert_eq!(other.world.lock().unwrap().polls, 1, "the one at the start");
}
