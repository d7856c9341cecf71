//! What the other concerns do when a peer asks or tells something.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::ready;

use super::AttemptStatus;
use super::ConfigDocument;
use super::Promise;
use super::PromiseRequest;
use super::Suspects;
use crate::accounts::AllowanceMessage;
use crate::core::AttemptId;
use crate::core::Name;
use crate::core::RouteOrigin;

/// A newer slot map that a peer knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewerSlotMap {
    /// The control address of the peer.
    pub from: SocketAddr,
    pub service: Name,
    pub version: u64,
}

/// Takes in who uses a route, as a member has found out.
pub type RouteUseHandler = Arc<dyn Fn(&Name, RouteOrigin) + Send + Sync>;

/// Takes in what a member tells of accounts' allowances.
pub type AllowancesHandler = Arc<dyn Fn(&Name, AllowanceMessage) + Send + Sync>;

/// One closure for each question or piece of news, called on the control thread: they must not
/// block. What takes time is spawned on [`super::ControlHandle::runtime`].
///
/// The default of each is the safe answer of a node that lacks the concern.
#[derive(Clone)]
pub struct ControlHandlers {
    /// The configuration in force here, if its version is higher.
    pub config_above: Arc<dyn Fn(u64) -> Option<ConfigDocument> + Send + Sync>,
    /// What became of an attempt. An attempt that was never seen must be revoked before
    /// `NeverSeen` is answered.
    pub attempt_status: Arc<dyn Fn(AttemptId) -> BoxFuture<'static, AttemptStatus> + Send + Sync>,
    /// Whether to promise not to take over slots.
    pub promise: Arc<dyn Fn(PromiseRequest) -> Promise + Send + Sync>,
    /// Takes in a handed-over ledger; `true` once it is taken in.
    pub hand_over: Arc<dyn Fn(Vec<u8>) -> BoxFuture<'static, bool> + Send + Sync>,
    /// Takes in requests that ran when a backend server crashed.
    pub report_suspects: Arc<dyn Fn(Suspects) + Send + Sync>,
    /// The status of this node in JSON, without its members.
    pub node_status: Arc<dyn Fn() -> String + Send + Sync>,
    /// Begins to drain on an operator's word.
    pub drain: Arc<dyn Fn() + Send + Sync>,
    /// A peer (its control address; whether it is of the own failure domain) has this higher
    /// configuration version in force: fetch it there. Repeated until
    /// [`super::ControlHandle::set_config_version`] catches up.
    pub newer_config: Arc<dyn Fn(SocketAddr, u64, bool) + Send + Sync>,
    /// A peer knows a newer era of the store than was known here.
    pub store_era: Arc<dyn Fn(u64) + Send + Sync>,
    /// A peer knows a newer slot map: fetch it there or from the table. Repeated until
    /// [`super::ControlHandle::set_slot_map_version`] catches up.
    pub newer_slot_map: Arc<dyn Fn(NewerSlotMap) + Send + Sync>,
    /// A member has found out who uses a route.
    pub route_use: RouteUseHandler,
    /// A member tells of accounts' allowances.
    pub allowances: AllowancesHandler,
    /// The versions of slot maps differ from those of this peer for long: compare them all.
    pub compare_slot_maps: Arc<dyn Fn(SocketAddr) + Send + Sync>,
}

impl Default for ControlHandlers {
    fn default() -> Self {
        Self {
            config_above: Arc::new(|_| None),
            attempt_status: Arc::new(|_| ready(AttemptStatus::InProgress).boxed()),
            promise: Arc::new(|_| Promise::Refused),
            hand_over: Arc::new(|_| ready(false).boxed()),
            report_suspects: Arc::new(|_| {}),
            node_status: Arc::new(String::new),
            drain: Arc::new(|| {}),
            newer_config: Arc::new(|_, _, _| {}),
            store_era: Arc::new(|_| {}),
            newer_slot_map: Arc::new(|_| {}),
            route_use: Arc::new(|_, _| {}),
            allowances: Arc::new(|_, _| {}),
            compare_slot_maps: Arc::new(|_| {}),
        }
    }
}
