//! Who stands beside a node that has just started, before the first report tells.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::header::HOST;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::core::Name;
use crate::traffic::backend_answer::note_words;
use crate::traffic::traffic::Traffic;
use crate::wire::HeaderAdvertisement;

/// How long the backend server may take to answer. Its reports come every second or two, so a later
/// answer is of no use.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_000);
/// How often it is looked whether a desired state, which names the path to ask, is known.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// A backend server as it last reported, kept over a restart of the node beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KnownServer {
    pub incarnation: Name,
    #[serde(default)]
    pub started_unix_ms: Option<u64>,
    pub service: Name,
    pub slots: u32,
}

/// Asks the backend server whether it still is the one that is known from before.
///
/// Guards against a node that serves nothing after its own restart until the next report of its
/// backend server, which has gone on all the while: up to two seconds, and where it is the only one of
/// its service every call tree through it fails. It shows as refusals `backend_down` or `no_target`
/// after each restart of a node. It holds because the backend server's own word names its incarnation,
/// and says that it is not leaving; of another one nothing is known, so its report is waited for.
pub(super) async fn recall_server(traffic: Arc<Traffic>, known: KnownServer) {
    let sent_at = traffic.clock.now();
    let asking = ask(&traffic, &known.service);
    let Ok(Some(checked)) = timeout(ANSWER_WITHIN, asking).await else {
        return;
    };
    if checked.incarnation != known.incarnation {
        return;
    }
    let now = traffic.clock.now();
    if checked.is_well {
        traffic.change_local(|local| local.recall(now, &known));
    }
    note_words(&traffic, &known.incarnation, sent_at, checked.words);
}

/// What a health check told.
struct Checked {
    incarnation: Name,
    is_well: bool,
    words: HeaderAdvertisement,
}

/// Asks the backend server's health check.
async fn ask(traffic: &Traffic, service: &Name) -> Option<Checked> {
    let path = health_check_path(traffic, service).await?;
    let address = traffic.live().backend_address;
    let request = Request::builder()
        .method(Method::GET)
        .uri(&*path)
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::new()));
    let request = request
        .map_err(|error| log::warn!("local: a health check cannot be asked, error={error}"))
        .ok()?;
    // The answer is not that of a call, so its connection is not used for one.
    let answer = traffic.backend.send(address, request, |_| false).await;
    let answer = answer
        .map_err(|error| log::debug!("local: no answer to a health check, error={error}"))
        .ok()?;
    let names = &traffic.settings.header_names;
    let incarnation = answer.headers.get(&names.incarnation)?.to_str().ok()?;
    Some(Checked {
        incarnation: Name::from(incarnation),
        is_well: answer.status.is_success(),
        words: names.words(&answer.headers),
    })
}

async fn health_check_path(traffic: &Traffic, service: &Name) -> Option<Name> {
    let in_force = loop {
        match traffic.desired.load() {
            Some(in_force) => break in_force,
            None => sleep(LOOK_EVERY).await,
        }
    };
    let services = &in_force.state.services;
    let service = services.iter().find(|each| each.name == *service)?;
    let path = service.health_check_path.clone();
    path.starts_with('/').then_some(path)
}
