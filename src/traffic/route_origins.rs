//! Who uses each route: learnt at the guard, told with answers, remembered at the entry.

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

/// Routes remembered at an entry at most; beyond it all are forgotten and told anew.
const MOST_ROUTES: usize = 4_096;

/// What a guard has found out.
#[derive(Debug, Default)]
struct Seen {
    origins: OriginsByDomain,
    callers: Callers,
}

/// The services whose nodes' calls are counted, as of one change of the view.
#[derive(Debug, Default)]
struct Callers {
    at_change: u64,
    near: Vec<CallingService>,
    all: Vec<CallingService>,
}

/// Who uses a route, found out here first.
pub(super) type RouteNews = (Name, RouteOrigin);

/// Both sides' knowledge.
#[derive(Debug)]
pub(super) struct KnownOrigins {
    seen: Mutex<Seen>,
    told: Mutex<FastMap<Name, RouteOrigin>>,
    /// Takes what is new here, for the other nodes.
    news: Sender<RouteNews>,
}

impl KnownOrigins {
    /// Nothing is known yet.
    pub(super) fn new(news: Sender<RouteNews>) -> Self {
        Self {
            seen: Mutex::default(),
            told: Mutex::default(),
            news,
        }
    }

    /// Counts a call at the guard, and answers what is known of its route.
    pub(super) fn note(&self, view: &View, domain: &str, call: &HopCall) -> Option<RouteOrigin> {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let Seen { origins, callers } = &mut *seen;
        callers.follow(view, domain);
        let heard = ObservedCall {
            route: &call.route,
            caller_service: &call.caller_service,
            same_domain: call.is_near && callers.near.len() > 1,
            reported_origin: call.origin,
        };
        let services = CallingServices {
            own_domain: &callers.near,
            all: &callers.all,
        };
        origins.note(heard, services)
    }

    /// Takes in what a guard said of a route, of this node or another one.
    pub(super) fn take(&self, route: &Name, origin: Option<RouteOrigin>) {
        let Some(origin) = origin else {
            return;
        };
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        if told.get(route) == Some(&origin) {
            return;
        }
        if told.len() >= MOST_ROUTES {
            told.clear();
        }
        log::info!("entry: a route is used by, route={route} origin={origin:?}");
        let is_first = told.insert(route.clone(), origin).is_none();
        if is_first && self.news.try_send((route.clone(), origin)).is_err() {
            log::debug!("entry: news of a route were dropped, route={route}");
        }
    }

    /// Takes in what another node has found out, unless something is known already.
    pub(super) fn take_news(&self, route: &Name, origin: RouteOrigin) {
        if self.of(route).is_none() {
            self.take(route, Some(origin));
        }
    }

    /// Who uses a route, if any guard has said so.
    pub(super) fn of(&self, route: &Name) -> Option<RouteOrigin> {
        let told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        told.get(route).copied()
    }
}

impl Callers {
    fn follow(&mut self, view: &View, domain: &str) {
        if self.at_change == view.changes && !self.all.is_empty() {
            return;
        }
        self.at_change = view.changes;
        self.near = calling_services(view, |other| other == domain);
        self.all = calling_services(view, |_| true);
    }
}

/// The services of the counted domains' nodes, each with its part of them.
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
