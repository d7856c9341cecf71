//! The experiment from the first to the last step.

use std::thread::available_parallelism;

use crate::capacity::CallFigures;
use crate::capacity::CapacityReport;
use crate::capacity::ChangeFigures;
use crate::capacity::Fleet;
use crate::capacity::GossipCost;
use crate::capacity::MemberState;
use crate::capacity::OutageFigures;
use crate::capacity::ProtocolSizes;
use crate::capacity::SizeFigures;
use crate::capacity::Spread;
use crate::capacity::SteadyFigures;
use crate::capacity::layout;
use crate::capacity::switch::SwitchFigures;
use crate::core::Clock;
use crate::errors::CapacityError;
use crate::mesh::Binaries;

const BYTES: &str = "sassafrasgap_control_bytes_total";
const SENT: &str = "direction=\"sent\"";
/// Sizes at which gossip at rest is counted in memory, and for how long.
const GOSSIP_MEMBERS: [usize; 5] = [8, 24, 72, 144, layout::FULL_NODES];
const GOSSIP_S: u64 = 300;

/// What to measure and for how long.
#[derive(Clone, Debug)]
pub struct ExperimentPlan {
    pub binaries: Binaries,
    pub sizes: Vec<usize>,
    /// Between the start and the first count. The news of a start is spread at a bounded rate, so
    /// it goes on for a while after everybody knows everybody.
    pub settle_s: u64,
    pub steady_s: u64,
    pub repeats: usize,
    /// At the smallest size only; empty for none.
    pub call_rates_per_s: Vec<u64>,
    pub calls_s: u64,
}

/// Measures every size, one after the other.
///
/// # Errors
/// When something cannot be started or does not answer; figures of earlier sizes are lost.
pub async fn run(plan: &ExperimentPlan) -> Result<CapacityReport, CapacityError> {
    let mut report = CapacityReport {
        cores: available_parallelism().map_or(0, usize::from),
        is_release_build: !cfg!(debug_assertions),
        protocol: ProtocolSizes::count(),
        member_state: MemberState::measure(layout::FULL_NODES)?,
        gossip: GOSSIP_MEMBERS
            .map(|members| GossipCost::count(members, GOSSIP_S))
            .to_vec(),
        ..CapacityReport::default()
    };
    for &nodes in &plan.sizes {
        let (figures, calls) = measure_size(plan, nodes, report.calls.is_none()).await?;
        report.sizes.push(figures);
        report.calls = report.calls.or(calls);
    }
    report.fit();
    Ok(report)
}

async fn measure_size(
    plan: &ExperimentPlan,
    nodes: usize,
    with_calls: bool,
) -> Result<(SizeFigures, Option<CallFigures>), CapacityError> {
    let clock = Clock::new();
    let mut fleet = Fleet::start(plan.binaries.clone(), nodes).await?;
    let start_ms = clock.now().0 as f64;
    log::info!("capacity: started nodes={nodes} start_ms={start_ms}");
    let start_sent = fleet.scrape().await?;
    let start_sent = start_sent.iter().map(|node| node.sum(BYTES, &[SENT]));
    let start_sent_bytes = Spread::of(&start_sent.collect::<Vec<f64>>());
    let start_store = fleet.platform_stats().await?.total;
    tokio::time::sleep(std::time::Duration::from_secs(plan.settle_s)).await;
    let steady = SteadyFigures::measure(&fleet, plan.steady_s).await?;
    log::info!(
        "capacity: steady nodes={nodes} cpu_share={}",
        steady.cpu_share.mean
    );
    let calls = match with_calls && !plan.call_rates_per_s.is_empty() {
        true => Some(CallFigures::measure(&fleet, &plan.call_rates_per_s, plan.calls_s).await?),
        false => None,
    };
    let switch = SwitchFigures::measure(&fleet, plan.repeats).await?;
    log::info!(
        "capacity: switched nodes={nodes} mean_ms={}",
        switch.times_ms.mean
    );
    let outage = OutageFigures::measure(&fleet, plan.steady_s).await?;
    log::info!("capacity: outage over nodes={nodes}");
    let changes = ChangeFigures::measure(&mut fleet, plan.repeats).await?;
    log::info!(
        "capacity: changed nodes={nodes} dead_ms={}",
        changes.dead_ms.mean
    );
    let figures = SizeFigures {
        nodes,
        services: layout::services(nodes),
        start_ms,
        start_store_reads: start_store.reads as f64,
        start_store_writes: start_store.writes as f64,
        start_sent_bytes,
        steady,
        switch_ms: switch.times_ms,
        switch_store: switch.store,
        outage,
        changes,
    };
    Ok((figures, calls))
}
