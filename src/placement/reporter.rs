//! What a node reports to the load coordinators of its failure domain.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::placement::LoadFigures;
use crate::placement::ServicePlacement;
use crate::placement::ServiceReport;
use crate::placement::TargetFigures;
use crate::placement::coordinator_choice::weight;
use crate::placement::demand_change;
use crate::placement::report_timer::PERIOD_MS;
use crate::placement::report_timer::ReportTimer;
use crate::placement::smoothed_value::SmoothedValue;

/// The most services that a node reports on. Beyond it the least recently called one is evicted.
const MAX_SERVICES: usize = 256;
/// A service that the entry has not called for this time is no longer reported, in milliseconds.
/// Its smoothed demand is 0 by then.
const IDLE_MS: u64 = 10_000;
/// A node that received a reply within this time does not ask for another one, in milliseconds.
/// Otherwise replies would follow each change of its own demand. It counts received replies, so the
/// next report replaces a lost one.
const REPLY_RECENT_MS: u64 = 1_000;
/// A reply this old is overdue, in milliseconds: a report or its reply was lost. Reports are then
/// repeated before their period ends, because two lost in a row would outlast the placement.
const REPLY_OVERDUE_MS: u64 = 1_800;
/// A node that has received no reply for this time no longer repeats reports, in milliseconds: its
/// coordinator is gone, or has nothing to send.
const REPLY_GIVEN_UP_MS: u64 = 4_000;

/// First attempts of a node's entry, by service, since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct FirstAttempts {
    counts: FastMap<Name, u32>,
}

impl FirstAttempts {
    /// Counts a first attempt. A service beyond the bound is not counted until the next take.
    pub fn record(&mut self, service: &Name) {
        if let Some(count) = self.counts.get_mut(service) {
            *count = count.saturating_add(1);
        } else if self.counts.len() < MAX_SERVICES {
            self.counts.insert(service.clone(), 1);
        }
    }

    /// Returns the counts and starts again from 0.
    pub fn take(&mut self) -> FastMap<Name, u32> {
        std::mem::take(&mut self.counts)
    }
}

/// The backend server beside a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalTarget {
    pub service: Name,
    pub figures: TargetFigures,
}

/// The last reply of a coordinator.
#[derive(Clone, Debug)]
struct Reply {
    at: TimeMs,
    /// The demand in the node's last report before it.
    reported_tenths: u32,
    placement: ServicePlacement,
}

#[derive(Clone, Debug)]
struct Reported {
    demand_per_s: SmoothedValue,
    pressure_permille: SmoothedValue,
    /// When the entry last called the service.
    called_at: Option<TimeMs>,
    /// When the entry last called the service or the backend server last ran it.
    used_at: TimeMs,
    reply: Option<Reply>,
    timer: ReportTimer,
}

impl Reported {
    fn new(now: TimeMs, stagger_ms: u64) -> Self {
        Self {
            demand_per_s: SmoothedValue::new(now, 0.0),
            pressure_permille: SmoothedValue::new(now, 0.0),
            called_at: None,
            used_at: now,
            reply: None,
            timer: ReportTimer::staggered(stagger_ms),
        }
    }

    fn is_called(&self, now: TimeMs) -> bool {
        self.called_at
            .is_some_and(|called_at| now.since(called_at) < IDLE_MS)
    }

    fn has_recent_reply(&self, now: TimeMs) -> bool {
        self.reply_age_ms(now)
            .is_some_and(|age_ms| age_ms < REPLY_RECENT_MS)
    }

    fn is_reply_overdue(&self, now: TimeMs) -> bool {
        self.reply_age_ms(now)
            .is_some_and(|age_ms| (REPLY_OVERDUE_MS..REPLY_GIVEN_UP_MS).contains(&age_ms))
    }

    fn reply_age_ms(&self, now: TimeMs) -> Option<u64> {
        self.reply.as_ref().map(|reply| now.since(reply.at))
    }

    /// The estimated change of the own domain's demand since the last reply; see [`demand_change`].
    fn change_since(&self, reply: &Reply) -> f32 {
        let reported_per_s = LoadFigures::per_s(reply.reported_tenths);
        demand_change(reported_per_s, self.demand_per_s.get())
    }
}

/// The services that a node's entry calls or that its backend server runs.
#[derive(Clone, Debug)]
pub(super) struct Reporter {
    node: Name,
    services: FastMap<Name, Reported>,
    target: Option<LocalTarget>,
}

