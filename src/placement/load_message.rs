//! The messages by which nodes learn the load of each service in each failure domain.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// The highest rate that is taken from a message, in tenths per second. It bounds sums over all
/// nodes and is far above what one node can offer or run.
const MAX_TENTHS_PER_S: u32 = 10_000_000;

const MICROS_PER_S: f32 = 1_000_000.0;

/// A target's figures as its guard measures them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetFigures {
    /// The calls that may run at once at the backend server.
    pub limit: u32,
    /// The mean run time of a call, in microseconds; 0 while it is unknown.
    pub run_us: u32,
    pub pressure_permille: u32,
}

impl TargetFigures {
    /// The calls per second that the target can run, in tenths; 0 while its run time is unknown.
    pub(super) fn capacity_tenths(self) -> u32 {
        match self.run_us {
            0 => 0,
            run_us => LoadFigures::tenths(self.limit as f32 * MICROS_PER_S / run_us as f32),
        }
    }
}

/// A report of a node to the coordinator of its failure domain for one service. It holds rates and
/// not differences, so the next report makes up for a lost one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceReport {
    pub service: Name,
    /// First attempts that the node's entry offers, in tenths per second.
    pub demand_tenths: u32,
    /// Whether the node's entry calls the service, so that it is informed of changes.
    pub calls_service: bool,
    /// Whether the last reply that the node received is not recent.
    pub wants_reply: bool,
    /// Present if the backend server beside the node runs the service.
    pub target: Option<TargetFigures>,
}

/// The load of a service in one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadFigures {
    pub demand_tenths: u32,
    pub capacity_tenths: u32,
    pub slots: u32,
    pub pressure_permille: u32,
}

impl LoadFigures {
    /// Encodes a rate. A rate that is not a number counts as 0.
    pub(super) fn tenths(per_s: f32) -> u32 {
        // The conversion saturates.
        ((per_s * 10.0).round() as u32).min(MAX_TENTHS_PER_S)
    }

    /// Decodes a rate, in calls per second.
    pub(super) fn per_s(tenths: u32) -> f32 {
        tenths.min(MAX_TENTHS_PER_S) as f32 / 10.0
    }
}

/// The load of a service in the sender's failure domain, sent by the coordinator there to the
/// coordinators of other domains.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceLoad {
    pub service: Name,
    pub load: LoadFigures,
    /// Whether the sender's domain may soon send calls away, so that it needs the loads of others.
    pub wants_loads: bool,
}

/// One failure domain in a [`ServiceReply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainFigures {
    /// Hash of the failure domain's name, as in [`crate::membership::DomainContact`].
    #[serde(with = "postcard::fixint::le")]
    pub domain_hash: u16,
    pub load: LoadFigures,
    /// The share of the receiver's calls that goes to this domain, in thousandths. That of the
    /// receiver's own domain is the share that stays.
    pub share_permille: u16,
}

/// A coordinator's reply to a [`ServiceReport`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceReply {
    pub service: Name,
    pub domains: Vec<DomainFigures>,
}

/// Any message about the load of services.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum LoadMessage {
    Report(ServiceReport),
    Reply(ServiceReply),
    Domain(ServiceLoad),
}
