//! First-hand figures of the targets, the choice among them, and the budgets of retries.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tokio::sync::watch;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::RefusalReason;
use crate::core::Target;
use crate::core::TimeMs;
use crate::core::View;
use crate::node::Node;
use crate::retry::RetryBudget;
use crate::routing::DomainReachability;
use crate::routing::Pick;
use crate::routing::PickContext;
use crate::routing::PickerConf;
use crate::routing::TargetPressure;
use crate::routing::TargetStats;
use crate::routing::pick;
use crate::routing::smoothed;
use crate::wire::AnswerHeader;
use crate::wire::LoadReport;

/// Retries in sum, in percent of first attempts.
const BUDGET_PERCENT: u32 = 10;
/// Retries that may follow each other without first attempts in between.
const BUDGET_BURST: u32 = 20;

/// Routes whose usual time is remembered; beyond it all are learnt anew.
const MOST_ROUTES: usize = 4_096;
/// One part in this of each new run's time goes into the usual one of its route.
const USUAL_SHARE: u64 = 32;

#[derive(Default)]
struct Known {
    stats: FastMap<Name, TargetStats>,
    budgets: FastMap<Name, RetryBudget>,
    reach: DomainReachability,
    /// How long runs of each route usually take, at whichever target, in microseconds.
    usual_us: FastMap<Name, u64>,
    /// The change of the view up to which targets that are gone have been evicted.
    evicted_at_change: u64,
}

/// Shared by all calls. Bounded by the view: what is not in it any more is evicted.
pub(crate) struct Targets {
    known: Mutex<Known>,
    conf: PickerConf,
    /// Changes whenever a failure domain has turned out to be out of reach.
    closings: watch::Sender<()>,
}

impl Targets {
    pub(crate) fn new() -> Self {
        Self::with_conf(PickerConf::default())
    }

    /// Targets that are chosen in this way.
    pub(crate) fn with_conf(conf: PickerConf) -> Self {
        Self {
            known: Mutex::default(),
            conf,
            closings: watch::Sender::new(()),
        }
    }

    /// Chooses a target that was not tried and counts the call as in flight there.
    pub(crate) fn take(
        &self,
        view: &View,
        service: &str,
        own_domain: &str,
        tried: &[Name],
        is_large: bool,
        now: TimeMs,
    ) -> Pick {
        let mut known = self.lock();
        known.evict_gone(view);
        let mut avoided = known.reach.avoided(now);
        avoided.extend_from_slice(&view.cut_off_domains);
        let choice = PickContext {
            targets: view.targets(service),
            stats: &known.stats,
            own_domain,
            cut_off_domains: &avoided,
            tried,
            is_large,
        };
        let picked = pick(&choice, &self.conf, now, |n| fastrand::usize(..n));
        if let Pick::Take(target) = &picked {
            known.stats_of(&target.node, now).in_flight += 1;
            known.note_sent(target, own_domain, now);
        }
        picked
    }

    /// Waits until the failure domain turns out to be out of reach.
    pub(crate) async fn out_of_reach(&self, domain: &Name) {
        let mut closings = self.closings.subscribe();
        while closings.changed().await.is_ok() {
            if self.lock().reach.is_unreachable(domain) {
                return;
            }
        }
        std::future::pending().await
    }

    /// Counts a call as in flight at a target that was chosen otherwise.
    pub(crate) fn enter(&self, node: &Name, now: TimeMs) {
        self.lock().stats_of(node, now).in_flight += 1;
    }

    /// Takes in how hard calls press on one target of a service, and answers how hard they press on
    /// the service, by all targets heard of lately; see [`TargetPressure::of_service`]. Where the target
    /// `is_limited` by a rate, the largest that was not heard of counts as having room.
    pub(crate) fn note_pressure(
        &self,
        view: &View,
        service: &str,
        node: &Name,
        told: TargetPressure,
        is_limited: bool,
        now: TimeMs,
    ) -> u32 {
        let mut known = self.lock();
        known.stats_of(node, now).note_pressure(told, now);
        let pressure_of = |target: &Arc<Target>| {
            let stats = known.stats.get(&target.node)?;
            stats.pressure(now)
        };
        let targets = view.targets(service);
        let heard = targets.iter().filter_map(pressure_of);
        if !is_limited {
            return TargetPressure::of_service(heard).unwrap_or(told.permille);
        }
        let unheard = targets
            .iter()
            .filter(|target| target.state.takes_work() && pressure_of(target).is_none());
        let largest = unheard.map(|target| target.slots).max();
        let with_room = largest.map(TargetPressure::assumed_idle);
        TargetPressure::of_service(heard.chain(with_room)).unwrap_or(told.permille)
    }

    /// How long answers of a target take; 0 while nothing is known.
    pub(crate) fn usual_latency_ms(&self, node: &Name) -> u64 {
        let known = self.lock();
        known.stats.get(node).map_or(0, TargetStats::latency_ms)
    }

