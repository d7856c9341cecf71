//! Keyed calls through a mesh of real processes whose owners are paused, killed, stopped or cut
//! off, and whose table is down: no key runs twice, and what is said not to have run has not.

mod mesh_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use sassafrasgap::core::Name;
use sassafrasgap::mesh::Mesh;
use sassafrasgap::mesh::MeshPlan;
use sassafrasgap::mesh::Web;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

use mesh_support::DOMAINS;
use mesh_support::PRESET;
use mesh_support::menus_plan;
use mesh_support::start;

const WINDOW_MS: u64 = 8_000;
const GRACE_MS: u64 = WINDOW_MS * 3 / 2;
const LEASE_MS: u64 = 2_000;
/// Membership notices, and a take-over is announced, waited for and written.
const TAKEN_OVER_MS: u64 = 12_000 + 3 * LEASE_MS;
const CALLERS: usize = 6;
const PAUSE_BETWEEN_KEYS: Duration = Duration::from_millis(20);

/// What a caller heard of one key.
#[derive(Clone, Debug)]
struct Heard {
    key: String,
    first_sent: Instant,
    ran: bool,
    /// The last word of each sending that was not answered.
    words: Vec<String>,
}

fn plan() -> MeshPlan {
    let mut plan = menus_plan();
    let window = format!("resend_window_ms: {WINDOW_MS}");
    plan.presets = vec![PRESET.replace("resend_window_ms: 10000", &window)];
    plan.node_change = Box::new(|settings| {
        settings.lease_ms = LEASE_MS;
        settings.drain_timeout_ms = 5_000;
    });
    plan
}

/// Starts the mesh and waits until a key runs in every slot.
async fn settled() -> Mesh {
    let mesh = start(plan()).await;
    for key in 0..200 {
        let story = send_until_it_ran(&mesh.web, &mesh.entries(), 0, format!("first-{key}")).await;
        assert!(story.ran, "{story:?}");
    }
    mesh
}

/// Sends a key, and again through the next entry, until it ran or the resend window is over.
async fn send_until_it_ran(web: &Web, entries: &[SocketAddr], entry: usize, key: String) -> Heard {
    let mut heard = Heard {
        first_sent: Instant::now(),
        key,
        ran: false,
        words: Vec::new(),
    };
    let mut sending = 0;
    while heard.first_sent.elapsed() < Duration::from_millis(WINDOW_MS * 3 / 4) {
        let to = entries[(entry + sending) % entries.len()];
        sending += 1;
        let uri = format!("http://{to}/menus/orders/{}", heard.key);
        let headers = [("idempotency-key", heard.key.as_str())];
        let body = Bytes::from_static(b"soup");
        let word = match web.send(Method::POST, &uri, &headers, body).await {
            Ok(answer) if answer.header("sassafrasgap-outcome") == "ran" => {
                heard.ran = true;
                return heard;
            }
            Ok(answer) => {
                let outcome = answer.header("sassafrasgap-outcome");
                format!("{outcome} {}", answer.header("sassafrasgap-reason"))
            }
            Err(_) => "lost".to_owned(),
        };
        heard.words.push(word);
        sleep(Duration::from_millis(250)).await;
    }
    heard
}

/// Callers that send new keys all along.
struct Load {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Vec<Heard>>,
}

impl Load {
    fn start(mesh: &Mesh) -> Self {
        Self::start_at("key", mesh.entries())
    }

    fn start_at(name: &'static str, entries: Vec<SocketAddr>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let (stop, entries) = (stop.clone(), entries.clone());
            callers.spawn(async move {
                let web = Web::with_wait(3_000);
                let mut stories = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let key = format!("{name}-{caller}-{}", stories.len());
                    let entry = caller % entries.len();
                    stories.push(send_until_it_ran(&web, &entries, entry, key).await);
                    sleep(PAUSE_BETWEEN_KEYS).await;
                }
                stories
            });
        }
        Self { stop, callers }
    }

    async fn stop(mut self) -> Vec<Heard> {
        self.stop.store(true, Ordering::Relaxed);
        let mut stories = Vec::new();
        while let Some(of_caller) = self.callers.join_next().await {
            stories.extend(of_caller.expect("a caller"));
        }
        stories
    }
}

/// No key ran twice; a key that heard nothing but `not_run` did not run.
fn check(mesh: &Mesh, stories: &[Heard]) {
    let runs = mesh.runs();
    assert!(runs.duplicates().is_empty(), "{:?}", runs.duplicates());
    for story in stories {
        let path = format!("/orders/{}", story.key);
        let starts = runs.starts_of("menus", &path);
        let only_not_run = story.words.iter().all(|word| word.starts_with("not_run"));
        assert!(!story.ran || starts == 1, "{story:?}");
        assert!(story.ran || !only_not_run || starts == 0, "{story:?}");
    }
}

fn report(what: &str, stories: &[Heard], from: Instant, to: Instant) -> usize {
    let in_span = |story: &&Heard| story.first_sent >= from && story.first_sent < to;
    let stories: Vec<&Heard> = stories.iter().filter(in_span).collect();
    let ran = stories.iter().filter(|story| story.ran).count();
    let percent = ran * 100 / stories.len().max(1);
    println!(
        "{what}: {ran} of {} keys completed, {percent}%",
        stories.len()
    );
    let mut words: Vec<&String> = stories.iter().flat_map(|story| &story.words).collect();
    words.sort();
    for group in words.chunk_by(|a, b| a == b) {
        println!("  {} x {}", group.len(), group[0]);
    }
    percent
}

