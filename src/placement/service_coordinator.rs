//! The load of one service, as known to the coordinator of a failure domain.

use std::sync::Arc;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::core::View;
use crate::placement::DomainLoad;
use crate::placement::DomainSplit;
use crate::placement::LoadFigures;
use crate::placement::PlacementConf;
use crate::placement::ServiceLoad;
use crate::placement::ServiceReport;
use crate::placement::TargetFigures;
use crate::placement::coordinator_context::CoordinatorContext;
use crate::placement::report_timer::RateChange;
use crate::placement::report_timer::ReportTimer;
use crate::placement::split;

/// Figures older than this are not used, in milliseconds: their sender is gone or cut off, and two
/// or more messages of it are missing.
const MAX_AGE_MS: u64 = 4_000;
/// The most nodes whose reports are kept. Reports of further ones are dropped.
const MAX_REPORTERS: usize = 1_024;
/// The most other failure domains whose loads are kept. Those of further ones are dropped.
const MAX_DOMAINS: usize = 64;
/// The run time of a target while that of no target of its service is known, in microseconds.
const UNKNOWN_RUN_US: f32 = 100_000.0;
/// The run times that are believed, in microseconds. They bound the capacity that a target with a
/// wrong figure can claim.
const MIN_RUN_US: u32 = 100;
const MAX_RUN_US: u32 = 60_000_000;
/// The highest pressure that is believed, in thousandths.
const MAX_PRESSURE_PERMILLE: u32 = 4_000;
/// For this time a snapshot of the loads is used again, in milliseconds.
const SNAPSHOT_MS: u64 = 100;
/// A change of a domain's load by this much since a node's last reply is sent to the node without
/// waiting for its next report. It is more than what domains report to each other, because a reply
/// has the loads of all domains and one of them nearly always changes a little.
const RESENT_CHANGE: RateChange = RateChange {
    part: 5.0,
    deviations: 2.5,
};
/// The least time between two replies to a node that are sent without a report, in milliseconds.
const RESENT_GAP_MS: u64 = 300;
/// A failure domain needs the loads of others from this percentage of the demand or the pressure on
/// at which its calls would begin to leave. The loads are then known before they are used, unless
/// demand rises by a third within the time of one exchange.
const NEEDS_LOADS_PERCENT: f32 = 75.0;

#[derive(Clone, Debug)]
struct Held<T> {
    at: TimeMs,
    figures: T,
}

impl<T> Held<T> {
    fn is_recent(&self, now: TimeMs) -> bool {
        now.since(self.at) <= MAX_AGE_MS
    }
}

/// The loads of a service by failure domain, and the split of the own domain's calls that follows
/// from them.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LoadSnapshot {
    pub at: TimeMs,
    /// The own domain comes first.
    pub loads: Vec<(Name, LoadFigures)>,
    pub split: DomainSplit,
}

impl LoadSnapshot {
    pub fn domain_loads(&self) -> Vec<DomainLoad> {
        let loads = self.loads.iter();
        loads
            .map(|(domain, load)| domain_load(domain, *load))
            .collect()
    }

    /// Whether the own domain's targets may soon be full, or are. The pressure shows what other
    /// domains send here.
    fn is_nearly_full(&self, conf: PlacementConf) -> bool {
        let Some((_, own)) = self.loads.first() else {
            return false;
        };
        let from_permille = conf.stay_permille as f32 * NEEDS_LOADS_PERCENT / 100.0;
        let capacity = own.capacity_tenths as f32 * from_permille / 1_000.0;
        own.slots > 0
            && (own.demand_tenths as f32 >= capacity
                || own.pressure_permille as f32 >= from_permille)
    }

    /// Whether the loads of another snapshot differ so much that the split may be quite different.
    fn differs_from(&self, other: &Self) -> bool {
        self.loads.len() != other.loads.len()
            || self.loads.iter().zip(&other.loads).any(
                |((domain, load), (other_domain, other_load))| {
                    domain != other_domain || RESENT_CHANGE.is_exceeded(other_load, load)
                },
            )
    }
}

#[derive(Clone, Debug)]
struct Reporter {
    report: ServiceReport,
    /// When the last reply to the node was sent, and the snapshot in it.
    last_reply: Option<(TimeMs, Arc<LoadSnapshot>)>,
}

/// The reports of the own failure domain's nodes and the loads of the other domains.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceCoordinator {
    reports: FastMap<Name, Held<Reporter>>,
    domains: FastMap<Name, Held<LoadFigures>>,
    /// When each other domain last asked for the own domain's load.
    wanted: FastMap<Name, TimeMs>,
    snapshot: Option<Arc<LoadSnapshot>>,
    /// When the own domain's load was last sent to other domains.
    pub sent: ReportTimer,
}

