//! Everything that the experiment found, as it is written to JSON.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::capacity::CallFigures;
use crate::capacity::ChangeFigures;
use crate::capacity::GossipCost;
use crate::capacity::MemberState;
use crate::capacity::OutageFigures;
use crate::capacity::ProtocolSizes;
use crate::capacity::Slope;
use crate::capacity::Spread;
use crate::capacity::SteadyFigures;
use crate::capacity::StoreUse;
use crate::capacity::layout;

/// The figures of one number of nodes.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SizeFigures {
    pub nodes: usize,
    pub services: usize,
    /// From the start of all processes until every node knows every target and the preset.
    pub start_ms: f64,
    /// What the start cost the platform in all.
    pub start_store_reads: f64,
    pub start_store_writes: f64,
    /// Control bytes sent by the average node until everybody knew everybody.
    pub start_sent_bytes: Spread,
    pub steady: SteadyFigures,
    /// Until a switched preset was in force at each node.
    pub switch_ms: Spread,
    /// What one switch cost the platform beyond ordinary use.
    pub switch_store: StoreUse,
    pub outage: OutageFigures,
    pub changes: ChangeFigures,
}

/// A figure with its points and the line through them.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SlopeFigure {
    /// Number of nodes and mean of the figure.
    pub points: Vec<(f64, f64)>,
    /// The standard deviation at each point.
    pub std_devs: Vec<f64>,
    pub slope: Slope,
    /// The value of the line at the full size.
    pub at_full_size: f64,
}

/// The whole experiment.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CapacityReport {
    pub cores: usize,
    pub is_release_build: bool,
    pub protocol: ProtocolSizes,
    pub member_state: MemberState,
    /// Gossip of one member at rest, counted in memory.
    pub gossip: Vec<GossipCost>,
    pub sizes: Vec<SizeFigures>,
    pub calls: Option<CallFigures>,
    pub slopes: BTreeMap<String, SlopeFigure>,
}

impl CapacityReport {
    /// Fits the lines through all sizes measured.
    pub fn fit(&mut self) {
        self.slopes = figures()
            .iter()
            .map(|(name, figure)| ((*name).to_owned(), slope(&self.sizes, *figure)))
            .collect();
    }
}

type Figure = fn(&SizeFigures) -> Spread;

fn figures() -> [(&'static str, Figure); 17] {
    [
        ("sent_bytes_per_s", |size| size.steady.sent_bytes_per_s),
        ("received_bytes_per_s", |size| {
            size.steady.received_bytes_per_s
        }),
        ("sent_messages_per_s", |size| {
            size.steady.sent_messages_per_s
        }),
        ("cpu_share", |size| size.steady.cpu_share),
        ("resident_bytes", |size| size.steady.resident_bytes),
        ("store_reads_per_s", |size| {
            Spread::of(&[size.steady.store.reads_per_s])
        }),
        ("store_writes_per_s", |size| {
            Spread::of(&[size.steady.store.writes_per_s])
        }),
        ("start_store_reads", |size| {
            Spread::of(&[size.start_store_reads])
        }),
        ("start_store_writes", |size| {
            Spread::of(&[size.start_store_writes])
        }),
        ("start_sent_bytes", |size| size.start_sent_bytes),
        ("outage_sent_bytes_per_s", |size| {
            size.outage.during.sent_bytes_per_s
        }),
        ("outage_cpu_share", |size| size.outage.during.cpu_share),
        ("recovery_peak_reads_per_s", |size| {
            Spread::of(&[size.outage.recovery_peak_reads_per_s])
        }),
        ("recovery_peak_writes_per_s", |size| {
            Spread::of(&[size.outage.recovery_peak_writes_per_s])
        }),
        ("switch_ms", |size| size.switch_ms),
        ("dead_ms", |size| size.changes.dead_ms),
        ("drain_ms", |size| size.changes.drain_ms),
    ]
}

fn slope(sizes: &[SizeFigures], figure: Figure) -> SlopeFigure {
    let measured = sizes.iter().map(|size| (size.nodes as f64, figure(size)));
    let measured: Vec<(f64, Spread)> = measured.filter(|(_, spread)| spread.count > 0).collect();
    let points: Vec<(f64, f64)> = measured
        .iter()
        .map(|(nodes, spread)| (*nodes, spread.mean))
        .collect();
    let slope = Slope::fit(&points);
    SlopeFigure {
        std_devs: measured.iter().map(|(_, spread)| spread.std_dev).collect(),
        slope,
        at_full_size: slope.at(layout::FULL_NODES as f64),
        points,
    }
}
