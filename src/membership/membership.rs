//! The state of one member and what it does as time passes.

use std::net::SocketAddr;

use fastrand::Rng;

use super::Action;
use super::DomainWatch;
use super::Member;
use super::MemberTable;
use super::MembershipSettings;
use super::NewsBudget;
use super::ProbeRing;
use super::Probes;
use super::SlotMapVersions;
use super::Liveness;
use super::Update;
use super::UpdateQueue;
use super::ViewBuilder;
use super::incarnation::first_incarnation;
use super::incarnation::incarnation_after;
use crate::core::FastSet;
use crate::core::Name;
use crate::core::RouteOrigin;
use crate::core::Target;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::core::View;

/// Length of the cycle of probes inside and outside the own failure domain.
pub(super) const PROBE_CYCLE: u64 = 3;
/// Missed periods after which this process was paused, and the silence was its own.
const PAUSE_PERIODS: u64 = 3;
/// How often tombstones and unknown failure domains are swept out.
const SWEEP_PERIOD_MS: u64 = 10_000;
/// The least time between two refutations.
const REFUTATION_PERIOD_MS: u64 = 500;
/// Routes of which it is told who uses them at most; the others are found out by each node.
const MOST_ROUTES: usize = 4_096;
/// How often a node that knows nobody asks a seed for all members.
const JOIN_PERIOD_MS: u64 = 1_000;

/// When the periodic steps are due next, and what was last seen.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Schedule {
    pub last_tick: TimeMs,
    pub next_probe: TimeMs,
    pub next_rejoin: TimeMs,
    pub next_join: TimeMs,
    pub next_sweep: TimeMs,
    pub next_compare: TimeMs,
    pub next_exchange: TimeMs,
    pub last_equal: TimeMs,
    pub next_slot_compare: TimeMs,
    pub last_slots_equal: TimeMs,
    pub last_near_config_news: TimeMs,
    pub last_far_config_news: TimeMs,
    pub next_refutation: TimeMs,
}

/// One member's share of the gossip: state, input and time in, actions out.
///
/// [`Self::handle`] takes datagrams and [`Self::tick`] the passing of time; call it about ten
/// times in each probe period. Both return what has to be done. See docs/MEMBERSHIP.md.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) own: Target,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) rng: Rng,
    pub(super) table: MemberTable,
    pub(super) queue: UpdateQueue,
    pub(super) watch: DomainWatch,
    /// Failure domains that nobody of the own domain got an answer from lately.
    pub(super) silent: Vec<Name>,
    pub(super) probes: Probes,
    pub(super) budget: NewsBudget,
    pub(super) slot_maps: SlotMapVersions,
    /// Routes of which it was told who uses them.
    told_routes: FastSet<Name>,
    pub(super) config_version: u64,
    /// When the store was last known to hold no newer configuration.
    pub(super) config_confirmed: Option<TimeMs>,
    pub(super) store_era: u64,
    /// The header has news (a new configuration, a new era of the store) that is to be pushed at once.
    pub(super) header_is_urgent: bool,
    /// The own failure domain is to hear at once that another one answers again.
    pub(super) answers_are_urgent: bool,
    pub(super) view: ViewBuilder,
    /// The highest incarnation that peers hold about this node and that it has yet to override.
    to_refute: Option<u64>,
    pub(super) schedule: Schedule,
    pub(super) started: TimeMs,
    pub(super) own_ring: ProbeRing,
    pub(super) other_ring: ProbeRing,
    pub(super) probe_count: u64,
}

