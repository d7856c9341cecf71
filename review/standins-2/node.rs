//! The project's own program on one machine, as the platform starts, stops and kills it.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Seen;
use crate::http::ask;
use crate::record::Record;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// The processes that were started here and have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends whatever still runs.
pub fn kill_all() {
    for pid in RUNNING.lock().expect("running").drain(..) {
        // Safety: a process that was started here and not waited for keeps its number.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

fn forget(pid: u32) {
    RUNNING.lock().expect("running").retain(|running| *running != pid);
}

/// The bounds of a deployment, as its site states them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain_ms: u64,
    pub config_ms: u64,
    pub stable_window_ms: u64,
    pub grace_s: u64,
    pub ack_ms: u64,
    pub budget_slack: u64,
    pub memory_mb: u64,
    pub has_tenants: bool,
}

pub struct Machine {
    pub name: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    settings: Mutex<String>,
    folder: PathBuf,
    program: PathBuf,
    child: Mutex<Option<Child>>,
    record: Arc<Record>,
}

/// A machine's place in the deployment.
pub struct Place<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    pub zone: &'a str,
    pub service: &'a str,
    pub app: SocketAddr,
    pub store: SocketAddr,
}

/// Ports that nothing uses, all different.
fn free_ports<const COUNT: usize>(ip: &str) -> [u16; COUNT] {
    let mut held = Vec::new();
    while held.len() < COUNT {
        let tcp = TcpListener::bind((ip, 0)).expect("a free port");
        let port = tcp.local_addr().expect("its address").port();
        if let Ok(udp) = UdpSocket::bind((ip, port)) {
            held.push((tcp, udp, port));
        }
    }
    std::array::from_fn(|index| held[index].2)
}

impl Machine {
    pub fn new(
        place: &Place,
        bounds: &Bounds,
        program: PathBuf,
        folder: PathBuf,
        record: Arc<Record>,
    ) -> Self {
        let ip = place.ip;
        let address = |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().expect("address") };
        let [inbound, outbound, ready, control, first] = free_ports(ip);
        let (inbound, outbound) = (address(inbound), address(outbound));
        let (ready, control) = (address(ready), address(control));
        let quota = match bounds.has_tenants {
            true => {
                ",\"strict_revoke=false\",\"revoke_ms=5000\",\"quota_window_s=5\",\
                 \"quota_overage=0.1\",\"quota_slack=20\""
            }
            false => "",
        };
        let settings = format!(
            r#"node = "{name}"
role = "sidecar"
class = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
port_range = [{first},{last}]
seeds = []
bootstrap = BOOTSTRAP
in_tolerance = false
discovery = "static"
entry = "static"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
bounds = ["seed_lag_s=3","reuse_after_s=2","stable_window_ms={stable}","ack_ms={ack}","catch_up_s=4","drain_ms={drain}","grace_s={grace}","lost_ms=200","config_ms={config}","rollback_slack_ms=250","outer_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","budget_slack={slack}","recover_s=15"{quota}]
app = "{app}"
service = "{service}"
[zones]
zone-a = "r1"
zone-b = "r1"
zone-c = "r1"
[listen]
inbound = "{inbound}"
outbound = "{outbound}"
ready = "{ready}"
control = "{control}"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = {memory}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 8.0
partition_writes_s = 150
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
"#,
            name = place.name,
            zone = place.zone,
            service = place.service,
            app = place.app,
            store = place.store,
            last = first.saturating_add(15),
            stable = bounds.stable_window_ms,
            ack = bounds.ack_ms,
            drain = bounds.drain_ms,
            grace = bounds.grace_s,
            config = bounds.config_ms,
            slack = bounds.budget_slack,
            memory = bounds.memory_mb,
        );
        Self {
            name: place.name.to_owned(),
            outbound,
            control,
            ready,
            settings: Mutex::new(settings),
            folder,
            program,
            child: Mutex::new(None),
            record,
        }
    }

    /// Starts the process. `is_first` is true only when the whole system starts for the first time.
    pub fn start(&self, is_first: bool) {
        let path = self.write_settings(is_first);
        let log = self.folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new(&self.program);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("SASSAFRASGAP_SETTINGS", &path);
        command.stdin(Stdio::null()).stderr(log.try_clone().expect("a log")).stdout(log);
        let child = command.spawn().expect("the program of the deploy file");
        RUNNING.lock().expect("running").push(child.id());
        *self.child.lock().expect("child") = Some(child);
        self.record.line(&format!("{}: process started", self.name));
    }

    fn write_settings(&self, is_first: bool) -> PathBuf {
        let path = self.folder.join(format!("{}.toml", self.name));
        let settings = self.settings.lock().expect("settings");
        let text = settings.replace("BOOTSTRAP", &is_first.to_string());
        fs::write(&path, text).expect("a settings file");
        path
    }

    /// The settings name another service from now on, which SIGHUP tells.
    pub fn change_service(&self, from: &str, to: &str) {
        let (from, to) = (format!("\nservice = \"{from}\""), format!("\nservice = \"{to}\""));
        let mut settings = self.settings.lock().expect("settings");
        *settings = settings.replace(&from, &to);
        drop(settings);
        self.write_settings(false);
        if let Some(child) = self.child.lock().expect("child").as_ref() {
            // Safety: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, SIGHUP) };
        }
        self.record.line(&format!("{}: settings file changed to{to}, SIGHUP", self.name).replace('\n', " "));
    }

    /// SIGKILL.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("child").take() {
            let _ = child.kill();
            forget(child.id());
            let _ = child.wait();
            self.record.line(&format!("{}: process killed", self.name));
        }
    }

    /// SIGTERM, and SIGKILL after `grace`. Returns when the process has ended.
    pub fn terminate(&self, grace: Duration) {
        let Some(mut child) = self.child.lock().expect("child").take() else {
            return;
        };
        // Safety: the process was started here and has not been waited for.
        unsafe { kill(child.id() as i32, SIGTERM) };
        let sent = Instant::now();
        self.record.line(&format!("{}: SIGTERM", self.name));
        while sent.elapsed() < grace {
            if let Ok(Some(_)) = child.try_wait() {
                forget(child.id());
                self.record.line(&format!(
                    "{}: process has ended by itself, {} ms after SIGTERM",
                    self.name,
                    sent.elapsed().as_millis()
                ));
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ = child.kill();
        forget(child.id());
        let _ = child.wait();
        self.record.line(&format!("{}: SIGKILL after grace_s", self.name));
    }

    pub fn is_ready(&self) -> bool {
        let head = format!("GET /-/readiness HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        ask(self.ready, &head, b"", Duration::from_secs(1)) == Seen::Answer(200, false)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
