//! The platform's store: rows, conditional writes and the feed. Each machine has its own door, so
//! that the store can turn some machines away and serve the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::answer;
use crate::http::has_closed;
use crate::http::read_message;
use crate::json::Json;
use crate::json::base64;
use crate::json::from_base64;
use crate::json::quote;
use crate::record::Record;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<(Key, Option<String>, u64)>,
    version: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    record: Arc<Record>,
}

/// The address at which one machine reaches the store.
pub struct Door {
    pub address: SocketAddr,
    /// 503 to everything: nothing is done.
    turned_away: Arc<AtomicBool>,
}

/// A way to the store and back. The site has 4 ms for an answer.
const ROUND_TRIP: Duration = Duration::from_millis(4);

impl Door {
    pub fn turn_away(&self, is_turned_away: bool) {
        self.turned_away.store(is_turned_away, Ordering::SeqCst);
    }
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            record,
        })
    }

    pub fn door(self: &Arc<Self>, ip: &str, machine: &str) -> Door {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("its address");
        let turned_away = Arc::new(AtomicBool::new(false));
        let (store, flag, machine) = (self.clone(), turned_away.clone(), machine.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, flag, machine) = (store.clone(), flag.clone(), machine.clone());
                std::thread::spawn(move || store.serve(stream, &flag, &machine));
            }
        });
        Door {
            address,
            turned_away,
        }
    }

    /// The operator writes a desired state; the return is the acknowledgement.
    pub fn write_desired(&self, document: &str) {
        let key = ("op".to_owned(), String::new(), "config".to_owned());
        let mut rows = self.rows.lock().expect("rows");
        rows.put(key, base64(document.as_bytes()));
        drop(rows);
        self.changed.notify_all();
        self.record.line("operator: desired state written and acknowledged");
    }

    /// The decoded rows whose value contains a text.
    pub fn rows_with(&self, text: &str) -> Vec<String> {
        let rows = self.rows.lock().expect("rows");
        let values = rows.rows.values();
        let values = values.map(|(v, _)| String::from_utf8_lossy(&from_base64(v)).into_owned());
        values.filter(|value| value.contains(text)).collect()
    }

    fn serve(&self, mut stream: TcpStream, turned_away: &AtomicBool, machine: &str) {
        use std::io::Write;
        let _ = stream.set_nodelay(true);
        let mut opened = Some(Instant::now());
        while let Some(request) = read_message(&mut stream, false) {
            // A connection takes a round trip to open, and only then the first request can be sent. On
            // loopback it is there at once; where its sender is gone by then, it was never sent.
            if let Some(opened) = opened.take() {
                std::thread::sleep(ROUND_TRIP.saturating_sub(opened.elapsed()));
                if has_closed(&stream) {
                    self.record.line(&format!(
                        "store: {machine} is gone before its connection is open, so {} {} is not sent",
                        request.method(),
                        request.path()
                    ));
                    return;
                }
            }
            std::thread::sleep(ROUND_TRIP / 2);
            let told = if turned_away.load(Ordering::SeqCst) {
                self.record.line(&format!(
                    "store: 503 to {machine} for {} {}",
                    request.method(),
                    request.target()
                ));
                answer(503, "", "{\"error\":\"turned away\"}")
            } else {
                self.answer(&request, turned_away)
            };
            if stream.write_all(&told).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, turned_away: &AtomicBool) -> Vec<u8> {
        let query = |name: &str| request.query(name).unwrap_or_default();
        match (request.method(), request.path()) {
            ("GET", "/-/rows-get") => {
                let limit = query("limit").parse().unwrap_or(500);
                let rows = self.rows.lock().expect("rows");
                let target = request.query("target");
                let matching: Vec<String> = rows
                    .rows
                    .iter()
                    .filter(|((t, p, k), _)| {
                        *t == query("table")
                            && *p == query("part")
                            && *k >= query("from")
                            && target.as_ref().is_none_or(|target| k < target)
                    })
                    .map(|(key, (value, version))| row(key, Some(value), *version))
                    .collect();
                let has_more = matching.len() > limit;
                let page = matching[..matching.len().min(limit)].join(",");
                told(200, &format!("\"rows\":[{page}],\"has_more\":{has_more}"), rows.version)
            }
            ("GET", "/-/rows-feed") => {
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait = query("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut rows = self.rows.lock().expect("rows");
                loop {
                    if turned_away.load(Ordering::SeqCst) {
                        return answer(503, "", "{\"error\":\"turned away\"}");
                    }
                    let changed: Vec<String> = rows
                        .history
                        .iter()
                        .filter(|((t, _, _), _, version)| *t == query("table") && *version > after)
                        .map(|(key, value, version)| row(key, value.as_ref(), *version))
                        .collect();
                    if !changed.is_empty() || Instant::now() >= until {
                        let version = rows.version;
                        return told(200, &format!("\"rows\":[{}]", changed.join(",")), version);
                    }
                    let step = Duration::from_millis(50);
                    rows = self.changed.wait_timeout(rows, step).expect("rows").0;
                }
            }
            ("POST", "/-/rows-tx") => {
                // `tx_ms` of the settings.
                std::thread::sleep(Duration::from_millis(8));
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let Some(body) = Json::parse(&text) else {
                    return answer(400, "", "{}");
                };
                let list = |name: &str| body.get(name).map(Json::list).unwrap_or_default();
                let mut rows = self.rows.lock().expect("rows");
                let mut wrong = Vec::new();
                for check in list("expected_rev") {
                    let key = key_of(check);
                    let held = rows.rows.get(&key).map_or(0, |(_, version)| *version);
                    if check.get("ver").map(Json::number) != Some(held) {
                        wrong.push(row(&key, None, held));
                    }
                }
                if !wrong.is_empty() {
                    let version = rows.version;
                    return told(412, &format!("\"rows\":[{}]", wrong.join(",")), version);
                }
                for put in list("upserts") {
                    let value = put.get("value").map(Json::text).unwrap_or_default();
                    rows.put(key_of(put), value.to_owned());
                }
                let version = rows.version;
                drop(rows);
                self.changed.notify_all();
                told(200, "\"done\":true", version)
            }
            _ => answer(404, "", "{}"),
        }
    }
}

impl Rows {
    fn put(&mut self, key: Key, value: String) {
        self.version += 1;
        let change = (key.clone(), Some(value.clone()), self.version);
        self.history.push(change);
        self.rows.insert(key, (value, self.version));
    }
}

fn told(status: u16, fields: &str, version: u64) -> Vec<u8> {
    let body = format!("{{{fields},\"ver\":{version},\"now_ms\":1}}");
    answer(status, "Content-Type: application/json\r\n", &body)
}

fn key_of(entry: &Json) -> Key {
    let text = |name: &str| entry.get(name).map(Json::text).unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row((table, part, key): &Key, value: Option<&String>, version: u64) -> String {
    let value = value.map_or("null".to_owned(), |value| quote(value));
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":{value},\"ver\":{version}}}",
        quote(table),
        quote(part),
        quote(key)
    )
}
