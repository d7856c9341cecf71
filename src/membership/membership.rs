//! The gossip state of one member, and its periodic steps.

use std::net::SocketAddr;

use fastrand::Rng;

use super::Action;
use super::DomainWatch;
use super::Liveness;
use super::Member;
use super::MemberTable;
use super::MembershipSettings;
use super::ProbeRing;
use super::Probes;
use super::SlotMapVersions;
use super::Update;
use super::UpdateBudget;
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

/// Number of probes in one cycle of probes inside and outside this node's own failure domain.
pub(super) const PROBE_CYCLE: u64 = 3;
/// After this many probe periods without a tick, this process is considered to have been paused:
/// the missing answers are then due to the pause.
const PAUSE_PERIODS: u64 = 3;
/// How often expired tombstones and failure domains without members are removed.
const SWEEP_PERIOD_MS: u64 = 10_000;
/// Minimum time between two refutations.
const REFUTATION_PERIOD_MS: u64 = 500;
/// Maximum number of routes whose use (by callers or by backend servers) is spread by gossip. For
/// further ones each node finds out by itself.
const MAX_ROUTES: usize = 4_096;
/// How often a node without other members in its table requests a full exchange from a seed.
const JOIN_PERIOD_MS: u64 = 1_000;

/// The times at which the periodic steps are due next, and of the last observations.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Schedule {
    pub last_tick: TimeMs,
    pub next_probe: TimeMs,
    pub next_rejoin: TimeMs,
    pub next_join: TimeMs,
    pub next_sweep: TimeMs,
    pub next_compare: TimeMs,
    pub next_exchange: TimeMs,
    pub last_members_equal: TimeMs,
    pub next_slot_compare: TimeMs,
    pub last_slots_equal: TimeMs,
    pub last_near_newer_config: TimeMs,
    pub last_far_newer_config: TimeMs,
    pub next_refutation: TimeMs,
}

/// One member of the gossip protocol: state, input and time go in, actions come out.
///
/// [`Self::handle`] takes datagrams, and [`Self::tick`] the passing of time. Call `tick` about ten
/// times in each probe period. Both return the actions to carry out. See docs/MEMBERSHIP.md.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) own: Target,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) rng: Rng,
    pub(super) table: MemberTable,
    pub(super) queue: UpdateQueue,
    pub(super) watch: DomainWatch,
    /// Failure domains from which no member of this node's own domain got an answer for longer than
    /// `cut_off_ms`.
    pub(super) silent: Vec<Name>,
    pub(super) probes: Probes,
    pub(super) budget: UpdateBudget,
    pub(super) slot_maps: SlotMapVersions,
    /// Routes of which it is known whether callers or backend servers use them.
    known_routes: FastSet<Name>,
    pub(super) config_version: u64,
    /// When the store was last known to hold no newer configuration.
    pub(super) config_confirmed: Option<TimeMs>,
    pub(super) store_era: u64,
    /// The header holds a new configuration version or store era that has to be pushed at once.
    pub(super) header_is_urgent: bool,
    /// This node's own failure domain has to be informed at once that another domain answers again.
    pub(super) answers_are_urgent: bool,
    pub(super) view: ViewBuilder,
    /// The highest incarnation of this node that peers hold and that this node has yet to override.
    to_refute: Option<u64>,
    pub(super) schedule: Schedule,
    pub(super) started: TimeMs,
    pub(super) own_ring: ProbeRing,
    pub(super) other_ring: ProbeRing,
    pub(super) probe_count: u64,
}