impl ServiceCoordinator {
    pub fn apply_report(&mut self, now: TimeMs, from: &Name, report: ServiceReport) {
        if self.reports.len() >= MAX_REPORTERS && !self.reports.contains_key(from) {
            return;
        }
        let last_reply = self
            .reports
            .get(from)
            .map(|held| held.figures.last_reply.clone());
        let figures = Reporter {
            report,
            last_reply: last_reply.flatten(),
        };
        self.reports.insert(from.clone(), Held { at: now, figures });
    }

    pub fn apply_domain(&mut self, now: TimeMs, domain: &Name, load: &ServiceLoad) {
        if self.domains.len() >= MAX_DOMAINS && !self.domains.contains_key(domain) {
            return;
        }
        let figures = load.load;
        self.domains
            .insert(domain.clone(), Held { at: now, figures });
        if load.wants_loads && self.wanted.insert(domain.clone(), now).is_none() {
            // The domain has no load of this one yet.
            self.sent = ReportTimer::default();
        }
    }

    /// Drops what is too old. Returns whether anything is left.
    pub fn expire(&mut self, now: TimeMs) -> bool {
        self.reports.retain(|_, held| held.is_recent(now));
        self.domains.retain(|_, held| held.is_recent(now));
        self.wanted.retain(|_, at| now.since(*at) <= MAX_AGE_MS);
        !self.reports.is_empty() || !self.domains.is_empty()
    }

    /// Whether any node of the own domain reports.
    pub fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    /// When the last report or load arrived.
    pub fn last_used(&self) -> TimeMs {
        let reports = self.reports.values().map(|held| held.at);
        let domains = self.domains.values().map(|held| held.at);
        reports.chain(domains).max().unwrap_or_default()
    }

    /// Whether the domain has recently asked for the own domain's load.
    pub fn is_wanted_by(&self, domain: &str) -> bool {
        self.wanted.contains_key(domain)
    }

    /// Whether any domain has recently asked for the own domain's load.
    pub fn is_wanted(&self) -> bool {
        !self.wanted.is_empty()
    }

    /// Whether the own domain needs the loads of the others.
    ///
    /// A domain whose targets are far from full keeps its calls whatever the others' loads are. A
    /// domain without a target needs the loads while a domain with targets does: before that all
    /// targets have room, wherever its calls go. Domains without a target do not count here, since
    /// two of them would keep each other asking.
    pub fn needs_loads(&self, snapshot: &LoadSnapshot, conf: PlacementConf) -> bool {
        let has_no_target = snapshot
            .loads
            .first()
            .is_some_and(|(_, own)| own.slots == 0);
        let is_asked = self.wanted.keys().any(|domain| {
            let held = self.domains.get(domain);
            held.is_some_and(|held| held.figures.slots > 0)
        });
        snapshot.is_nearly_full(conf) || has_no_target && is_asked
    }

    /// Whether the node gets a reply to its report. Without one its entry places calls as without
    /// a split.
    ///
    /// None is needed while the domain needs no loads and none are known. A domain without a target
    /// must know the loads of all `domains_with_target`, or it would send all its calls to the few
    /// that it knows.
    pub fn should_reply(
        &self,
        node: &str,
        snapshot: &LoadSnapshot,
        domains_with_target: &[Name],
        conf: PlacementConf,
    ) -> bool {
        let is_known = |domain: &Name| snapshot.loads.iter().any(|(known, _)| known == domain);
        let has_no_target = snapshot
            .loads
            .first()
            .is_some_and(|(_, own)| own.slots == 0);
        if has_no_target && !domains_with_target.iter().all(is_known) {
            return false;
        }
        if snapshot.loads.len() == 1 && !self.needs_loads(snapshot, conf) {
            return false;
        }
        let Some(held) = self.reports.get(node) else {
            return false;
        };
        let last_reply = held.figures.last_reply.as_ref();
        let is_outdated =
            last_reply.is_none_or(|(_, last_reply)| snapshot.differs_from(last_reply));
        held.figures.report.wants_reply || held.figures.report.calls_service && is_outdated
    }

