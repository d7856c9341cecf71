//! An application target: runs requests in its slots, queues a few more, and reports to the
//! `control` address of its machine.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Message;
use crate::http::Seen;
use crate::http::answer;
use crate::http::ask;
use crate::http::has_closed;
use crate::http::read_message;
use crate::record::Record;

/// A request whose path begins so crashes each target that begins to run it.
const CRASHES: &str = "/order/crashes";
/// How long a target is down then.
const DOWN: Duration = Duration::from_secs(2);
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub caller_service: String,
    pub began: Instant,
    pub ended: Option<Instant>,
}

/// What a run does beside its own work.
#[derive(Clone)]
pub struct Calls {
    pub outbound: SocketAddr,
    pub host: String,
    pub path: String,
    pub count: usize,
}

/// One lifetime of a target.
#[derive(Clone, Debug)]
struct Life {
    id: String,
    born: u64,
    sequence: u64,
    is_leaving: bool,
    is_up: bool,
    number: u64,
}

struct State {
    life: Life,
    busy: usize,
    runs: Vec<Run>,
    connections: HashMap<u64, TcpStream>,
    next_connection: u64,
    work: Duration,
    calls: Option<Calls>,
    /// What clients of its own calls have seen.
    seen_by_calls: Vec<(String, Seen, Instant)>,
}

pub struct Target {
    pub name: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    slots: usize,
    says_born: bool,
    control: Mutex<Option<SocketAddr>>,
    state: Mutex<State>,
    freed: Condvar,
    record: Arc<Record>,
}

