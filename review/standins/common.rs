//! Stand-ins for the cases of this review: the platform's store, backend servers, and the start and
//! end of real node processes. Only the standard library is used.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

// ---------------------------------------------------------------------------------------------
// The record of what was sent, answered and run.

pub struct Record {
    file: Mutex<fs::File>,
    started: Instant,
}

impl Record {
    pub fn open(path: &str) -> Arc<Self> {
        let file = fs::File::create(path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Arc::new(Self { file: Mutex::new(file), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
        println!("{at:8.3} s  {text}");
    }
}

/// The processes that are running.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, removes the scratch folder, and exits.
pub fn finish(code: i32) -> ! {
    for id in RUNNING.lock().unwrap().drain(..) {
        unsafe { kill(id as i32, SIGKILL) };
    }
    let _ = fs::remove_dir_all(scratch_path());
    std::process::exit(code)
}

pub fn cannot_run(why: &str) -> ! {
    println!("the case cannot run: {why}");
    finish(NOT_RUN)
}

/// Whether the disruption is made. `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------
// System calls that the standard library does not offer.

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const u8, len: u32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Sends a signal to a process that this program started.
pub fn signal(child: &Child, number: i32) {
    unsafe { kill(child.id() as i32, number) };
}

/// A connection of a client with a small receive buffer and the segment size of an Ethernet link.
pub fn connect_small(address: SocketAddr, receive_buffer: i32) -> std::io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(v4) = address else { cannot_run("only IPv4") };
    unsafe {
        let fd = socket(2, 1 | 0o2000000, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let segment: i32 = 1460;
        setsockopt(fd, 6, 2, &segment, 4);
        setsockopt(fd, 1, 8, &receive_buffer, 4);
        let mut raw = [0u8; 16];
        raw[0..2].copy_from_slice(&2u16.to_ne_bytes());
        raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
        raw[4..8].copy_from_slice(&v4.ip().octets());
        if connect(fd, raw.as_ptr(), 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

// ---------------------------------------------------------------------------------------------
// JSON, as far as the store needs it.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_json(bytes, &mut at)
    }

    pub fn field(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(text) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|byte| byte.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn parse_json(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_json(bytes, at)? else { return None };
                        skip_space(bytes, at);
                        *at += 1;
                        table.insert(name, parse_json(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_json(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                let byte = *bytes.get(*at)?;
                *at += 1;
                match byte {
                    b'"' => return Some(Json::Text(String::from_utf8_lossy(&text).into_owned())),
                    b'\\' => {
                        let escaped = *bytes.get(*at)?;
                        *at += 1;
                        text.push(match escaped {
                            b'n' => b'\n',
                            b't' => b'\t',
                            b'r' => b'\r',
                            other => other,
                        });
                    }
                    other => text.push(other),
                }
            }
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \n".contains(byte)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
            Some(match word {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                number => Json::Number(number.to_owned()),
            })
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, i| {
            word << 8 | u32::from(chunk.get(i).copied().unwrap_or(0))
        });
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(LETTERS[(word >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(each, _)| each.eq_ignore_ascii_case(name));
        found.map(|(_, value)| &**value)
    }

    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1).unwrap_or("0");
        word.parse().unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one head, byte by byte, so nothing beyond it is taken.
pub fn read_head(stream: &mut TcpStream) -> std::io::Result<Head> {
    let mut bytes = Vec::new();
    let mut one = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut one)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        bytes.push(one[0]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    Ok(Head { line, headers: headers.collect() })
}

pub fn read_body(stream: &mut TcpStream, length: usize) -> std::io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// One whole exchange on a new connection.
pub fn exchange(address: SocketAddr, request: &str, within: Duration) -> std::io::Result<(Head, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    stream.write_all(request.as_bytes())?;
    let head = read_head(&mut stream)?;
    let body = read_body(&mut stream, head.length())?;
    Ok((head, body))
}

// ---------------------------------------------------------------------------------------------
// The platform's store: rows, conditional transactions and a feed.

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<(Key, String, u64)>,
    version: u64,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    /// The operator writes a desired state.
    pub fn write_desired(&self, state: &str) {
        let key = ("op".to_owned(), String::new(), "config".to_owned());
        self.rows.lock().unwrap().put(key, base64(state.as_bytes()));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(head) = read_head(&mut stream) {
            let Ok(body) = read_body(&mut stream, head.length()) else { return };
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decoded(value)))
            .collect();
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/-/rows-get" => (200, self.get(&get)),
            "/-/rows-feed" => (200, self.feed(&get)),
            "/-/rows-tx" => self.transact(body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn get(&self, query: &dyn Fn(&str) -> String) -> String {
        let (table, part, from, target) = (query("table"), query("part"), query("from"), query("target"));
        let limit = query("limit").parse().unwrap_or(500);
        let rows = self.rows.lock().unwrap();
        let matching = rows.rows.iter().filter(|((t, p, k), _)| {
            *t == table && *p == part && *k >= from && (target.is_empty() || *k < target)
        });
        let matching: Vec<String> = matching.map(|(key, (value, ver))| row(key, Some(value), *ver)).collect();
        let has_more = matching.len() > limit;
        let page = matching[..matching.len().min(limit)].join(",");
        format!(
            r#"{{"rows":[{page}],"has_more":{has_more},"ver":{},"now_ms":{}}}"#,
            rows.version,
            self.now_ms()
        )
    }

    fn feed(&self, query: &dyn Fn(&str) -> String) -> String {
        let table = query("table");
        let after: u64 = query("after").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes = rows.history.iter().filter(|((t, _, _), _, ver)| *t == table && *ver > after);
            let changes: Vec<String> = changes.map(|(key, value, ver)| row(key, Some(value), *ver)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                return format!(
                    r#"{{"rows":[{}],"ver":{},"now_ms":{}}}"#,
                    changes.join(","),
                    rows.version,
                    self.now_ms()
                );
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let mut rows = self.rows.lock().unwrap();
        let mut is_conflict = false;
        let mut current = Vec::new();
        for check in body.field("expected_rev").list() {
            let key = key_of(check);
            let held = rows.rows.get(&key).cloned();
            let version = held.as_ref().map_or(0, |(_, version)| *version);
            is_conflict |= check.field("ver").number() != version;
            if let Some((value, version)) = held {
                current.push(row(&key, Some(&value), version));
            }
        }
        if is_conflict {
            return (412, format!(r#"{{"rows":[{}]}}"#, current.join(",")));
        }
        for put in body.field("upserts").list() {
            rows.put(key_of(put), put.field("value").text().to_owned());
        }
        self.changed.notify_all();
        (200, format!(r#"{{"ver":{},"now_ms":{}}}"#, rows.version, self.now_ms()))
    }
}

impl Rows {
    fn put(&mut self, key: Key, value: String) {
        self.version += 1;
        self.history.push((key.clone(), value.clone(), self.version));
        self.rows.insert(key, (value, self.version));
    }
}

fn key_of(row: &Json) -> Key {
    let text = |name: &str| row.field(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row(key: &Key, value: Option<&String>, version: u64) -> String {
    let (table, part, key) = key;
    let value = value.map_or("null".to_owned(), |value| format!("\"{value}\""));
    format!(r#"{{"table":"{table}","part":"{part}","key":"{key}","value":{value},"ver":{version}}}"#)
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => decoded.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                at += 2;
            }
            other => decoded.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---------------------------------------------------------------------------------------------
// Backend servers.

/// One lifetime of a backend server. It answers as PROTOCOL.md says.
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    is_leaving: AtomicBool,
    is_gone: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    work: Duration,
    body: Vec<u8>,
    record: Arc<Record>,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub path: String,
    pub at: Instant,
}

impl Server {
    /// Starts a server at an address; port 0 takes a free one.
    pub fn start(record: &Arc<Record>, id: &str, service: &str, address: &str, work_ms: u64, body: Vec<u8>) -> Arc<Self> {
        let address: SocketAddr = address.parse().unwrap();
        let until = Instant::now() + Duration::from_secs(5);
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(_) if Instant::now() < until => thread::sleep(Duration::from_millis(20)),
                Err(error) => cannot_run(&format!("{address}: {error}")),
            }
        };
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            runs: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            open: Mutex::default(),
            work: Duration::from_millis(work_ms),
            body,
            record: record.clone(),
        });
        record.line(&format!("server {id} of service {service} starts at {}", server.address));
        let served = server.clone();
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while !served.is_gone.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            served.open.lock().unwrap().push(copy);
                        }
                        let served = served.clone();
                        thread::spawn(move || served.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        server
    }

    /// The server crashes: its port closes and its connections break off.
    pub fn crash(&self) {
        self.record.line(&format!("server {} crashes", self.id));
        self.is_gone.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Ok(head) = read_head(&mut stream) {
            if self.is_gone.load(Ordering::SeqCst) {
                return;
            }
            let Ok(_) = read_body(&mut stream, head.length()) else { return };
            if head.path() == "/health" {
                let status = if self.is_leaving.load(Ordering::SeqCst) { 503 } else { 200 };
                let answer = format!("HTTP/1.1 {status} X\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let request_id = head.header("request-id").unwrap_or("").to_owned();
            if head.header("expect-instance").is_some_and(|expected| expected != self.id) {
                self.record.line(&format!(
                    "server {} of service {} rejects request {request_id} {} with 421, it expects {}",
                    self.id, self.service, head.path(), head.header("expect-instance").unwrap_or("")
                ));
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request_id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.record.line(&format!(
                "server {} of service {} runs request {request_id} {}", self.id, self.service, head.path()
            ));
            self.runs.lock().unwrap().push(Run {
                request_id: request_id.clone(),
                path: head.path().to_owned(),
                at: Instant::now(),
            });
            thread::sleep(self.work);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: {}\r\nContent-Length: {}\r\n\r\n",
                self.id,
                self.body.len()
            );
            let written = stream.write_all(answer.as_bytes()).and_then(|()| stream.write_all(&self.body));
            if written.is_err() {
                return;
            }
        }
    }

    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::SeqCst)
    }

    /// Sends one report. Returns whether it was acknowledged.
    pub fn report(&self, node: &Node, seq: u64, state: &str) -> bool {
        let body = format!(
            r#"{{"address":"{}","info":{{"service":"{}","version":"v1","zone":"{}","slots":121}},"status":{{"state":"{state}","seq":{seq},"cold_remaining_ms":0}}}}"#,
            self.address, self.service, node.zone
        );
        let request = format!(
            "PUT /-/instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id, node.control, body.len()
        );
        let answer = exchange(node.control, &request, Duration::from_secs(1));
        answer.is_ok_and(|(head, _)| head.status() == 200)
    }

    /// Reports as often as a sound server, from now on and until it is gone.
    pub fn report_regularly(self: &Arc<Self>, node: &Arc<Node>) {
        let (server, node) = (self.clone(), node.clone());
        thread::spawn(move || {
            let mut seq = 1;
            let mut is_first = true;
            while !server.is_gone() {
                if server.report(&node, seq, "ready") && is_first {
                    is_first = false;
                    server.record.line(&format!("server {} has its first report acknowledged, seq {seq}", server.id));
                }
                seq += 1;
                thread::sleep(Duration::from_millis(1500));
            }
        });
    }
}

// ---------------------------------------------------------------------------------------------
// Node processes.

pub struct Node {
    pub name: String,
    pub zone: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

fn scratch_path() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

/// A temporary folder, which [`finish`] removes.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> Self {
        let path = scratch_path();
        fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Self(path)
    }
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
    listener.local_addr().unwrap().port()
}

impl Node {
    /// Writes the settings of a node and starts its process with the command of the deploy file.
    pub fn start(scratch: &Scratch, store: &Store, name: &str, ip: &str, zone: &str, service: &str, app: SocketAddr) -> Arc<Self> {
        let ports: Vec<u16> = (0..5).map(|_| free_port(ip)).collect();
        let at = |i: usize| format!("{ip}:{}", ports[i]);
        let settings = format!(
            r#"node = "{name}"
role = "sidecar"
class = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "tw-north"
port_range = [{range},{range}]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "static"
entry = "static"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
bounds = ["seed_lag_s=3","reuse_after_s=2","stable_window_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=6","lost_ms=200","config_ms=2000","rollback_slack_ms=250","outer_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","budget_slack=47","recover_s=15"]
app = "{app}"
service = "{service}"
[zones]
hall-a = "tw-north"
hall-b = "tw-north"
hall-c = "tw-north"
[listen]
inbound = "{inbound}"
outbound = "{outbound}"
ready = "{ready}"
control = "{control}"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 260
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
            range = ports[4],
            inbound = at(0),
            outbound = at(1),
            ready = at(2),
            control = at(3),
            store = store.address,
        );
        let path = scratch.0.join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let node = Arc::new(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            outbound: at(1).parse().unwrap(),
            ready: at(2).parse().unwrap(),
            control: at(3).parse().unwrap(),
            settings: path,
            log: scratch.0.join(format!("{name}.log")),
            child: Mutex::new(None),
        });
        node.run();
        node
    }

    /// Starts the process of the node, once more where it has ended.
    pub fn run(&self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let program = Path::new("target/release/sassafrasgap-sidecar");
        let mut command = Command::new(program);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let command = command
            .env("SASSAFRASGAP_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        // The process ends with this program, however this program ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|error| cannot_run(&format!("{}: {error}", program.display())));
        RUNNING.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
    }

    /// From its next start on, the process is told that the whole system has been started before.
    pub fn later_start(&self) {
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        let text = text.replace("bootstrap = true", "bootstrap = false");
        let _ = fs::write(&self.settings, text);
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            signal(child, number);
        }
    }

    /// The number of its process, 0 where none runs.
    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    /// Whether its process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Kills its process and waits until it has ended.
    pub fn end(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = format!("GET /-/readiness HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        exchange(self.ready, &request, Duration::from_secs(1)).is_ok_and(|(head, _)| head.status() == 200)
    }

    /// What the process has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

pub fn wait_until(what: &str, within_s: u64, holds: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_secs(within_s);
    while !holds() {
        if Instant::now() > until {
            cannot_run(&format!("{what} did not come about"));
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// A desired state in the form of PROTOCOL.md. Each route: name, prefix, type, timeout, service.
pub fn desired(version: u64, routes: &[(&str, &str, &str, u64, &str)], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix, kind, timeout_ms, service)| {
            format!(
                r#""{name}":{{"name":"{name}","host":"site.example","prefix":"{prefix}","route_type":"{kind}","timeout_ms":{timeout_ms},"aim_ms":1200,"priority":1,"service":"{service}","max_attempts":2}}"#
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!(r#""{name}":{{"name":"{name}","health_check_path":"/health","max_connections":826}}"#))
        .collect();
    format!(
        r#"{{"version":"r{version}","routes":{{{}}},"services":{{{}}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}
