//! The calls between nodes, over tarpc on the control address.

use serde::Deserialize;
use serde::Serialize;

use crate::core::AttemptId;
use crate::core::Name;
use crate::core::Target;
use crate::membership::ExchangeRequest;
use crate::poison::CrashReport;

/// The state of an attempt at a guard. The sender requests it over a new connection when the old
/// one has stopped answering.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AttemptStatus {
    /// The guard has no record of the attempt, and refuses it if it still arrives. The guard has
    /// run for `complete_for_ms` and has dropped no record in that time: an attempt sent within it
    /// has never arrived and may be sent again.
    NeverSeen { complete_for_ms: u64 },
    /// The attempt waits or runs. The sender requests its state again later.
    InProgress,
    /// The attempt ended; this is its whole answer.
    Done(KeptAnswer),
    /// The attempt ended, but its answer was too large to keep or has been dropped since.
    DoneWithoutAnswer,
}

/// A whole answer that the guard keeps for a limited time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeptAnswer {
    pub status: u16,
    /// Headers in order, including the encoded answer header.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

/// A published configuration as nodes send it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDocument {
    pub version: u64,
    pub preset: Name,
    /// The preset document in YAML, as it was published.
    pub document: String,
}

/// The request of a slot owner that one member of its service does not take over the owner's slots
/// for a while.
///
/// Both sides are identified by process instance. A restarted member does not know what the
/// previous process promised or began, so it must not answer on its behalf.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PromiseRequest {
    pub service: Name,
    /// The process instance of the requesting owner.
    pub owner: u64,
    /// The process instance of the member that has to answer.
    pub member: u64,
}

/// The answer to a [`PromiseRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Promise {
    /// This node is not taking over slots of the owner, and will complete no take-over within
    /// `hold_ms` of receiving the request.
    Granted { hold_ms: u64 },
    /// A take-over is in progress or done. The owner must not rely on its ownership.
    Refused,
}

/// The requests that ran when a backend server crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspects {
    pub service: Name,
    pub report: CrashReport,
}

/// The control calls that nodes serve to each other.
#[tarpc::service]
pub trait PeerControl {
    /// Returns this node's member records in all buckets whose digests differ from those in the
    /// request.
    async fn exchange_members(request: ExchangeRequest) -> Vec<Target>;
    /// Returns the configuration in force here, if its version is higher than `above`.
    async fn config_above(above: u64) -> Option<ConfigDocument>;
    /// Returns the state of an attempt. An attempt that was never seen is revoked by this call.
    async fn attempt_status(attempt: AttemptId) -> AttemptStatus;
    /// Requests the promise not to take over the owner's slots for a while.
    async fn promise(request: PromiseRequest) -> Promise;
    /// Hands over an encoded `claims::LedgerTransfer`. `true` confirms that it was merged.
    async fn hand_over(transfer: Vec<u8>) -> bool;
    /// Passes on the requests that ran when a backend server crashed.
    async fn report_suspects(suspects: Suspects);
    /// Returns the status of this node in JSON, without its members, for an operator who has asked
    /// another node.
    async fn node_status() -> String;
    /// Starts to drain the local target of this node, as requested by an operator.
    async fn drain();
}