/// A report that was sent and lies on the way.
#[derive(Clone, Debug)]
pub struct Held {
    id: String,
    body: String,
    what: String,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Target {
    pub fn start(
        ip: &str,
        name: &str,
        service: &str,
        zone: &str,
        slots: usize,
        says_born: bool,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let free = SocketAddr::new(ip.parse().expect("an address"), 0);
        Self::start_on(free, name, service, zone, slots, says_born, record)
    }

    /// A target at an address that another one may have had.
    pub fn start_on(
        address: SocketAddr,
        name: &str,
        service: &str,
        zone: &str,
        slots: usize,
        says_born: bool,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a port for a target");
        let address = listener.local_addr().expect("its address");
        let target = Arc::new(Self {
            name: name.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            says_born,
            control: Mutex::new(None),
            state: Mutex::new(State {
                life: Life {
                    id: format!("i-{name}"),
                    born: unix_ms(),
                    sequence: 0,
                    is_leaving: false,
                    is_up: true,
                    number: 1,
                },
                busy: 0,
                runs: Vec::new(),
                connections: HashMap::new(),
                next_connection: 0,
                work: Duration::from_millis(40),
                calls: None,
                seen_by_calls: Vec::new(),
            }),
            freed: Condvar::new(),
            record,
        });
        let serving = target.clone();
        std::thread::spawn(move || serving.accept(listener));
        target
    }

    pub fn set_work(&self, work: Duration) {
        self.lock().work = work;
    }

    pub fn set_calls(&self, calls: Calls) {
        self.lock().calls = Some(calls);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    pub fn seen_by_calls(&self) -> Vec<(String, Seen, Instant)> {
        self.lock().seen_by_calls.clone()
    }

    /// Reports every `heartbeat` from now on, at the control address of its machine, until its
    /// life ends or it leaves.
    pub fn report_to(self: &Arc<Self>, control: SocketAddr, heartbeat: Duration) {
        *self.control.lock().expect("control") = Some(control);
        let target = self.clone();
        let number = self.lock().life.number;
        std::thread::spawn(move || {
            loop {
                {
                    let state = target.lock();
                    let life = &state.life;
                    if life.number != number || !life.is_up || life.is_leaving {
                        return;
                    }
                }
                let report = target.next_report();
                target.deliver(&report);
                std::thread::sleep(heartbeat);
            }
        });
    }

    /// The next liveness report, not sent yet.
    pub fn next_report(&self) -> Held {
        let mut state = self.lock();
        state.life.sequence += 1;
        let life = &state.life;
        let born = match self.says_born {
            true => format!(",\"born\":{}", life.born),
            false => String::new(),
        };
        Held {
            id: life.id.clone(),
            body: format!(
                "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\
                 \"status\":{{\"state\":\"ready\",\"seq\":{},\"cold_remaining_ms\":0}}{born}}}",
                self.address, self.service, self.zone, self.slots, life.sequence
            ),
            what: format!(
                "PUT id={} life={} seq={} state=ready born={}",
                life.id, life.number, life.sequence, life.born
            ),
        }
    }

    pub fn deliver(&self, report: &Held) -> Seen {
        let seen = self.send("PUT", &report.id, &report.body);
        self.record.line(&format!("{}: report {} -> {seen:?}", self.name, report.what));
        seen
    }

    /// It says that it leaves, without having been `draining` before, and serves on.
    pub fn leave(&self) -> (Seen, Instant) {
        let id = {
            let mut state = self.lock();
            state.life.is_leaving = true;
            state.life.id.clone()
        };
        let seen = self.send("DELETE", &id, "");
        let at = Instant::now();
        self.record.line(&format!("{}: DELETE id={id} -> {seen:?}", self.name));
        (seen, at)
    }

    fn send(&self, method: &str, id: &str, body: &str) -> Seen {
        let control = self.control.lock().expect("control").expect("a control address");
        let head = format!(
            "{method} /-/instances/{id} HTTP/1.1\r\nHost: {control}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        ask(control, &head, body.as_bytes(), Duration::from_secs(1))
    }

    /// Its process ends: all connections close, and nothing is served.
    pub fn end(&self) {
        let mut state = self.lock();
        state.life.is_up = false;
        for stream in state.connections.values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        state.connections.clear();
        drop(state);
        self.freed.notify_all();
        self.record.line(&format!("{}: its process has ended", self.name));
    }

    /// Waits until its port is free for another target. It has ended for good.
    pub fn leave_address(&self) {
        while TcpListener::bind(self.address).is_err() {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// It starts again under the id that it had, and knows nothing of before.
    pub fn start_again(&self) {
        let id = self.lock().life.id.clone();
        self.start_as(&id);
    }

    /// It starts again under this id, and knows nothing of before.
    pub fn start_as(&self, id: &str) {
        let mut state = self.lock();
        let life = &mut state.life;
        life.id = id.to_owned();
        life.born = unix_ms();
        life.sequence = 0;
        life.is_leaving = false;
        life.is_up = true;
        life.number += 1;
        let line = format!("{}: started again, id={} born={}", self.name, life.id, life.born);
        state.busy = 0;
        drop(state);
        self.record.line(&line);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("state")
    }

    /// Accepts connections while its process is up; its port is closed while it is down.
    fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if !self.lock().life.is_up {
                listener = None;
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            let open = listener.get_or_insert_with(|| {
                TcpListener::bind(self.address).expect("the port of a target that starts again")
            });
            let _ = open.set_nonblocking(true);
            let Ok((stream, _)) = open.accept() else {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let mut state = self.lock();
            state.next_connection += 1;
            let number = state.next_connection;
            state.connections.insert(number, stream.try_clone().expect("a stream"));
            drop(state);
            let target = self.clone();
            std::thread::spawn(move || {
                target.serve(stream);
                target.lock().connections.remove(&number);
            });
        }
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_message(&mut stream, false) {
            let Some(told) = self.handle(&request, &stream) else {
                return;
            };
            if stream.write_all(&told).is_err() {
                return;
            }
        }
    }

    /// The answer; `None` if the caller or this life has gone meanwhile.
    fn handle(self: &Arc<Self>, request: &Message, stream: &TcpStream) -> Option<Vec<u8>> {
        let id = request.header("request-id").unwrap_or("").to_owned();
        let life = self.lock().life.clone();
        let own = &life.id;
        if request.path() == "/health" {
            let status = if life.is_leaving { 503 } else { 200 };
            self.record.line(&format!("{}: health asked -> {status}", self.name));
            return Some(answer(status, &format!("Instance-Id: {own}\r\n"), ""));
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != own) {
            let headers = format!("Request-Id: {id}\r\nInstance-Id: {own}\r\n");
            return Some(answer(421, &headers, ""));
        }
        // Waits for a slot; a caller that closes its connection is dropped from the queue.
        let mut state = self.lock();
        while state.busy >= self.slots {
            if has_closed(stream) || state.life.number != life.number || !state.life.is_up {
                return None;
            }
            let step = Duration::from_millis(20);
            state = self.freed.wait_timeout(state, step).expect("state").0;
        }
        state.busy += 1;
        let index = state.runs.len();
        let began = Instant::now();
        state.runs.push(Run {
            id: id.clone(),
            caller_service: request.header("caller-service").unwrap_or("-").to_owned(),
            began,
            ended: None,
        });
        let (work, calls) = (state.work, state.calls.clone());
        drop(state);
        self.record.line(&format!(
            "{}: runs request id={id} from caller-service={}",
            self.name,
            request.header("caller-service").unwrap_or("-")
        ));
        if request.path().starts_with(CRASHES) {
            self.record.line(&format!("{}: request id={id} crashes it", self.name));
            self.end();
            let target = self.clone();
            let number = life.number + 1;
            std::thread::spawn(move || {
                std::thread::sleep(DOWN);
                target.start_as(&format!("i-{}-{number}", target.name));
                let control = *target.control.lock().expect("control");
                target.report_to(control.expect("a control address"), HEARTBEAT);
            });
            return None;
        }
        let mut failed = false;
        if let Some(calls) = calls {
            failed = !self.call_all(&id, &calls, request);
        }
        let mut is_gone = false;
        while began.elapsed() < work {
            std::thread::sleep(Duration::from_millis(10));
            let now = self.lock().life.clone();
            if has_closed(stream) || now.number != life.number || !now.is_up {
                is_gone = true;
                break;
            }
        }
        let mut state = self.lock();
        if state.life.number == life.number {
            state.busy = state.busy.saturating_sub(1);
        }
        if is_gone {
            drop(state);
            self.freed.notify_all();
            self.record.line(&format!("{}: request id={id} was broken off at work", self.name));
            return None;
        }
        state.runs[index].ended = Some(Instant::now());
        drop(state);
        self.freed.notify_all();
        let status = if failed { 500 } else { 200 };
        let headers = format!("Request-Id: {id}\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n");
        Some(answer(status, &headers, "done"))
    }

    /// Makes the calls of one run, all at once. Returns whether all succeeded.
    fn call_all(self: &Arc<Self>, id: &str, calls: &Calls, request: &Message) -> bool {
        let deadline = request.header("deadline-ms").unwrap_or("6000").to_owned();
        let callers: Vec<_> = (0..calls.count)
            .map(|number| {
                let (target, calls) = (self.clone(), calls.clone());
                let (id, deadline) = (format!("{id}.{number}"), deadline.clone());
                std::thread::spawn(move || {
                    let head = format!(
                        "GET {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline}\r\n\r\n",
                        calls.path, calls.host
                    );
                    let wait = Duration::from_millis(deadline.parse().unwrap_or(6_000) + 500);
                    target.record.line(&format!("{}: call id={id} sent", target.name));
                    let seen = ask(calls.outbound, &head, b"", wait);
                    target.record.line(&format!("{}: call id={id} -> {seen:?}", target.name));
                    let is_good = seen == Seen::Answer(200, true);
                    target.lock().seen_by_calls.push((id, seen, Instant::now()));
                    is_good
                })
            })
            .collect();
        let results: Vec<bool> = callers.into_iter().map(|c| c.join().unwrap_or(false)).collect();
        results.into_iter().all(|is_good| is_good)
    }
}