impl Reporter {
    pub fn new(node: Name) -> Self {
        Self {
            node,
            services: FastMap::default(),
            target: None,
        }
    }

    /// Updates the figures. To be called every 100 ms or so.
    pub fn update(
        &mut self,
        now: TimeMs,
        attempts: &FastMap<Name, u32>,
        target: Option<LocalTarget>,
    ) {
        let own = target.as_ref().map(|target| &target.service);
        for service in attempts.keys().chain(own) {
            self.ensure(now, service);
        }
        for (service, reported) in &mut self.services {
            let count = attempts.get(service).copied().unwrap_or(0);
            reported.demand_per_s.record_events(now, count);
            if count > 0 {
                reported.called_at = Some(now);
                reported.used_at = now;
            }
        }
        if let Some(target) = &target
            && let Some(reported) = self.services.get_mut(&target.service)
        {
            let sample = target.figures.pressure_permille as f32;
            reported.pressure_permille.record(now, sample);
            reported.used_at = now;
        }
        self.services
            .retain(|_, reported| now.since(reported.used_at) < IDLE_MS);
        self.target = target;
    }

    /// The reports that are due, among those of the services for which `is_exchanged` holds.
    pub fn due(&mut self, now: TimeMs, is_exchanged: impl Fn(&str) -> bool) -> Vec<ServiceReport> {
        let mut due = Vec::new();
        for (service, reported) in &mut self.services {
            if !is_exchanged(service) {
                continue;
            }
            let target = self.target.as_ref().filter(|own| own.service == *service);
            let target = target.map(|own| TargetFigures {
                pressure_permille: reported.pressure_permille.get().round() as u32,
                ..own.figures
            });
            let figures = LoadFigures {
                demand_tenths: LoadFigures::tenths(reported.demand_per_s.get()),
                capacity_tenths: target.map_or(0, |target| target.capacity_tenths()),
                slots: target.map_or(0, |target| target.limit),
                pressure_permille: target.map_or(0, |target| target.pressure_permille),
            };
            let repeats = reported.is_reply_overdue(now) && reported.timer.may_send(now);
            if !repeats && !reported.timer.is_due(now, &figures) {
                continue;
            }
            reported.timer.record_sent(now, figures);
            due.push(ServiceReport {
                service: service.clone(),
                demand_tenths: figures.demand_tenths,
                calls_service: reported.is_called(now),
                wants_reply: reported.is_called(now) && !reported.has_recent_reply(now),
                target,
            });
        }
        due
    }

    /// Records the placement in a reply of a coordinator. Returns the estimated change of the own domain's
    /// demand since the report that it is based on.
    pub fn record_reply(
        &mut self,
        now: TimeMs,
        service: &str,
        placement: &ServicePlacement,
    ) -> f32 {
        let Some(reported) = self.services.get_mut(service) else {
            return 1.0;
        };
        let reply = Reply {
            at: now,
            reported_tenths: reported.timer.last_demand_tenths(),
            placement: placement.clone(),
        };
        let change = reported.change_since(&reply);
        reported.reply = Some(reply);
        change
    }

    /// The last received placements by which calls leave the own domain, with the estimated change of its
    /// demand since then.
    pub fn sending_placements(
        &self,
        now: TimeMs,
    ) -> impl Iterator<Item = (&Name, &ServicePlacement, f32)> {
        self.services.iter().filter_map(move |(service, reported)| {
            let reply = reported.reply.as_ref()?;
            let is_used = now.since(reply.at) < REPLY_GIVEN_UP_MS;
            let is_sending = !reply.placement.split.keeps_all();
            let change = reported.change_since(reply);
            (is_used && is_sending).then_some((service, &reply.placement, change))
        })
    }

    fn ensure(&mut self, now: TimeMs, service: &Name) {
        if self.services.contains_key(service) {
            return;
        }
        if self.services.len() >= MAX_SERVICES {
            let oldest = self.services.iter().min_by_key(|(_, each)| each.used_at);
            if let Some(service) = oldest.map(|(service, _)| service.clone()) {
                self.services.remove(&service);
            }
        }
        let stagger_ms = weight(service, &self.node) % PERIOD_MS;
        let reported = Reported::new(now, stagger_ms);
        self.services.insert(service.clone(), reported);
    }
}