impl Membership {
    /// Creates a member with its own record and the seed addresses. The incarnation of `own` is
    /// chosen here. It rises once peers report what they hold under this node's name.
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
            budget: UpdateBudget::new(settings.update_bytes_per_s, settings.update_burst_bytes),
            slot_maps: SlotMapVersions::default(),
            known_routes: FastSet::default(),
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
        this.schedule.last_members_equal = now;
        this.schedule.next_probe = now + first_probe;
        this.put_own(now);
        this
    }

    /// This node's own record.
    pub fn own(&self) -> &Target {
        &self.own
    }

    /// The members known to this node.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The version of the configuration in force here, as it is sent to others.
    pub fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Whether any other member is known. Before that, it is unknown what peers hold about this
    /// node.
    pub fn has_joined(&self) -> bool {
        self.table.len() > 1
    }

    /// Changes this node's own record and spreads it at once. If nothing changed, nothing is sent.
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

    /// Adds seed addresses, for example from the platform's table.
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

    /// Records that at `at` the store held nothing newer than this version. It is ignored if
    /// another version is in force here, because it does not apply to that one.
    pub fn confirm_config(&mut self, version: u64, at: TimeMs) {
        if version == self.config_version {
            self.config_confirmed = self.config_confirmed.max(Some(at));
        }
    }

    /// When the store was last known to hold no newer configuration, as observed by any member.
    pub fn config_confirmed(&self) -> Option<TimeMs> {
        self.config_confirmed
    }

    /// Records a store era, and spreads it at once if it is newer than any known one. Returns
    /// whether it is.
    pub fn raise_store_era(&mut self, era: u64) -> bool {
        let is_newer = era > self.store_era;
        if is_newer {
            self.store_era = era;
            self.header_is_urgent = true;
        }
        is_newer
    }

    /// Sets the version of a slot map held here, and spreads it at once.
    pub fn set_slot_map_version(&mut self, service: &Name, version: u64) {
        if self.slot_maps.raise(service, version) {
            let service = service.clone();
            self.queue.push(Update::SlotMap { service, version }, true);
        }
    }

    /// Records whether callers or backend servers use a route if that was unknown, and spreads it
    /// at once. Returns whether it was unknown.
    ///
    /// Without gossip, each node determines the use by itself, or from the answers to a few calls
    /// of its own, which are late after a restart of all nodes. A fleet of hundreds of nodes then
    /// takes five seconds until it refuses requests that cannot complete. With gossip, the first
    /// node that determines the use informs all others. A known use is not replaced here.
    /// Corrections come from the guards, which continue to determine it and report it with each
    /// answer.
    pub fn set_route_use(&mut self, route: &Name, by: RouteOrigin) -> bool {
        if self.known_routes.len() >= MAX_ROUTES || !self.known_routes.insert(route.clone()) {
            return false;
        }
        let route = route.clone();
        self.queue.push(Update::RouteUse { route, by }, true);
        true
    }

    /// The current view. Only the parts that changed are rebuilt.
    pub fn view(&mut self) -> View {
        let cut_off = self.cut_off_domains();
        self.view.build(&self.table, cut_off)
    }

    /// Runs the steps that are due.
    pub fn tick(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now);
        self.refute_if_due(now);
        self.request_indirect_probes(now, &mut actions);
        self.suspect_failed(now, &mut actions);
        self.probe_overdue_suspects(now, &mut actions);
        self.update_silent_domains(now);
        if now >= self.schedule.next_probe {
            self.schedule.next_probe = now + self.settings.probe_period_ms;
            self.probe_next(now, &mut actions);
            self.send_extra_probes(now, &mut actions);
            self.refresh_domain_answers(now, &mut actions);
        }
        if now >= self.schedule.next_rejoin {
            self.schedule.next_rejoin = now + self.settings.rejoin_period_ms;
            self.ping_lost(now, &mut actions);
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

    /// Raises this node's incarnation above `held`, which peers hold about it. Two nodes with the
    /// same name would otherwise raise their incarnations as fast as the network allows, so this
    /// happens at most once in [`REFUTATION_PERIOD_MS`].
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

    /// Requests that the view be published, if it changed.
    pub(super) fn publish_if_stale(&self, actions: &mut Vec<Action>) {
        if self.view.is_stale(&self.cut_off_domains()) {
            actions.push(Action::Publish);
        }
    }

    /// Whether a failure domain is silent, so that the liveness of its members cannot be judged.
    pub(super) fn is_silent(&self, domain: &str) -> bool {
        self.silent.iter().any(|silent| &**silent == domain)
    }

    fn put_own(&mut self, now: TimeMs) {
        let before = self.table.get(&self.own.node);
        let service_before = before.map(|member| member.record.service.clone());
        let services = service_before.iter().chain([&self.own.service]);
        self.view.mark_changed(&self.own.node, services);
        self.table.put(self.own.clone(), now);
        self.watch.watch(&self.own.domain, now);
        self.queue.push(Update::Own(self.own.clone()), true);
    }

    pub(super) fn set_liveness(&mut self, member: &Member, liveness: Liveness, now: TimeMs) {
        self.view
            .mark_changed(&member.record.node, [&member.record.service].into_iter());
        self.table.set_liveness(&member.record.node, liveness, now);
    }

    /// Detects a pause of this process. A paused process receives nothing. Without this guard it
    /// would, once it resumes, declare every member dead that had yet to answer.
    fn detect_pause(&mut self, now: TimeMs) {
        let pause_ms = now.since(self.schedule.last_tick);
        self.schedule.last_tick = now;
        if pause_ms < PAUSE_PERIODS * self.settings.probe_period_ms {
            return;
        }
        log::info!("gossip: process resumed after a pause pause_ms={pause_ms}");
        self.probes.clear();
        self.watch.restart(now);
        self.table.restart_suspicions(now);
    }

    /// Whether this is another member that can be expected to answer.
    pub(super) fn is_usable(&self, member: &Member) -> bool {
        !member.is_tombstone()
            && member.record.node != self.own.node
            && member.liveness == Liveness::Alive
            && !self.is_silent(&member.record.domain)
    }

    /// The failure domains that cannot be reached from here. This node's own domain is never among
    /// them, because it can be reached from within.
    pub fn cut_off_domains(&self) -> Vec<Name> {
        let not_own = |domain: &&Name| **domain != self.own.domain;
        self.silent.iter().filter(not_own).cloned().collect()
    }

    fn sweep(&mut self, now: TimeMs) {
        let removed = self.table.remove_tombstones(now, &self.settings);
        for node in &removed {
            self.view.mark_changed(node, std::iter::empty());
        }
        let table = &self.table;
        self.watch.retain(|domain| table.alive_in(domain) > 0);
    }
}
