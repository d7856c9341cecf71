//! Whether callers or backend servers use each route: detected at the guard, sent with answers, and
//! cached at the entry.

use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::mpsc::Sender;

use crate::admission::CallingService;
use crate::admission::CallingServices;
use crate::admission::ObservedCall;
use crate::admission::OriginsByDomain;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::RouteOrigin;
use crate::core::TargetState;
use crate::core::View;
use crate::wire::HopCall;

/// Maximum number of routes cached at an entry; beyond it the cache is cleared and fills again.
const MAX_ROUTES: usize = 4_096;

/// The state of a guard.
#[derive(Debug, Default)]
struct GuardState {
    origins: OriginsByDomain,
    callers: Callers,
}

/// The services whose nodes' calls are counted, as of one change of the view.
#[derive(Debug, Default)]
struct Callers {
    at_change: u64,
    own_domain: Vec<CallingService>,
    all: Vec<CallingService>,
}

/// A route and its origin, to be announced to other nodes.
pub(super) type RouteOriginUpdate = (Name, RouteOrigin);

/// The state of entry and guard.
#[derive(Debug)]
pub(super) struct RouteOrigins {
    guard_state: Mutex<GuardState>,
    learned: Mutex<FastMap<Name, RouteOrigin>>,
    /// Queues what this node has learned, for the announcement to other nodes.
    updates: Sender<RouteOriginUpdate>,
}

impl RouteOrigins {
    /// Nothing is known yet.
    pub(super) fn new(updates: Sender<RouteOriginUpdate>) -> Self {
        Self {
            guard_state: Mutex::default(),
            learned: Mutex::default(),
            updates,
        }
    }

    /// Counts a call at the guard, and returns the origin of its route, if known.
    pub(super) fn record_call(
        &self,
        view: &View,
        domain: &str,
        call: &HopCall,
    ) -> Option<RouteOrigin> {
        let mut guard_state = self
            .guard_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let GuardState { origins, callers } = &mut *guard_state;
        callers.update(view, domain);
        let observed = ObservedCall {
            route: &call.route,
            caller_service: &call.caller_service,
            same_domain: call.is_same_domain && callers.own_domain.len() > 1,
            reported_origin: call.origin,
        };
        let services = CallingServices {
            own_domain: &callers.own_domain,
            all: &callers.all,
        };
        origins.record(observed, services)
    }

    /// Records the origin of a route as detected by the guard of this or another node.
    pub(super) fn learn(&self, route: &Name, origin: Option<RouteOrigin>) {
        let Some(origin) = origin else {
            return;
        };
        let mut learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        if learned.get(route) == Some(&origin) {
            return;
        }
        if learned.len() >= MAX_ROUTES {
            learned.clear();
        }
        log::info!("entry: a route is used by, route={route} origin={origin:?}");
        let is_first = learned.insert(route.clone(), origin).is_none();
        if is_first && self.updates.try_send((route.clone(), origin)).is_err() {
            log::debug!(
                "entry: route origin not announced because the queue is full, route={route}"
            );
        }
    }

    /// Records the origin of a route as announced by another node, unless one is known already.
    pub(super) fn learn_from_peer(&self, route: &Name, origin: RouteOrigin) {
        if self.origin_of(route).is_none() {
            self.learn(route, Some(origin));
        }
    }

    /// The origin of a route, if known.
    pub(super) fn origin_of(&self, route: &Name) -> Option<RouteOrigin> {
        let learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        learned.get(route).copied()
    }
}

impl Callers {
    fn update(&mut self, view: &View, domain: &str) {
        if self.at_change == view.changes && !self.all.is_empty() {
            return;
        }
        self.at_change = view.changes;
        self.own_domain = calling_services(view, |other| other == domain);
        self.all = calling_services(view, |_| true);
    }
}

/// The services of the nodes in the counted failure domains, each with its share of those nodes.
fn calling_services(view: &View, is_counted: impl Fn(&str) -> bool) -> Vec<CallingService> {
    let mut services: FastMap<&Name, (usize, bool)> = FastMap::default();
    let mut nodes: usize = 0;
    for node in view.nodes.values() {
        let is_gone = matches!(node.state, TargetState::Dead | TargetState::Left);
        if is_gone || node.service.is_empty() || !is_counted(&node.domain) {
            continue;
        }
        nodes += 1;
        let (count, all_serving) = services.entry(&node.service).or_insert((0, true));
        *count += 1;
        *all_serving &= node.state == TargetState::Up;
    }
    let services = services.into_iter();
    let services = services.map(|(service, (count, all_serving))| CallingService {
        service: service.clone(),
        share: count as f32 / nodes as f32,
        all_serving,
    });
    services.collect()
}
