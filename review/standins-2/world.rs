//! A small deployment: a store, machines with their targets, and clients.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::http::Seen;
use crate::http::ask;
use crate::node::Bounds;
use crate::node::Machine;
use crate::node::Place;
use crate::record::Record;
use crate::store::Door;
use crate::store::Store;
use crate::target::Target;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/sassafrasgap-sidecar";
pub const HOST: &str = "hulo84.example";
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// One machine with its target.
pub struct Spot {
    pub machine: Arc<Machine>,
    pub target: Arc<Target>,
    pub door: Door,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub spots: Vec<Spot>,
    folder: PathBuf,
}

/// What is placed on one machine.
pub struct Plan {
    pub name: &'static str,
    pub zone: &'static str,
    pub service: &'static str,
    pub slots: usize,
}

impl World {
    /// Starts all machines, and waits until each is ready and a request through each succeeds.
    pub fn start(
        folder: &Path,
        bounds: &Bounds,
        plans: &[Plan],
        desired: &str,
        says_born: bool,
    ) -> Option<Self> {
        let record = Arc::new(Record::new(&folder.join("record.txt")));
        let temporary = std::env::temp_dir().join(format!("sassafrasgap-review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).ok()?;
        let store = Store::new(record.clone());
        let mut world = Self {
            record: record.clone(),
            store: store.clone(),
            spots: Vec::new(),
            folder: temporary.clone(),
        };
        let network = std::process::id() % 200 + 20;
        for (index, plan) in plans.iter().enumerate() {
            let ip = format!("127.77.{network}.{}", index + 1);
            let door = store.door(&ip, plan.name);
            let name = plan.name.replace("machine", "target");
            let target = Target::start(
                &ip,
                &name,
                plan.service,
                plan.zone,
                plan.slots,
                says_born,
                record.clone(),
            );
            let place = Place {
                name: plan.name,
                ip: &ip,
                zone: plan.zone,
                service: plan.service,
                app: target.address,
                store: door.address,
            };
            let machine = Machine::new(
                &place,
                bounds,
                PathBuf::from(PROGRAM),
                temporary.clone(),
                record.clone(),
            );
            let machine = Arc::new(machine);
            world.spots.push(Spot {
                machine,
                target,
                door,
            });
        }
        store.write_desired(desired);
        for spot in &world.spots {
            spot.machine.start(true);
        }
        for spot in &world.spots {
            let is_ready = wait_until(Duration::from_secs(15), || spot.machine.is_ready());
            if !is_ready {
                record.line(&format!("{}: never ready", spot.machine.name));
                return None;
            }
            spot.target.report_to(spot.machine.control, HEARTBEAT);
        }
        Some(world)
    }

    /// Waits until a request through a machine succeeds.
    pub fn wait_for(&self, outbound: SocketAddr, path: &str) -> bool {
        let mut number = 0;
        wait_until(Duration::from_secs(20), || {
            number += 1;
            let seen = self.request(outbound, "GET", path, &format!("warm-{number}"), 3_000, "");
            seen == Seen::Answer(200, true)
        })
    }

    /// Ordinary reads go on until the process ends, one after the other.
    pub fn read_on(&self, outbound: SocketAddr, path: &'static str, pause: Duration) {
        let record = self.record.clone();
        std::thread::spawn(move || {
            for number in 1_u64.. {
                let id = format!("read-{number}");
                request(&record, outbound, "GET", path, &id, 1_000, "");
                std::thread::sleep(pause);
            }
        });
    }

    /// Requests one after the other, then some at once, during which the target's process ends.
    /// Returns what their clients have seen.
    pub fn ask_on_until_end(
        &self,
        target: &Target,
        outbound: SocketAddr,
        path: &str,
        prefix: &str,
        deadline_ms: u64,
    ) -> HashMap<String, Seen> {
        let mut seen = HashMap::new();
        for number in 0..30 {
            let id = format!("{prefix}-{number}");
            let answer = self.request(outbound, "POST", path, &id, deadline_ms, "");
            seen.insert(id, answer);
            std::thread::sleep(Duration::from_millis(10));
        }
        target.set_work(Duration::from_millis(800));
        let clients: Vec<_> = (30..42)
            .map(|number| {
                let (record, path) = (self.record.clone(), path.to_owned());
                let id = format!("{prefix}-{number}");
                std::thread::spawn(move || {
                    let answer = request(&record, outbound, "POST", &path, &id, deadline_ms, "");
                    (id, answer)
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(400));
        target.end();
        seen.extend(clients.into_iter().filter_map(|client| client.join().ok()));
        seen
    }

    /// One client attempt on a new connection.
    pub fn request(
        &self,
        outbound: SocketAddr,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        more: &str,
    ) -> Seen {
        request(&self.record, outbound, method, path, id, deadline_ms, more)
    }
}

/// One client attempt on a new connection. The client waits for half a second longer than its time
/// budget.
pub fn request(
    record: &Record,
    outbound: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
) -> Seen {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\n{more}Content-Length: 0\r\n\r\n"
    );
    record.line(&format!("client: {method} {path} id={id} sent"));
    let seen = ask(outbound, &head, b"", Duration::from_millis(deadline_ms + 500));
    record.line(&format!("client: {method} {path} id={id} -> {seen:?}"));
    seen
}

impl Drop for World {
    fn drop(&mut self) {
        for spot in &self.spots {
            spot.machine.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn wait_until(longest: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < longest {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// One route of a desired state.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64, aim_ms: u64) -> String {
    format!(
        "\"{name}\":{{\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"route_type\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"aim_ms\":{aim_ms},\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":2}}"
    )
}

/// A desired state with these routes.
pub fn desired(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "\"{service}\":{{\"health_check_path\":\"/health\",\"max_connections\":500,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"routes\":{{{}}},\"services\":{{{}}},\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
