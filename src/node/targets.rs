//! Statistics of targets measured by this node, target selection, and retry budgets.

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
use crate::placement::ServicePlacement;
use crate::retry::RetryBudget;
use crate::routing::DomainReachability;
use crate::routing::Pick;
use crate::routing::PickContext;
use crate::routing::PickerConf;
use crate::routing::PlacementReason;
use crate::routing::TargetPressure;
use crate::routing::TargetStats;
use crate::routing::place;
use crate::routing::smoothed;
use crate::wire::AnswerHeader;
use crate::wire::LoadReport;

/// Retries in percent of first attempts.
const BUDGET_PERCENT: u32 = 10;
/// Retries allowed in a row without first attempts in between.
const BUDGET_BURST: u32 = 20;

/// The maximum number of routes for which a usual latency is kept. When it is reached, all are
/// cleared and measured again.
const MAX_ROUTES: usize = 4_096;
/// A new latency moves the usual latency of its route by the difference divided by this.
const SMOOTHING_DIVISOR: u64 = 32;

#[derive(Default)]
struct TrackedTargets {
    stats: FastMap<Name, TargetStats>,
    budgets: FastMap<Name, RetryBudget>,
    reach: DomainReachability,
    /// The usual latency of each route over all targets, in microseconds.
    usual_us: FastMap<Name, u64>,
    /// The change counter of the view at the last eviction of removed targets.
    evicted_at_change: u64,
}

/// Shared by all calls. Bounded by the view: targets that are no longer in it are evicted.
pub(crate) struct Targets {
    tracked: Mutex<TrackedTargets>,
    conf: PickerConf,
    /// Changes whenever a failure domain becomes unreachable.
    unreachable_changes: watch::Sender<()>,
}

impl Targets {
    pub(crate) fn new() -> Self {
        Self::with_conf(PickerConf::default())
    }

    /// Creates targets with a configuration of the picker.
    pub(crate) fn with_conf(conf: PickerConf) -> Self {
        Self {
            tracked: Mutex::default(),
            conf,
            unreachable_changes: watch::Sender::new(()),
        }
    }

    /// Selects a target that was not tried and counts the call as in flight there. Also returns why
    /// the call goes to the target's failure domain.
    pub(crate) fn take(
        &self,
        view: &View,
        call: &CallToPlace<'_>,
        now: TimeMs,
    ) -> (Pick, Option<PlacementReason>) {
        let mut tracked = self.lock();
        tracked.evict_gone(view);
        let avoided = tracked.avoided_domains(view, now);
        let choice = PickContext {
            targets: view.targets(call.service),
            stats: &tracked.stats,
            own_domain: call.own_domain,
            cut_off_domains: &avoided,
            tried: call.tried,
            is_large: call.is_large,
            placement: call.placement,
        };
        let (picked, reason) = place(&choice, &self.conf, now, |n| fastrand::usize(..n));
        if let Pick::Take(target) = &picked {
            tracked.stats_of(&target.node, now).in_flight += 1;
            tracked.record_sent(target, call.own_domain, now);
        }
        (picked, reason)
    }

    /// The failure domains to which no calls are sent now.
    pub(crate) fn avoided_domains(&self, view: &View, now: TimeMs) -> Vec<Name> {
        self.lock().avoided_domains(view, now)
    }

    /// Waits until the failure domain becomes unreachable.
    pub(crate) async fn wait_until_unreachable(&self, domain: &Name) {
        let mut unreachable_changes = self.unreachable_changes.subscribe();
        while unreachable_changes.changed().await.is_ok() {
            if self.lock().reach.is_unreachable(domain) {
                return;
            }
        }
        std::future::pending().await
    }

    /// Counts a call as in flight at a target that was selected by other means.
    pub(crate) fn enter(&self, node: &Name, now: TimeMs) {
        self.lock().stats_of(node, now).in_flight += 1;
    }

