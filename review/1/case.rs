//! The address of a server that has ended is used again by a server of another service. See
//! claim.txt.

#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// A bunch of job submissions comes this often.
const BUNCH_EVERY: Duration = Duration::from_millis(3_000);
/// How many submissions a bunch has, and the time between them.
const BUNCH: usize = 18;
const BETWEEN: Duration = Duration::from_millis(25);
/// `reuse_after_s` of the settings, and a little more.
const REUSED_AFTER: Duration = Duration::from_millis(2_100);
/// The first report of the new server: one `heartbeat_ms` after its start.
const FIRST_REPORT_AFTER: Duration = Duration::from_millis(1_500);

fn submit(record: &Record, node: &Node, id: &str) -> (u16, String) {
    let request = format!(
        "POST /launch/{id} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\nContent-Length: 4\r\n\r\njob!"
    );
    record.line(&format!("client sends request {id} POST /launch/{id} to {}", node.name));
    match exchange(node.outbound, &request, Duration::from_secs(6)) {
        Ok((head, body)) => {
            let stamp = head.header("server-stamp").unwrap_or("none").to_owned();
            let body = String::from_utf8_lossy(&body).into_owned();
            record.line(&format!("client gets {} for {id}, Server-Stamp {stamp}, body {body:?}", head.status()));
            (head.status(), body)
        }
        Err(error) => {
            record.line(&format!("client gets no answer for {id}: {error}"));
            (0, String::new())
        }
    }
}

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or("record.txt".to_owned()));
    let scratch = Scratch::new();
    let store = Store::start();
    store.write_desired(&desired(
        12,
        &[
            ("job-launch", "/launch/", "unsafe", 5_000, "scheduler"),
            ("notebook-browse", "/browse/", "safe", 5_000, "workspace"),
        ],
        &["scheduler", "workspace", "archive"],
    ));
    let body = |text: &str| text.as_bytes().to_vec();
    let first = Server::start(&record, "i-scheduler-1", "scheduler", "127.0.0.1:0", 20, body("job accepted"));
    let second = Server::start(&record, "i-scheduler-2", "scheduler", "127.0.0.1:0", 20, body("job accepted"));
    let browse = Server::start(&record, "i-workspace-1", "workspace", "127.0.0.1:0", 20, body("a notebook"));
    let archive = Server::start(&record, "i-archive-1", "archive", "127.0.0.1:0", 20, body("an archive"));
    let address = first.address.to_string();
    let node = Node::start(&scratch, &store, "sidecar-hall-a-1", "127.0.0.1", "hall-a", "scheduler", first.address);
    let others = [
        Node::start(&scratch, &store, "sidecar-hall-b-1", "127.0.0.2", "hall-b", "scheduler", second.address),
        Node::start(&scratch, &store, "sidecar-hall-a-2", "127.0.0.3", "hall-a", "workspace", browse.address),
        Node::start(&scratch, &store, "sidecar-hall-a-3", "127.0.0.4", "hall-a", "archive", archive.address),
    ];
    wait_until("readiness", 40, || node.is_ready() && others.iter().all(|node| node.is_ready()));
    first.report_regularly(&node);
    second.report_regularly(&others[0]);
    browse.report_regularly(&others[1]);
    archive.report_regularly(&others[2]);
    thread::sleep(Duration::from_millis(5_000));

    let submitting = {
        let record: Arc<Record> = record.clone();
        // There are clients on each machine of the zone.
        let nodes = [node.clone(), others[1].clone(), others[2].clone()];
        let begin = Instant::now();
        thread::spawn(move || {
            let mut answers = Vec::new();
            for bunch in 0..3 {
                thread::sleep((begin + BUNCH_EVERY * bunch).saturating_duration_since(Instant::now()));
                let sent: Vec<_> = (0..BUNCH)
                    .map(|i| {
                        thread::sleep(BETWEEN);
                        let (record, node) = (record.clone(), nodes[i % nodes.len()].clone());
                        thread::spawn(move || submit(&record, &node, &format!("9c41d07be2a3{bunch}{i:03}")))
                    })
                    .collect();
                answers.extend(sent.into_iter().map(|sent| sent.join().unwrap()));
            }
            answers
        })
    };
    // The first bunch is over after 0.5 s.
    thread::sleep(Duration::from_millis(600));
    let mut reused = None;
    if has_trouble() {
        first.crash();
        thread::sleep(REUSED_AFTER);
        let new = Server::start(&record, "i-workspace-2", "workspace", &address, 20, body("a notebook"));
        let (reporting, node) = (new.clone(), node.clone());
        thread::spawn(move || {
            thread::sleep(FIRST_REPORT_AFTER);
            reporting.report_regularly(&node);
        });
        reused = Some(new);
    }
    let answers = submitting.join().unwrap();
    let foreign: Vec<Run> = [reused.as_ref(), Some(&browse)]
        .into_iter()
        .flatten()
        .flat_map(|server| server.runs.lock().unwrap().clone())
        .filter(|run| run.path.starts_with("/launch/"))
        .collect();
    let foreign_answers = answers.iter().filter(|(status, body)| *status == 200 && body == "a notebook").count();
    let served = answers.iter().filter(|(status, body)| *status == 200 && body == "job accepted").count();
    record.line(&format!(
        "{} job submissions: {served} accepted by scheduler servers, {} run by a workspace server, {foreign_answers} answered 200 with a workspace server's body",
        answers.len(),
        foreign.len()
    ));
    if served < BUNCH {
        cannot_run("the service did not run");
    }
    finish(if foreign.is_empty() { HELD } else { BROKEN })
}