/// An owner's process is paused while calls wait, run and arrive; others take its slots over; it
/// goes on and dispatches what it had accepted. Resends came through other entries meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_runs_nothing_twice() {
    let mesh = settled().await;
    let load = Load::start(&mesh);
    for node in ["menus-1", "menus-2"] {
        sleep(Duration::from_millis(1_000)).await;
        mesh.target(node).node.pause().expect("paused");
        sleep(Duration::from_millis(3 * LEASE_MS + 2_000)).await;
        mesh.target(node).node.resume().expect("resumed");
        sleep(Duration::from_millis(2_000)).await;
    }
    let stories = load.stop().await;
    report(
        "owners paused",
        &stories,
        stories[0].first_sent,
        Instant::now(),
    );
    check(&mesh, &stories);
}

/// A VM dies with what it ran and comes back knowing nothing. Callers send their keys again.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_that_forgets_everything_runs_nothing_twice() {
    let mut mesh = settled().await;
    let load = Load::start(&mesh);
    for node in ["menus-1", "menus-3"] {
        sleep(Duration::from_millis(1_000)).await;
        mesh.target_mut(node).kill();
        sleep(Duration::from_millis(300)).await;
        mesh.target_mut(node).restart().expect("restarted");
        sleep(Duration::from_millis(3_000)).await;
    }
    sleep(Duration::from_millis(GRACE_MS)).await;
    let after_grace = Instant::now();
    sleep(Duration::from_millis(2_000)).await;
    let end = Instant::now();
    let stories = load.stop().await;
    report("owners killed", &stories, stories[0].first_sent, end);
    let percent = report("after the grace period", &stories, after_grace, end);
    check(&mesh, &stories);
    assert!(percent >= 99, "{percent}%");
}

/// The platform is down for ten leases. Owners go on by each other's promises.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_complete_while_the_platform_is_down() {
    let mesh = settled().await;
    let load = Load::start(&mesh);
    let down = json!({ "down": true });
    mesh.add_platform_fault(&down).await.expect("a fault");
    let from = Instant::now();
    sleep(Duration::from_millis(10 * LEASE_MS)).await;
    let to = Instant::now();
    mesh.heal().await.expect("healed");
    sleep(Duration::from_millis(1_000)).await;
    let stories = load.stop().await;
    let percent = report("platform down for 20 s", &stories, from, to);
    check(&mesh, &stories);
    assert!(percent >= 90, "{percent}%");
}

/// A node is stopped as planned under load: its ledger is handed over, and every key completes.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_keys_over() {
    let mut mesh = settled().await;
    let load = Load::start(&mesh);
    sleep(Duration::from_millis(1_000)).await;
    let stopping = mesh.target_mut("menus-2");
    stopping.node.terminate().expect("a signal");
    let status = stopping.node.wait_exit(20_000).await.expect("it stops");
    assert!(status.success(), "{status}");
    sleep(Duration::from_millis(1_000)).await;
    let stories = load.stop().await;
    let from = stories[0].first_sent;
    let percent = report("a planned stop", &stories, from, Instant::now());
    check(&mesh, &stories);
    assert!(percent >= 99, "{percent}%");
    let in_grace = |story: &Heard| story.words.iter().any(|word| word.contains("grace"));
    assert!(
        !stories.iter().any(in_grace),
        "nothing is in a grace period"
    );
}

/// A domain is cut off from the others and from the platform. Inside, keys of its own slots
/// complete until the lease is over, the rest is refused; outside, its slots are taken over.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_cut_off_runs_nothing_twice() {
    let mesh = settled().await;
    let entries = mesh.entries();
    let inside = Load::start_at("inside", entries[2..].to_vec());
    let outside = Load::start_at("outside", entries[..2].to_vec());
    let cut = Name::from(DOMAINS[2]);
    mesh.cut_off(&cut, true).await.expect("cut off");
    let from = Instant::now();
    sleep(Duration::from_millis(TAKEN_OVER_MS + GRACE_MS)).await;
    let later = Instant::now();
    sleep(Duration::from_millis(3_000)).await;
    let to = Instant::now();
    mesh.heal().await.expect("healed");
    sleep(Duration::from_millis(8_000)).await;
    let healed = Instant::now();
    sleep(Duration::from_millis(2_000)).await;
    let end = Instant::now();
    let inside = inside.stop().await;
    let outside = outside.stop().await;
    report("inside a domain cut off", &inside, from, to);
    let lapsed = from + Duration::from_millis(2 * LEASE_MS);
    report("inside, after the lease", &inside, lapsed, to);
    report(
        "outside, until the grace period is over",
        &outside,
        from,
        later,
    );
    let after_grace = report("outside, after the grace period", &outside, later, to);
    let after_healing = report("inside, after healing", &inside, healed, end);
    check(&mesh, &inside);
    check(&mesh, &outside);
    assert!(after_grace >= 99, "{after_grace}%");
    assert!(after_healing >= 99, "{after_healing}%");
}