    /// Records the pressure that one target of a service reported, and returns the pressure on the
    /// service. This is the mean over all targets that reported recently; see
    /// [`TargetPressure::of_service`]. If the target `is_limited` by a rate, the largest target that
    /// has not reported counts as having room. While the service's split sends calls away or a
    /// domain's demand is above `stay`, it is the mean over the reachable domains; see
    /// [`TargetPressure::of_domains`].
    pub(crate) fn record_pressure(
        &self,
        view: &View,
        report: &ReportedPressure<'_>,
        now: TimeMs,
    ) -> u32 {
        let mut tracked = self.lock();
        tracked
            .stats_of(report.node, now)
            .record_pressure(report.pressure, now);
        let pressure_of = |target: &Arc<Target>| {
            let stats = tracked.stats.get(&target.node)?;
            stats.pressure(now)
        };
        let targets = view.targets(report.service);
        let uneven = report
            .placement
            .filter(|placement| !placement.is_within_stay());
        let over_domains = uneven.and_then(|placement| {
            let unreachable = tracked.avoided_domains(view, now);
            let own_domain = report.own_domain;
            let own = targets
                .iter()
                .filter(|target| &*target.domain == own_domain);
            let own_permille = mean_pressure(own, pressure_of, report.is_limited);
            TargetPressure::of_domains(own_domain, own_permille, placement, &unreachable)
        });
        over_domains
            .or_else(|| mean_pressure(targets.iter(), pressure_of, report.is_limited))
            .unwrap_or(report.pressure.permille)
    }

    /// The usual latency of a target's answers, or 0 while unknown.
    pub(crate) fn usual_latency_ms(&self, node: &Name) -> u64 {
        let tracked = self.lock();
        tracked.stats.get(node).map_or(0, TargetStats::latency_ms)
    }

    /// Whether a target that was not tried has room, as far as known. A target to which this node
    /// has sent nothing yet counts as having room: calls stay in their failure domain, so targets
    /// of other domains are unknown until they are needed.
    pub(crate) fn has_room(&self, view: &View, service: &str, tried: &[Name], now: TimeMs) -> bool {
        let tracked = self.lock();
        view.targets(service)
            .iter()
            .filter(|target| target.state.accepts_calls() && !tried.contains(&target.node))
            .any(|target| {
                let stats = tracked.stats.get(&target.node);
                stats.is_none_or(|stats| stats.load_permille(target.slots, now) < 1_000)
            })
    }

    /// Records the end of an attempt. `ran` is the route of a call that completed.
    pub(crate) fn ended(&self, node: &Name, end: AttemptOutcome, ran: Option<&Name>, now: TimeMs) {
        let mut tracked = self.lock();
        let tracked = &mut *tracked;
        if let Some(route) = ran {
            tracked.record_run(node, route, end.took_ms);
        }
        let Some(stats) = tracked.stats.get_mut(node) else {
            return;
        };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if let Some(domain) = &stats.remote_domain {
            if end.report.is_some() {
                tracked.reach.record_answer(domain);
            }
            if end.is_lost && tracked.reach.record_lost(now, domain, node) {
                self.unreachable_changes.send_replace(());
            }
        }
        if let Some(report) = end.report {
            stats.record_report(report, now);
            stats.record_failing(end.failing_permille, now);
        }
        if end.is_closed {
            stats.record_unavailable(now);
        } else if end.report.is_some() {
            stats.record_success(end.took_ms);
        }
        if end.is_lost {
            stats.record_failure(now);
        }
    }

    /// Records a first attempt in the budget of its service.
    pub(crate) fn record_first_attempt(&self, service: &Name) {
        self.lock().budget_of(service).record_first_attempt();
    }

    /// Takes a retry from the budget of its service.
    pub(crate) fn try_retry(&self, service: &Name) -> bool {
        self.lock().budget_of(service).try_retry()
    }

    fn lock(&self) -> MutexGuard<'_, TrackedTargets> {
        self.tracked.lock().expect("no holder panics")
    }
}

/// The mean pressure on targets, weighted by slots; `None` if none has reported recently.
fn mean_pressure<'a>(
    targets: impl Iterator<Item = &'a Arc<Target>> + Clone,
    pressure_of: impl Fn(&Arc<Target>) -> Option<TargetPressure>,
    is_limited: bool,
) -> Option<u32> {
    let pressures = targets.clone().filter_map(&pressure_of);
    if !is_limited {
        return TargetPressure::of_service(pressures);
    }
    let unreported =
        targets.filter(|target| target.state.accepts_calls() && pressure_of(target).is_none());
    let largest = unreported.map(|target| target.slots).max();
    let with_room = largest.map(TargetPressure::assumed_idle);
    TargetPressure::of_service(pressures.chain(with_room))
}

