//! The metrics of the control thread.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::core::TargetState;
use crate::core::View;

/// The direction of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Sent,
    Received,
}

impl Direction {
    fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// The `kind` label of all bytes of control calls.
const CALL_KIND: &str = "call";
/// The size of the IP and UDP headers, added to each datagram.
const PACKET_OVERHEAD_BYTES: usize = 28;

/// Control traffic by direction and kind, members by state, and datagrams that were dropped.
#[derive(Clone, Debug)]
pub struct ControlMetrics {
    bytes: IntCounterVec,
    messages: IntCounterVec,
    members: IntGaugeVec,
    cut_off_domains: IntGaugeVec,
    pub dropped_datagrams: IntCounter,
}

impl ControlMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// When one of the names is registered already.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let bytes = IntCounterVec::new(
            Opts::new(
                "sassafrasgap_control_bytes_total",
                "Bytes of control traffic with IP and UDP headers, by direction and kind.",
            ),
            &["direction", "kind"],
        )?;
        let messages = IntCounterVec::new(
            Opts::new(
                "sassafrasgap_control_messages_total",
                "Datagrams of control traffic, by direction and kind.",
            ),
            &["direction", "kind"],
        )?;
        let members = IntGaugeVec::new(
            Opts::new("sassafrasgap_members", "Known nodes, by state."),
            &["state"],
        )?;
        let cut_off_domains = IntGaugeVec::new(
            Opts::new(
                "sassafrasgap_domain_cut_off",
                "1 while nothing is heard from a failure domain.",
            ),
            &["domain"],
        )?;
        let dropped_datagrams = IntCounter::new(
            "sassafrasgap_control_dropped_datagrams_total",
            "Datagrams that were malformed or of another version.",
        )?;
        registry.register(Box::new(bytes.clone()))?;
        registry.register(Box::new(messages.clone()))?;
        registry.register(Box::new(members.clone()))?;
        registry.register(Box::new(cut_off_domains.clone()))?;
        registry.register(Box::new(dropped_datagrams.clone()))?;
        Ok(Self {
            bytes,
            messages,
            members,
            cut_off_domains,
            dropped_datagrams,
        })
    }

    /// Counts one datagram.
    pub fn count_datagram(&self, direction: Direction, kind: &str, payload_bytes: usize) {
        let labels = [direction.as_str(), kind];
        self.messages.with_label_values(&labels).inc();
        self.bytes
            .with_label_values(&labels)
            .inc_by((payload_bytes + PACKET_OVERHEAD_BYTES) as u64);
    }

    /// The counter of the bytes of control calls in one direction.
    pub fn call_bytes(&self, direction: Direction) -> IntCounter {
        self.bytes
            .with_label_values(&[direction.as_str(), CALL_KIND])
    }

    /// Sets the gauges from a view.
    pub fn set_gauges(&self, view: &View) {
        self.members.reset();
        for target in view.nodes.values() {
            let state = state_label(target.state);
            self.members.with_label_values(&[state]).inc();
        }
        self.cut_off_domains.reset();
        for domain in &view.cut_off_domains {
            self.cut_off_domains.with_label_values(&[&**domain]).set(1);
        }
    }
}

fn state_label(state: TargetState) -> &'static str {
    match state {
        TargetState::Starting => "starting",
        TargetState::Up => "up",
        TargetState::Draining => "draining",
        TargetState::Suspect => "suspect",
        TargetState::Dead => "dead",
        TargetState::Left => "left",
    }
}
