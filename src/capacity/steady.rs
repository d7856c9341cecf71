//! What nodes and platform use while nothing changes.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;

use crate::capacity::Fleet;
use crate::capacity::ProcessUsage;
use crate::capacity::Samples;
use crate::capacity::Spread;
use crate::core::TimeMs;
use crate::errors::CapacityError;
use crate::table_service::Stats;

const BYTES: &str = "sassafrasgap_control_bytes_total";
const MESSAGES: &str = "sassafrasgap_control_messages_total";
const SENT: &str = "direction=\"sent\"";
const RECEIVED: &str = "direction=\"received\"";

/// The use of one node, spread over all nodes, and of the platform as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SteadyFigures {
    pub seconds: f64,
    pub sent_bytes_per_s: Spread,
    pub received_bytes_per_s: Spread,
    pub sent_messages_per_s: Spread,
    pub received_messages_per_s: Spread,
    /// Bytes sent by the kind of message, for the average node.
    pub sent_bytes_per_s_by_kind: BTreeMap<String, f64>,
    /// Processor time as a share of one core.
    pub cpu_share: Spread,
    pub resident_bytes: Spread,
    pub store: StoreUse,
}

/// The use of the platform by all nodes together.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoreUse {
    pub reads_per_s: f64,
    pub writes_per_s: f64,
    pub reads_per_s_by_prefix: BTreeMap<String, f64>,
    pub writes_per_s_by_prefix: BTreeMap<String, f64>,
    pub bytes_out_per_s: f64,
}

/// Everything that is counted, at one moment.
pub struct Snapshot {
    pub at: TimeMs,
    pub nodes: Vec<Samples>,
    pub usages: Vec<ProcessUsage>,
    pub platform: Stats,
}

impl Snapshot {
    /// Asks all nodes and the platform.
    ///
    /// # Errors
    /// When one of them does not answer.
    pub async fn take(fleet: &Fleet) -> Result<Self, CapacityError> {
        Ok(Self {
            at: fleet.clock.now(),
            usages: fleet.usages()?,
            nodes: fleet.scrape().await?,
            platform: fleet.platform_stats().await?,
        })
    }
}

impl SteadyFigures {
    /// Watches a fleet for a while.
    ///
    /// # Errors
    /// When a node or the platform does not answer.
    pub async fn measure(fleet: &Fleet, seconds: u64) -> Result<Self, CapacityError> {
        let before = Snapshot::take(fleet).await?;
        sleep(Duration::from_secs(seconds)).await;
        let after = Snapshot::take(fleet).await?;
        Ok(Self::between(&before, &after))
    }

    /// The use between two snapshots of the same nodes.
    pub fn between(before: &Snapshot, after: &Snapshot) -> Self {
        let seconds = after.at.since(before.at).max(1) as f64 / 1_000.0;
        let rate = |metric: &str, direction: &str| {
            let pairs = before.nodes.iter().zip(&after.nodes);
            let gains = pairs.map(|(before, after)| {
                after.sum(metric, &[direction]) - before.sum(metric, &[direction])
            });
            Spread::of(&gains.map(|gain| gain / seconds).collect::<Vec<f64>>())
        };
        let usages = before.usages.iter().zip(&after.usages);
        let cpu_shares: Vec<f64> = usages
            .map(|(before, after)| (after.cpu_ms - before.cpu_ms) as f64 / 1_000.0 / seconds)
            .collect();
        let resident = after.usages.iter().map(|usage| usage.resident_bytes as f64);
        Self {
            seconds,
            sent_bytes_per_s: rate(BYTES, SENT),
            received_bytes_per_s: rate(BYTES, RECEIVED),
            sent_messages_per_s: rate(MESSAGES, SENT),
            received_messages_per_s: rate(MESSAGES, RECEIVED),
            sent_bytes_per_s_by_kind: by_kind(before, after, seconds),
            cpu_share: Spread::of(&cpu_shares),
            resident_bytes: Spread::of(&resident.collect::<Vec<f64>>()),
            store: StoreUse::between(&before.platform, &after.platform, seconds),
        }
    }
}

impl StoreUse {
    /// The use of the platform between two readings of its counters.
    pub fn between(before: &Stats, after: &Stats, seconds: f64) -> Self {
        let gain = |before: u64, after: u64| (after - before) as f64 / seconds;
        let mut reads = BTreeMap::new();
        let mut writes = BTreeMap::new();
        for (prefix, now) in &after.prefixes {
            let past = before.prefixes.get(prefix).cloned().unwrap_or_default();
            reads.insert(prefix.clone(), gain(past.reads, now.reads));
            writes.insert(prefix.clone(), gain(past.writes, now.writes));
        }
        Self {
            reads_per_s: gain(before.total.reads, after.total.reads),
            writes_per_s: gain(before.total.writes, after.total.writes),
            reads_per_s_by_prefix: reads,
            writes_per_s_by_prefix: writes,
            bytes_out_per_s: gain(before.total.bytes_out, after.total.bytes_out),
        }
    }
}

fn by_kind(before: &Snapshot, after: &Snapshot, seconds: f64) -> BTreeMap<String, f64> {
    let nodes = after.nodes.len().max(1) as f64;
    let sums = |snapshot: &Snapshot| {
        let mut sums: BTreeMap<String, f64> = BTreeMap::new();
        for node in &snapshot.nodes {
            for (kind, bytes) in node.by_label(BYTES, &[SENT], "kind") {
                *sums.entry(kind).or_default() += bytes;
            }
        }
        sums
    };
    let (past, now) = (sums(before), sums(after));
    now.into_iter()
        .map(|(kind, bytes)| {
            let gain = bytes - past.get(&kind).copied().unwrap_or_default();
            (kind, gain / seconds / nodes)
        })
        .collect()
}
