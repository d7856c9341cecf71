//! What calls cost the nodes: processor time for each call, and store requests for each keyed one.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::capacity::Fleet;
use crate::capacity::Slope;
use crate::capacity::SteadyFigures;
use crate::capacity::steady::Snapshot;
use crate::errors::CapacityError;
use crate::mesh::Web;

/// Calls are sent in batches at this interval.
const BATCH_EVERY_MS: u64 = 5;
/// How long calls are sent before anything is counted.
const WARM_UP: Duration = Duration::from_secs(3);

/// The calls of one rate.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateFigures {
    pub offered_per_s: f64,
    pub good_per_s: f64,
    /// Processor time of all nodes together, as a share of one core.
    pub cpu_share: f64,
    pub resident_bytes: f64,
    pub store_reads_per_s: f64,
    pub store_writes_per_s: f64,
    pub control_bytes_per_s: f64,
}

/// The calls of one kind at several rates.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct KindFigures {
    pub rates: Vec<RateFigures>,
    /// Processor time of entry and guard together for one call, in microseconds.
    pub cpu_us_per_call: Slope,
    pub store_writes_per_call: Slope,
    pub store_reads_per_call: Slope,
    pub resident_bytes_per_call: Slope,
}

/// Calls without a key and with one.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CallFigures {
    pub nodes: usize,
    pub reads: KindFigures,
    pub keyed: KindFigures,
}

impl CallFigures {
    /// Sends calls of both kinds at each rate, for `seconds` each.
    ///
    /// # Errors
    /// When a node or the platform does not answer an operator.
    pub async fn measure(
        fleet: &Fleet,
        rates_per_s: &[u64],
        seconds: u64,
    ) -> Result<Self, CapacityError> {
        Ok(Self {
            nodes: fleet.operators().len(),
            reads: KindFigures::measure(fleet, false, rates_per_s, seconds).await?,
            keyed: KindFigures::measure(fleet, true, rates_per_s, seconds).await?,
        })
    }
}

impl KindFigures {
    async fn measure(
        fleet: &Fleet,
        is_keyed: bool,
        rates_per_s: &[u64],
        seconds: u64,
    ) -> Result<Self, CapacityError> {
        let mut rates = Vec::new();
        for &rate_per_s in rates_per_s {
            rates.push(RateFigures::measure(fleet, is_keyed, rate_per_s, seconds).await?);
        }
        let line = |value: fn(&RateFigures) -> f64| {
            let points = rates.iter().map(|rate| (rate.good_per_s, value(rate)));
            Slope::fit(&points.collect::<Vec<(f64, f64)>>())
        };
        Ok(Self {
            cpu_us_per_call: line(|rate| rate.cpu_share * 1_000_000.0),
            store_writes_per_call: line(|rate| rate.store_writes_per_s),
            store_reads_per_call: line(|rate| rate.store_reads_per_s),
            resident_bytes_per_call: line(|rate| rate.resident_bytes),
            rates,
        })
    }
}

impl RateFigures {
    async fn measure(
        fleet: &Fleet,
        is_keyed: bool,
        rate_per_s: u64,
        seconds: u64,
    ) -> Result<Self, CapacityError> {
        let good = Arc::new(AtomicU64::new(0));
        let sender = tokio::spawn(send(callers(fleet), is_keyed, rate_per_s, good.clone()));
        sleep(WARM_UP).await;
        let before = Snapshot::take(fleet).await?;
        let good_before = good.load(Ordering::Relaxed);
        sleep(Duration::from_secs(seconds)).await;
        let good_count = good.load(Ordering::Relaxed) - good_before;
        let after = Snapshot::take(fleet).await?;
        sender.abort();
        let use_ = SteadyFigures::between(&before, &after);
        let nodes = after.nodes.len() as f64;
        Ok(Self {
            offered_per_s: rate_per_s as f64,
            good_per_s: good_count as f64 / use_.seconds,
            cpu_share: use_.cpu_share.mean * nodes,
            resident_bytes: use_.resident_bytes.mean * nodes,
            store_reads_per_s: use_.store.reads_per_s,
            store_writes_per_s: use_.store.writes_per_s,
            control_bytes_per_s: use_.sent_bytes_per_s.mean * nodes,
        })
    }
}

/// The URI of every service at every entry.
fn callers(fleet: &Fleet) -> Vec<String> {
    let mut services: Vec<&str> = fleet.running().map(|target| &*target.service).collect();
    services.sort_unstable();
    services.dedup();
    let entries = fleet.running().flat_map(|entry| {
        let services = services.iter();
        services.map(move |service| entry.caller_uri(&format!("/{service}")))
    });
    entries.collect()
}

/// Sends calls at an even rate, whatever becomes of them, until it is aborted.
async fn send(callers: Vec<String>, is_keyed: bool, rate_per_s: u64, good: Arc<AtomicU64>) {
    let web = Web::new();
    let mut batches = interval(Duration::from_millis(BATCH_EVERY_MS));
    batches.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut due = 0.0;
    loop {
        batches.tick().await;
        due += (rate_per_s * BATCH_EVERY_MS) as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            let caller = fastrand::choice(&callers).cloned().unwrap_or_default();
            tokio::spawn(call(web.clone(), caller, is_keyed, good.clone()));
        }
    }
}

async fn call(web: Web, caller: String, is_keyed: bool, good: Arc<AtomicU64>) {
    let key = format!("{:032x}", fastrand::u128(..));
    let answer = match is_keyed {
        true => {
            let headers = [("idempotency-key", key.as_str())];
            let uri = format!("{caller}/charges");
            let body = Bytes::from_static(b"{\"hours\": 3}");
            web.send(Method::POST, &uri, &headers, body).await
        }
        false => web.get(&format!("{caller}/histories")).await,
    };
    if answer.is_ok_and(|answer| answer.status.is_success()) {
        good.fetch_add(1, Ordering::Relaxed);
    }
}