    /// Whether a target that was not tried has room, as far as is known. One that this node has sent
    /// nothing yet counts as having room: calls stay in their failure domain, so targets of others are
    /// strangers until they are needed.
    pub(crate) fn has_room(&self, view: &View, service: &str, tried: &[Name], now: TimeMs) -> bool {
        let known = self.lock();
        view.targets(service)
            .iter()
            .filter(|target| target.state.takes_work() && !tried.contains(&target.node))
            .any(|target| {
                let stats = known.stats.get(&target.node);
                stats.is_none_or(|stats| stats.load_permille(target.slots, now) < 1_000)
            })
    }

    /// Takes in the end of an attempt. `ran` is the route of a call that ran well.
    pub(crate) fn ended(&self, node: &Name, end: AttemptNews, ran: Option<&Name>, now: TimeMs) {
        let mut known = self.lock();
        let known = &mut *known;
        if let Some(route) = ran {
            known.note_run(node, route, end.took_ms);
        }
        let Some(stats) = known.stats.get_mut(node) else {
            return;
        };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if let Some(domain) = &stats.remote_domain {
            if end.report.is_some() {
                known.reach.note_answer(domain);
            }
            if end.is_lost && known.reach.note_lost(now, domain, node) {
                self.closings.send_replace(());
            }
        }
        if let Some(report) = end.report {
            stats.note_report(report, now);
            stats.note_failing(end.failing_permille, now);
        }
        if end.is_closed {
            stats.note_unavailable(now);
        } else if end.report.is_some() {
            stats.note_success(end.took_ms);
        }
        if end.is_lost {
            stats.note_failure(now);
        }
    }

    /// Notes a first attempt in the budget of its service.
    pub(crate) fn first_attempt(&self, service: &Name) {
        self.lock().budget_of(service).record_first_attempt();
    }

    /// Takes a retry out of the budget of its service.
    pub(crate) fn try_retry(&self, service: &Name) -> bool {
        self.lock().budget_of(service).try_retry()
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().expect("no holder panics")
    }
}

impl Known {
    fn stats_of(&mut self, node: &Name, now: TimeMs) -> &mut TargetStats {
        self.stats
            .entry(node.clone())
            .or_insert_with(|| TargetStats::new(now))
    }

    /// A call of a route ran well at a target.
    fn note_run(&mut self, node: &Name, route: &Name, took_ms: u64) {
        let took_us = took_ms.max(1) * 1_000;
        if self.usual_us.len() >= MOST_ROUTES {
            self.usual_us.clear();
        }
        let usual_us = self.usual_us.entry(route.clone()).or_default();
        *usual_us = smoothed(*usual_us, took_us, USUAL_SHARE);
        if let Some(stats) = self.stats.get_mut(node) {
            stats.note_run(took_us, *usual_us);
        }
    }

    fn note_sent(&mut self, target: &Target, own_domain: &str, now: TimeMs) {
        if &*target.domain == own_domain {
            return;
        }
        self.reach.note_sent(now, &target.domain);
        let stats = self.stats_of(&target.node, now);
        if stats.remote_domain.is_none() {
            stats.remote_domain = Some(target.domain.clone());
        }
    }

    fn budget_of(&mut self, service: &Name) -> &mut RetryBudget {
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(BUDGET_PERCENT, BUDGET_BURST))
    }

    fn evict_gone(&mut self, view: &View) {
        if self.evicted_at_change == view.changes {
            return;
        }
        self.evicted_at_change = view.changes;
        self.stats.retain(|node, _| view.nodes.contains_key(node));
        self.budgets
            .retain(|service, _| view.services.contains_key(service));
    }
}

/// What an attempt showed of its target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptNews {
    pub(crate) report: Option<LoadReport>,
    /// Which share of calls fails at the target, in thousandths.
    pub(crate) failing_permille: u32,
    pub(crate) took_ms: u64,
    /// The target was not reached or fell silent.
    pub(crate) is_lost: bool,
    /// Its guard takes no work at all: it drains, or its backend server is down.
    pub(crate) is_closed: bool,
}

/// An attempt counted as in flight at its target until it has ended, however it ends.
pub(crate) struct InFlightAt {
    node: Arc<Node>,
    target: Name,
    since: TimeMs,
    news: AttemptNews,
}

impl InFlightAt {
    pub(crate) fn new(node: Arc<Node>, target: Name) -> Self {
        node.metrics.entry_in_flight.inc();
        Self {
            since: node.inputs.clock.now(),
            node,
            target,
            news: AttemptNews::default(),
        }
    }

    pub(crate) fn reported(&mut self, header: &AnswerHeader) {
        let reason = header.refusal.map(|refusal| refusal.reason);
        self.news.report = Some(header.load);
        self.news.took_ms = self.node.inputs.clock.now().since(self.since);
        self.news.is_closed = matches!(
            reason,
            Some(RefusalReason::Draining | RefusalReason::BackendDown | RefusalReason::NoTarget)
        );
    }

    pub(crate) fn lost(&mut self) {
        self.news.is_lost = true;
    }
}

impl Drop for InFlightAt {
    fn drop(&mut self) {
        self.node.metrics.entry_in_flight.dec();
        let now = self.node.inputs.clock.now();
        self.node.targets.ended(&self.target, self.news, None, now);
    }
}
