//! Periodically logs the node's overhead: calls to the store and bytes sent to other nodes.

use std::sync::Arc;
use std::time::Duration;

use prometheus::proto::Metric;
use prometheus::proto::MetricFamily;

use crate::traffic::traffic::Traffic;

/// How often the counters are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(20);
/// The counters that are logged.
const COST_METRICS: [&str; 3] = [
    "sassafrasgap_store_calls_total",
    "sassafrasgap_store_failures_total",
    "sassafrasgap_control_bytes_total",
];

/// Logs the counts since the start, every 20 s.
pub(super) async fn log_costs(traffic: Arc<Traffic>) {
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        let families = traffic.metrics.registry().gather();
        let counted = families
            .iter()
            .filter(|family| COST_METRICS.contains(&family.name()));
        let costs: Vec<String> = counted.flat_map(format_family).collect();
        log::info!("cost: since the start, {}", costs.join(" "));
    }
}

fn format_family(family: &MetricFamily) -> Vec<String> {
    let metrics = family.get_metric().iter();
    metrics.map(format_metric).collect()
}

/// Formats the label values, joined by underscores, and the count.
fn format_metric(metric: &Metric) -> String {
    let labels = metric.get_label().iter().map(|label| label.value());
    let labels: Vec<&str> = labels.collect();
    let count = metric.get_counter().get_value();
    format!("{}={count}", labels.join("_"))
}
