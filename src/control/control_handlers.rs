//! The handlers of calls and messages from peers, provided by the other parts of the node.

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
use crate::placement::LoadMessage;

/// A slot map of a peer that is newer than the one held here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewerSlotMap {
    /// The control address of the peer.
    pub from: SocketAddr,
    pub service: Name,
    pub version: u64,
}

/// Handles the message of a member about who uses a route.
pub type RouteUseHandler = Arc<dyn Fn(&Name, RouteOrigin) + Send + Sync>;

/// Handles the message of a member about accounts' allowances.
pub type AllowancesHandler = Arc<dyn Fn(&Name, AllowanceMessage) + Send + Sync>;

/// Handles the message of a member about the load of services.
pub type LoadsHandler = Arc<dyn Fn(&Name, LoadMessage) + Send + Sync>;

/// One closure for each kind of call or message. They run on the control thread and must not block;
/// longer work is spawned on [`super::ControlHandle::runtime`].
///
/// Each default is the answer that is safe for a node without the part that provides the handler.
#[derive(Clone)]
pub struct ControlHandlers {
    /// Returns the configuration in force here, if its version is higher than the argument.
    pub config_above: Arc<dyn Fn(u64) -> Option<ConfigDocument> + Send + Sync>,
    /// Returns the state of an attempt. An attempt that was never seen must be revoked before
    /// `NeverSeen` is returned.
    pub attempt_status: Arc<dyn Fn(AttemptId) -> BoxFuture<'static, AttemptStatus> + Send + Sync>,
    /// Decides whether to promise not to take over slots.
    pub promise: Arc<dyn Fn(PromiseRequest) -> Promise + Send + Sync>,
    /// Merges a handed-over ledger. Resolves to `true` once it is merged.
    pub hand_over: Arc<dyn Fn(Vec<u8>) -> BoxFuture<'static, bool> + Send + Sync>,
    /// Handles a report of requests that ran when a backend server crashed.
    pub report_suspects: Arc<dyn Fn(Suspects) + Send + Sync>,
    /// Returns the status of this node in JSON, without its members.
    pub node_status: Arc<dyn Fn() -> String + Send + Sync>,
    /// Starts to drain the local target, as requested by an operator.
    pub drain: Arc<dyn Fn() + Send + Sync>,
    /// A peer has a higher configuration version in force, which can be fetched there. Arguments:
    /// the control address of the peer, the version, and whether the peer is in the own failure
    /// domain. Called again until [`super::ControlHandle::set_config_version`] catches up.
    pub newer_config: Arc<dyn Fn(SocketAddr, u64, bool) + Send + Sync>,
    /// A peer has announced a newer era of the store than the one known to this node until now.
    pub store_era: Arc<dyn Fn(u64) + Send + Sync>,
    /// A peer has a newer slot map, which can be fetched there or from the table. Called again
    /// until [`super::ControlHandle::set_slot_map_version`] catches up.
    pub newer_slot_map: Arc<dyn Fn(NewerSlotMap) + Send + Sync>,
    /// A member announces who uses a route.
    pub route_use: RouteUseHandler,
    /// A member sends a message about accounts' allowances.
    pub allowances: AllowancesHandler,
    /// A member sends a message about the load of services in failure domains.
    pub loads: LoadsHandler,
    /// The digests of the slot map versions here and at this peer have differed for several
    /// seconds: compare all versions.
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
            loads: Arc::new(|_, _| {}),
            compare_slot_maps: Arc::new(|_| {}),
        }
    }
}
