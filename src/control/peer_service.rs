//! The calls between nodes, over tarpc on the control address.

use serde::Deserialize;
use serde::Serialize;

use crate::core::AttemptId;
use crate::core::Name;
use crate::core::Target;
use crate::membership::ExchangeRequest;
use crate::poison::CrashReport;

/// What a guard knows of an attempt, when its sender asks over a new connection because the old
/// one went silent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AttemptStatus {
    /// It is not among the attempts remembered, and will be refused if it still arrives. It never
    /// arrived, and may be sent again, if it was sent less than `complete_for_ms` ago: for so long
    /// this guard has run and has forgotten no attempt.
    NeverSeen { complete_for_ms: u64 },
    /// It waits or runs; ask again.
    InProgress,
    /// It ended; the whole answer is repeated.
    Done(KeptAnswer),
    /// It ended, but its answer was too large to keep or was dropped since.
    DoneWithoutAnswer,
}

/// A whole answer as kept for a while at the guard.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeptAnswer {
    pub status: u16,
    /// Headers in order, the encoded answer header among them.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

/// A published configuration as it is handed from node to node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDocument {
    pub version: u64,
    pub preset: Name,
    /// The preset document in YAML, as it was published.
    pub document: String,
}

/// An owner's request that one member of its service refrain from taking over its slots.
///
/// Both sides are named by process instance: a restarted member has forgotten what its
/// predecessor promised or began, so it must not answer for it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PromiseAsk {
    pub service: Name,
    /// The process instance of the owner that asks.
    pub owner: u64,
    /// The process instance that is asked.
    pub member: u64,
}

/// The answer to an owner's request that this node refrain from taking over its slots.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Promise {
    /// No take-over of the asker's slots is under way here, and none will be completed within
    /// `hold_ms` of the receipt of the request.
    Granted { hold_ms: u64 },
    /// A take-over is under way or done; the asker must not rely on its ownership.
    Refused,
}

/// Requests that ran when a backend server crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspects {
    pub service: Name,
    pub report: CrashReport,
}

/// What one node can ask of another.
#[tarpc::service]
pub trait PeerControl {
    /// Tells what is known of members where the caller holds something else.
    async fn exchange_members(ask: ExchangeRequest) -> Vec<Target>;
    /// The configuration in force here, if its version is higher than `above`.
    async fn config_above(above: u64) -> Option<ConfigDocument>;
    /// What became of an attempt; an attempt that was never seen is revoked by asking.
    async fn attempt_status(attempt: AttemptId) -> AttemptStatus;
    /// Asks for the promise not to take over slots of the owner's service for a while.
    async fn promise(ask: PromiseAsk) -> Promise;
    /// Hands over an encoded `claims::LedgerTransfer`; `true` confirms that it was taken in.
    async fn hand_over(transfer: Vec<u8>) -> bool;
    /// Spreads requests that ran when a backend server crashed.
    async fn report_suspects(suspects: Suspects);
    /// The status of this node in JSON, without its members, for an operator who asks another.
    async fn node_status() -> String;
    /// An operator's word to take the target beside this node out of service.
    async fn drain();
}