impl Membership {
    /// A member that knows itself and some addresses to begin with. The incarnation of `own` is
    /// chosen here; it rises once peers tell what they hold about the node's name.
    pub fn new(
        mut own: Target,
        seeds: Vec<SocketAddr>,
        settings: MembershipSettings,
        mut rng: Rng,
        now: TimeMs,
    ) -> Self {
        own.incarnation = first_incarnation(rng.u16(..));
        let own_address = own.control_address;
        let first_probe = rng.u64(0..settings.probe_period_ms.max(1));
        let probe_count = rng.u64(0..PROBE_CYCLE);
        let mut this = Self {
            settings,
            seeds: seeds
                .into_iter()
                .filter(|seed| *seed != own_address)
                .collect(),
            rng,
            table: MemberTable::new(),
            queue: UpdateQueue::default(),
            watch: DomainWatch::default(),
            silent: Vec::new(),
            probes: Probes::default(),
            budget: NewsBudget::new(settings.news_bytes_per_s, settings.news_burst_bytes),
            slot_maps: SlotMapVersions::default(),
            told_routes: FastSet::default(),
            config_version: 0,
            config_confirmed: None,
            store_era: 0,
            header_is_urgent: false,
            answers_are_urgent: false,
            view: ViewBuilder::default(),
            to_refute: None,
            schedule: Schedule::default(),
            started: now,
            own_ring: ProbeRing::default(),
            other_ring: ProbeRing::default(),
            probe_count,
            own,
        };
        this.schedule.last_tick = now;
        this.schedule.last_equal = now;
        this.schedule.next_probe = now + first_probe;
        this.put_own(now);
        this
    }

    /// This node's own record.
    pub fn own(&self) -> &Target {
        &self.own
    }

    /// All that is known.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The version of the configuration in force here, as it is told to others.
    pub fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Whether anybody else is known: before that, what peers hold about this node is unknown.
    pub fn has_joined(&self) -> bool {
        self.table.len() > 1
    }

    /// Changes what this node says of itself, and spreads it at once. No change, no news.
    pub fn set_own(&mut self, service: &Name, state: TargetState, slots: u32, now: TimeMs) {
        let own = &self.own;
        if own.service == *service && own.state == state && own.slots == slots {
            return;
        }
        self.own.service = service.clone();
        self.own.state = state;
        self.own.slots = slots;
        self.own.incarnation = incarnation_after(self.own.incarnation, self.own.incarnation);
        self.put_own(now);
    }

    /// Adds addresses to begin with, for example from the platform's table.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if *seed != self.own.control_address && !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// Sets the version of the configuration in force here, and spreads it at once.
    pub fn set_config_version(&mut self, version: u64) {
        if version > self.config_version {
            self.config_version = version;
            self.header_is_urgent = true;
        }
    }

    /// The store has said `at` that it holds nothing newer than this version. Its word on another version
    /// than the one in force here says nothing of that.
    pub fn confirm_config(&mut self, version: u64, at: TimeMs) {
        if version == self.config_version {
            self.config_confirmed = self.config_confirmed.max(Some(at));
        }
    }

    /// When the store was last known to hold no newer configuration, by its word to anybody.
    pub fn config_confirmed(&self) -> Option<TimeMs> {
        self.config_confirmed
    }

    /// Takes in an era of the store, and spreads it at once if it is newer than any that was known.
    /// Answers whether it is.
    pub fn raise_store_era(&mut self, era: u64) -> bool {
        let rises = era > self.store_era;
        if rises {
            self.store_era = era;
            self.header_is_urgent = true;
        }
        rises
    }

    /// Sets the version of a slot map held here, and spreads it at once.
    pub fn set_slot_map_version(&mut self, service: &Name, version: u64) {
        if self.slot_maps.raise(service, version) {
            let service = service.clone();
            self.queue.push(Update::SlotMap { service, version }, true);
        }
    }

    /// Takes in who uses a route, if nothing was known of it, and spreads it at once. Answers whether it was news.
    ///
    /// Guards against a fleet of hundreds that takes five seconds after a restart of all to refuse what cannot
    /// complete: each node found out for itself, or by the answers to a few calls of its own, which come late
    /// just then. It holds because the first one to find out tells all others. Where something is known
    /// already, that stays: guards go on judging, and tell with each answer.
    pub fn set_route_use(&mut self, route: &Name, by: RouteOrigin) -> bool {
        if self.told_routes.len() >= MOST_ROUTES || !self.told_routes.insert(route.clone()) {
            return false;
        }
        let route = route.clone();
        self.queue.push(Update::RouteUse { route, by }, true);
        true
    }