    /// The loads of all reachable domains of which something recent is known, and the split.
    ///
    /// It is computed again only after [`SNAPSHOT_MS`], because a busy coordinator replies to many
    /// reports in that time.
    pub fn snapshot(
        &mut self,
        now: TimeMs,
        service: &str,
        context: &CoordinatorContext,
    ) -> Arc<LoadSnapshot> {
        let last = self.snapshot.as_ref();
        if let Some(last) = last.filter(|last| now.since(last.at) < SNAPSHOT_MS) {
            return last.clone();
        }
        let own_domain = context.domain;
        let others = self.domains.iter().filter(|(domain, held)| {
            let is_reachable = !context.unreachable.contains(domain);
            is_reachable && held.is_recent(now) && *domain != own_domain
        });
        let mut loads: Vec<(Name, LoadFigures)> = others
            .map(|(domain, held)| (domain.clone(), held.figures))
            .collect();
        loads.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        let own = self.own_load(now, context.view, service);
        loads.insert(0, (own_domain.clone(), own));
        let mut snapshot = LoadSnapshot {
            at: now,
            loads,
            split: DomainSplit::all_kept(),
        };
        snapshot.split = split(own_domain, &snapshot.domain_loads(), context.conf);
        let snapshot = Arc::new(snapshot);
        self.snapshot = Some(snapshot.clone());
        snapshot
    }

    /// The nodes whose last reply is so far from the snapshot that they should not wait until their
    /// next report.
    pub fn nodes_to_update(&self, now: TimeMs, snapshot: &LoadSnapshot) -> Vec<Name> {
        let outdated = self.reports.iter().filter(|(_, held)| {
            let last_reply = held.figures.last_reply.as_ref();
            held.figures.report.calls_service
                && last_reply.is_none_or(|(at, last_reply)| {
                    now.since(*at) >= RESENT_GAP_MS && snapshot.differs_from(last_reply)
                })
        });
        outdated.map(|(node, _)| node.clone()).collect()
    }

    /// Records a reply to a node.
    pub fn record_reply(&mut self, now: TimeMs, node: &Name, snapshot: &Arc<LoadSnapshot>) {
        if let Some(held) = self.reports.get_mut(node) {
            held.figures.last_reply = Some((now, snapshot.clone()));
        }
    }

    /// The load in the own failure domain.
    ///
    /// A target counts only while the view has it as a target of the service that accepts work, and
    /// for at most its announced slots.
    fn own_load(&self, now: TimeMs, view: &View, service: &str) -> LoadFigures {
        let recent = self.reports.iter().filter(|(_, held)| held.is_recent(now));
        let mut demand_per_s = 0.0;
        let mut targets: Vec<TargetFigures> = Vec::new();
        for (node, held) in recent {
            let report = &held.figures.report;
            demand_per_s += LoadFigures::per_s(report.demand_tenths);
            let announced = view.nodes.get(node);
            let announced = announced
                .filter(|target| &*target.service == service && target.state.accepts_calls());
            if let (Some(figures), Some(announced)) = (report.target, announced) {
                targets.push(bounded(figures, announced.slots));
            }
        }
        sum(demand_per_s, &targets)
    }
}

fn bounded(figures: TargetFigures, slots: u32) -> TargetFigures {
    TargetFigures {
        limit: figures.limit.min(slots),
        run_us: match figures.run_us {
            0 => 0,
            run_us => run_us.clamp(MIN_RUN_US, MAX_RUN_US),
        },
        pressure_permille: figures.pressure_permille.min(MAX_PRESSURE_PERMILLE),
    }
}

fn sum(demand_per_s: f32, targets: &[TargetFigures]) -> LoadFigures {
    let known = targets.iter().filter(|target| target.run_us > 0);
    let known_us: f32 = known.clone().map(|target| target.run_us as f32).sum();
    let mean_us = match known.count() {
        0 => UNKNOWN_RUN_US,
        count => known_us / count as f32,
    };
    let mut load = LoadFigures {
        demand_tenths: LoadFigures::tenths(demand_per_s),
        ..LoadFigures::default()
    };
    let mut capacity_per_s = 0.0;
    let mut weighted_pressure = 0;
    for target in targets {
        let run_us = match target.run_us {
            0 => mean_us,
            run_us => run_us as f32,
        };
        capacity_per_s += target.limit as f32 * 1e6 / run_us;
        weighted_pressure += u64::from(target.pressure_permille) * u64::from(target.limit);
        load.slots = load.slots.saturating_add(target.limit);
    }
    load.capacity_tenths = LoadFigures::tenths(capacity_per_s);
    let mean_pressure = weighted_pressure.checked_div(u64::from(load.slots));
    load.pressure_permille = mean_pressure.unwrap_or(0) as u32;
    load
}

pub(super) fn domain_load(domain: &Name, load: LoadFigures) -> DomainLoad {
    DomainLoad {
        domain: domain.clone(),
        demand_per_s: LoadFigures::per_s(load.demand_tenths),
        capacity_per_s: LoadFigures::per_s(load.capacity_tenths),
        slots: load.slots,
        pressure_permille: load.pressure_permille.min(MAX_PRESSURE_PERMILLE),
    }
}