impl TrackedTargets {
    fn avoided_domains(&self, view: &View, now: TimeMs) -> Vec<Name> {
        let mut avoided = self.reach.avoided(now);
        avoided.extend_from_slice(&view.cut_off_domains);
        avoided
    }

    fn stats_of(&mut self, node: &Name, now: TimeMs) -> &mut TargetStats {
        self.stats
            .entry(node.clone())
            .or_insert_with(|| TargetStats::new(now))
    }

    /// Records that a call of a route completed at a target.
    fn record_run(&mut self, node: &Name, route: &Name, took_ms: u64) {
        let took_us = took_ms.max(1) * 1_000;
        if self.usual_us.len() >= MAX_ROUTES {
            self.usual_us.clear();
        }
        let usual_us = self.usual_us.entry(route.clone()).or_default();
        *usual_us = smoothed(*usual_us, took_us, SMOOTHING_DIVISOR);
        if let Some(stats) = self.stats.get_mut(node) {
            stats.record_run(took_us, *usual_us);
        }
    }

    fn record_sent(&mut self, target: &Target, own_domain: &str, now: TimeMs) {
        if &*target.domain == own_domain {
            return;
        }
        self.reach.record_sent(now, &target.domain);
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

/// A call for which a target is selected.
pub(crate) struct CallToPlace<'a> {
    pub(crate) service: &'a str,
    pub(crate) own_domain: &'a str,
    /// Nodes already tried by the call.
    pub(crate) tried: &'a [Name],
    /// The call has a large body.
    pub(crate) is_large: bool,
    /// The service's current placement across failure domains, if any.
    pub(crate) placement: Option<&'a ServicePlacement>,
}

/// The pressure that a target reported of its service.
pub(crate) struct ReportedPressure<'a> {
    pub(crate) service: &'a str,
    pub(crate) own_domain: &'a str,
    pub(crate) node: &'a Name,
    pub(crate) pressure: TargetPressure,
    /// The target is limited by a rate.
    pub(crate) is_limited: bool,
    /// The service's current placement across failure domains, if any.
    pub(crate) placement: Option<&'a ServicePlacement>,
}

/// What one attempt revealed about its target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptOutcome {
    pub(crate) report: Option<LoadReport>,
    /// The share of calls that fail at the target, in thousandths.
    pub(crate) failing_permille: u32,
    pub(crate) took_ms: u64,
    /// The target was unreachable or stopped answering.
    pub(crate) is_lost: bool,
    /// Its guard accepts no work, because it is draining or its backend server is down.
    pub(crate) is_closed: bool,
}

/// Counts an attempt as in flight at its target until it has ended, however it ends.
pub(crate) struct InFlightAttempt {
    node: Arc<Node>,
    target: Name,
    since: TimeMs,
    outcome: AttemptOutcome,
}

impl InFlightAttempt {
    pub(crate) fn new(node: Arc<Node>, target: Name) -> Self {
        node.metrics.entry_in_flight.inc();
        Self {
            since: node.inputs.clock.now(),
            node,
            target,
            outcome: AttemptOutcome::default(),
        }
    }

    pub(crate) fn reported(&mut self, header: &AnswerHeader) {
        let reason = header.refusal.map(|refusal| refusal.reason);
        self.outcome.report = Some(header.load);
        self.outcome.took_ms = self.node.inputs.clock.now().since(self.since);
        self.outcome.is_closed = matches!(
            reason,
            Some(RefusalReason::Draining | RefusalReason::BackendDown | RefusalReason::NoTarget)
        );
    }

    pub(crate) fn lost(&mut self) {
        self.outcome.is_lost = true;
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.node.metrics.entry_in_flight.dec();
        let now = self.node.inputs.clock.now();
        self.node
            .targets
            .ended(&self.target, self.outcome, None, now);
    }
}