    /// The present view; built anew only where it changed.
    pub fn view(&mut self) -> View {
        let cut_off = self.cut_off_domains();
        self.view.build(&self.table, cut_off)
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        self.notice_pause(now);
        self.refute_if_due(now);
        self.ask_helpers(now, &mut actions);
        self.suspect_failed(now, &mut actions);
        self.probe_overdue_suspects(now, &mut actions);
        self.judge_domains(now);
        if now >= self.schedule.next_probe {
            self.schedule.next_probe = now + self.settings.probe_period_ms;
            self.probe_next(now, &mut actions);
            self.probe_quiet_domains(now, &mut actions);
            self.ask_for_answers(now, &mut actions);
        }
        if now >= self.schedule.next_rejoin {
            self.schedule.next_rejoin = now + self.settings.rejoin_period_ms;
            self.try_lost(now, &mut actions);
        }
        if !self.has_joined() && now >= self.schedule.next_join {
            self.schedule.next_join = now + JOIN_PERIOD_MS;
            let seed = self.rng.choice(&self.seeds).copied();
            actions.extend(seed.map(|with| Action::Exchange { with }));
        }
        if now >= self.schedule.next_sweep {
            self.schedule.next_sweep = now + SWEEP_PERIOD_MS;
            self.sweep(now);
        }
        self.push_rumors(now, &mut actions);
        self.publish_if_stale(&mut actions);
        actions
    }

    /// Raises the own incarnation above `held`, which peers hold about this node. Two nodes with
    /// one name would outbid each other as fast as the network goes, so it is done at most once
    /// in a while.
    pub(super) fn refute(&mut self, held: u64, now: TimeMs) {
        self.to_refute = self.to_refute.max(Some(held));
        self.refute_if_due(now);
    }

    fn refute_if_due(&mut self, now: TimeMs) {
        if now < self.schedule.next_refutation {
            return;
        }
        if let Some(held) = self.to_refute.take() {
            log::info!("gossip: raise own incarnation held={held}");
            self.schedule.next_refutation = now + REFUTATION_PERIOD_MS;
            self.own.incarnation = incarnation_after(held, self.own.incarnation);
            self.put_own(now);
        }
    }

    /// Asks for the view to be published if it changed.
    pub(super) fn publish_if_stale(&self, actions: &mut Vec<Action>) {
        if self.view.is_stale(&self.cut_off_domains()) {
            actions.push(Action::Publish);
        }
    }

    /// Whether a failure domain is silent, so that nothing can be said of its members.
    pub(super) fn is_silent(&self, domain: &str) -> bool {
        self.silent.iter().any(|silent| &**silent == domain)
    }

    fn put_own(&mut self, now: TimeMs) {
        let before = self.table.get(&self.own.node);
        let service_before = before.map(|member| member.record.service.clone());
        let services = service_before.iter().chain([&self.own.service]);
        self.view.note(&self.own.node, services);
        self.table.put(self.own.clone(), now);
        self.watch.watch(&self.own.domain, now);
        self.queue.push(Update::Own(self.own.clone()), true);
    }

    pub(super) fn set_liveness(&mut self, member: &Member, liveness: Liveness, now: TimeMs) {
        self.view
            .note(&member.record.node, [&member.record.service].into_iter());
        self.table.set_liveness(&member.record.node, liveness, now);
    }

    /// A paused process heard nobody. Without this guard it would, on resuming, take everybody
    /// who owes it an answer for dead.
    fn notice_pause(&mut self, now: TimeMs) {
        let silence_ms = now.since(self.schedule.last_tick);
        self.schedule.last_tick = now;
        if silence_ms < PAUSE_PERIODS * self.settings.probe_period_ms {
            return;
        }
        log::info!("gossip: resumed after a pause pause_ms={silence_ms}");
        self.probes.clear();
        self.watch.restart(now);
        self.table.restart_suspicions(now);
    }

    /// Another member that can be expected to answer.
    pub(super) fn is_usable(&self, member: &Member) -> bool {
        !member.is_tombstone()
            && member.record.node != self.own.node
            && member.liveness == Liveness::Alive
            && !self.is_silent(&member.record.domain)
    }

    /// Failure domains that cannot be reached from here. The own one is never among them: it can
    /// be reached from within.
    pub fn cut_off_domains(&self) -> Vec<Name> {
        let not_own = |domain: &&Name| **domain != self.own.domain;
        self.silent.iter().filter(not_own).cloned().collect()
    }

    fn sweep(&mut self, now: TimeMs) {
        let forgotten = self.table.forget_tombstones(now, &self.settings);
        for node in &forgotten {
            self.view.note(node, std::iter::empty());
        }
        let table = &self.table;
        self.watch.retain(|domain| table.alive_in(domain) > 0);
    }
}
