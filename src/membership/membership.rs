//! The state of one member and what it does as time passes.

use std::net::SocketAddr;
use std::sync::Arc;

use fastrand::Rng;

use super::Action;
use super::Body;
use super::DomainWatch;
use super::Member;
use super::MemberTable;
use super::MembershipSettings;
use super::NewsBudget;
use super::ProbeRing;
use super::Probes;
use super::Receiver;
use super::SlotMapVersions;
use super::Standing;
use super::Update;
use super::UpdateQueue;
use super::ViewBuilder;
use super::incarnation::first_incarnation;
use super::incarnation::incarnation_after;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::Target;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::core::View;

/// Two of three probes go to the own failure domain, so that it works alike when cut off.
const OWN_DOMAIN_PROBES: u64 = 2;
/// Length of the cycle of probes inside and outside the own failure domain.
const PROBE_CYCLE: u64 = 3;
/// How many members are asked to probe one that did not answer.
const HELPERS: usize = 3;
/// How much longer than others a node waits that only heard of a suspicion.
const HEARSAY_PATIENCE: u64 = 3;
/// A failure domain whose last answer is older than this gets extra probes.
const QUIET_DOMAIN_MS: u64 = 1_500;
/// A node that knows of no answer for so long asks a member of its own domain for fresher news.
const STALE_ANSWER_MS: u64 = 2_500;
/// How many extra probes a quiet failure domain gets from the whole own domain in each period.
const QUIET_DOMAIN_PROBES: f64 = 2.0;
/// Missed periods after which this process was paused, and the silence was its own.
const PAUSE_PERIODS: u64 = 3;
/// How often tombstones and unknown failure domains are swept out.
const SWEEP_PERIOD_MS: u64 = 10_000;
/// How many seeds all members that know each other try in each rejoin period. When everything
/// starts at once, seeds would otherwise be asked by everybody for everything.
const SEED_TRIES: f64 = 8.0;
/// The least time between two refutations.
const REFUTATION_PERIOD_MS: u64 = 500;
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
    pub last_config_news: TimeMs,
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
    pub(super) config_version: u64,
    /// The header has news (a new configuration) that is to be pushed at once.
    pub(super) header_is_urgent: bool,
    /// The own failure domain is to hear at once that another one answers again.
    pub(super) answers_are_urgent: bool,
    pub(super) view: ViewBuilder,
    /// The highest incarnation that peers hold about this node and that it has yet to override.
    to_refute: Option<u64>,
    pub(super) schedule: Schedule,
    own_ring: ProbeRing,
    other_ring: ProbeRing,
    probe_count: u64,
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
            config_version: 0,
            header_is_urgent: false,
            answers_are_urgent: false,
            view: ViewBuilder::default(),
            to_refute: None,
            schedule: Schedule::default(),
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

    /// Sets the version of a slot map held here, and spreads it at once.
    pub fn set_slot_map_version(&mut self, service: &Name, version: u64) {
        if self.slot_maps.raise(service, version) {
            let service = service.clone();
            self.queue.push(Update::SlotMap { service, version }, true);
        }
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
        let service_before = before.map(|member| member.own.service.clone());
        let services = service_before.iter().chain([&self.own.service]);
        self.view.note(&self.own.node, services);
        self.table.put(self.own.clone(), now);
        self.watch.watch(&self.own.domain, now);
        self.queue.push(Update::Own(self.own.clone()), true);
    }

    fn set_standing(&mut self, member: &Member, standing: Standing, now: TimeMs) {
        self.view
            .note(&member.own.node, [&member.own.service].into_iter());
        self.table.set_standing(&member.own.node, standing, now);
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

    fn ask_helpers(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let unanswered = self
            .probes
            .take_unanswered(now, self.settings.direct_timeout_ms);
        for (sequence, probe) in unanswered {
            let helpers = self.choose_helpers(&probe.node);
            let address = probe.address;
            let receiver = self.receiver(&probe.node, address);
            self.send_to(receiver, Body::Ping { sequence }, now, actions);
            for helper in helpers {
                let body = Body::PingRequest { sequence, address };
                self.send_to(Receiver::far(helper), body, now, actions);
            }
        }
    }

    /// Helpers of different failure domains: where two domains cannot reach each other, a third
    /// may reach both, and the member must not be suspected.
    fn choose_helpers(&mut self, node: &Name) -> Vec<SocketAddr> {
        let mut by_domain: FastMap<Name, Vec<SocketAddr>> = FastMap::default();
        for member in self.table.iter() {
            let is_helper = member.own.node != *node && self.is_usable(member);
            if is_helper {
                let addresses = by_domain.entry(member.own.domain.clone()).or_default();
                addresses.push(member.own.control_address);
            }
        }
        let mut domains: Vec<Name> = by_domain.keys().cloned().collect();
        self.rng.shuffle(&mut domains);
        let mut helpers = Vec::new();
        while helpers.len() < HELPERS && !domains.is_empty() {
            domains.retain(|domain| !by_domain[domain].is_empty());
            for domain in &domains {
                let addresses = by_domain.get_mut(domain).expect("the domain is a key");
                let chosen = self.rng.usize(0..addresses.len());
                helpers.push(addresses.swap_remove(chosen));
            }
        }
        helpers.truncate(HELPERS);
        helpers
    }

    /// Another member that can be expected to answer.
    pub(super) fn is_usable(&self, member: &Member) -> bool {
        !member.is_tombstone()
            && member.own.node != self.own.node
            && member.standing == Standing::Trusted
            && !self.is_silent(&member.own.domain)
    }

    fn suspect_failed(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let failed = self.probes.take_failed(now, self.settings.probe_timeout_ms);
        for probe in failed.into_iter().filter(|probe| probe.judges) {
            let Some(member) = self.table.get(&probe.node).cloned() else {
                continue;
            };
            if member.is_tombstone() || self.is_silent(&member.own.domain) {
                continue;
            }
            match member.standing {
                Standing::Suspected { since, .. } if probe.is_last => {
                    self.bury(&member, since, now);
                }
                Standing::Suspected { since, .. } => {
                    let first_hand = true;
                    let standing = Standing::Suspected { since, first_hand };
                    self.table.set_standing(&probe.node, standing, now);
                }
                _ => self.suspect(&member, now, actions),
            }
        }
    }

    fn suspect(&mut self, member: &Member, now: TimeMs, actions: &mut Vec<Action>) {
        let node = member.own.node.clone();
        log::debug!("gossip: suspect node={node} domain={}", member.own.domain);
        let standing = Standing::Suspected {
            since: now,
            first_hand: true,
        };
        self.set_standing(member, standing, now);
        let incarnation = member.own.incarnation;
        let update = Update::Suspect { node, incarnation };
        self.queue.push(update.clone(), false);
        // The suspect hears of it first, so that it can refute.
        self.send_updates(member.own.control_address, vec![update], now, actions);
    }

    /// Probes suspects that did not refute in time once more. Nobody is taken to be dead on old
    /// failures: a link may have been down for a moment, and its suspicions come due when it is
    /// back. Those who only heard of the suspicion leave this to those who raised it, unless they
    /// are gone too.
    fn probe_overdue_suspects(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let overdue = |member: &&Member| match member.standing {
            Standing::Suspected { since, first_hand } => {
                let patience = if first_hand { 1 } else { HEARSAY_PATIENCE };
                now.since(since) >= patience * self.settings.suspicion_ms
            }
            _ => false,
        };
        let overdue = self.table.suspects().filter(overdue);
        let overdue: Vec<Name> = overdue.map(|member| member.own.node.clone()).collect();
        for node in overdue {
            self.probe(&node, true, now, actions);
        }
    }

    /// Takes a suspect to be dead, provided that its failure domain answered since it was
    /// suspected. Without this guard a domain cut off would be declared dead member by member on
    /// the other side, and healing would take thousands of refutations.
    fn bury(&mut self, member: &Member, since: TimeMs, now: TimeMs) {
        if self.watch.last_answer(&member.own.domain) <= Some(since) {
            return;
        }
        let node = member.own.node.clone();
        log::info!("gossip: dead node={node} domain={}", member.own.domain);
        self.set_standing(member, Standing::Dead, now);
        let incarnation = member.own.incarnation;
        self.queue.push(Update::Dead { node, incarnation }, true);
    }

    /// Notes that a suspect answered. It was told of the suspicion and will refute it.
    pub(super) fn hear_suspect(&mut self, node: &Name, now: TimeMs) {
        let held = self.table.get(node).map(|member| member.standing);
        if let Some(Standing::Suspected { .. }) = held {
            let standing = Standing::Suspected {
                since: now,
                first_hand: false,
            };
            self.table.set_standing(node, standing, now);
        }
    }

    /// Finds the failure domains that fell silent. Suspicions of their members are dropped: it is
    /// the domain that cannot be reached, and on healing nobody has to refute.
    fn judge_domains(&mut self, now: TimeMs) {
        let silent = self.watch.silent(now, self.settings.cut_off_ms);
        if silent == self.silent {
            return;
        }
        log::info!("gossip: silent failure domains changed domains={silent:?}");
        self.silent = silent;
        for domain in self.silent.clone() {
            self.drop_suspicions(&domain, now);
        }
    }

    /// Notes that a failure domain answers after it did not for a while. Suspicions from that time
    /// prove nothing, and the own domain hears of it at once.
    pub(super) fn hear_again(&mut self, domain: &Name, now: TimeMs) {
        log::debug!("gossip: failure domain answers again domain={domain}");
        self.drop_suspicions(domain, now);
        self.answers_are_urgent |= self.is_silent(domain);
    }

    fn drop_suspicions(&mut self, domain: &Name, now: TimeMs) {
        let cleared: Vec<Member> = self
            .table
            .suspects()
            .filter(|member| member.own.domain == *domain)
            .cloned()
            .collect();
        for member in cleared {
            self.set_standing(&member, Standing::Trusted, now);
        }
    }

    /// Failure domains that cannot be reached from here. The own one is never among them: it can
    /// be reached from within.
    pub fn cut_off_domains(&self) -> Vec<Name> {
        let not_own = |domain: &&Name| **domain != self.own.domain;
        self.silent.iter().filter(not_own).cloned().collect()
    }

    fn probe_next(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let is_own_turn = self.probe_count % PROBE_CYCLE < OWN_DOMAIN_PROBES;
        self.probe_count += 1;
        let next = match is_own_turn {
            true => self.next_own().or_else(|| self.next_other()),
            false => self.next_other().or_else(|| self.next_own()),
        };
        if let Some(node) = next {
            self.probe(&node, false, now, actions);
        }
    }

    fn next_own(&mut self) -> Option<Name> {
        let (table, own) = (&self.table, &self.own);
        let refill = || {
            names_of(table, |member| {
                is_other(member, own) && is_near(member, own)
            })
        };
        self.own_ring.next(&mut self.rng, refill)
    }

    fn next_other(&mut self) -> Option<Name> {
        let (table, own, silent) = (&self.table, &self.own, &self.silent);
        let refill = || {
            names_of(table, |member| {
                let is_far = is_other(member, own) && !is_near(member, own);
                is_far && !silent.contains(&member.own.domain)
            })
        };
        self.other_ring.next(&mut self.rng, refill)
    }

    /// Probes failure domains that were not heard of lately. Each node does so with a chance that
    /// makes about two probes of the whole domain, however many nodes it has.
    fn probe_quiet_domains(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let quiet = self.watch.silent(now, QUIET_DOMAIN_MS);
        if quiet.is_empty() {
            return;
        }
        let own = &self.own;
        let near = self.table.iter().filter(|member| is_near(member, own));
        let near = near.filter(|member| !member.is_tombstone()).count();
        let chance = QUIET_DOMAIN_PROBES / near.max(1) as f64;
        for domain in quiet {
            if domain == self.own.domain || self.rng.f64() >= chance {
                continue;
            }
            let in_domain = |member: &Member| member.own.domain == domain;
            let names = names_of(&self.table, |member| {
                in_domain(member) && !member.is_tombstone()
            });
            if let Some(node) = self.rng.choice(&names).cloned() {
                self.probe(&node, false, now, actions);
            }
        }
    }

    /// Pings one more member of the own domain while some domain's last answer is old here:
    /// usually others heard a newer one, and the header of the answer brings it.
    fn ask_for_answers(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let old = self.watch.silent(now, STALE_ANSWER_MS);
        if old.iter().any(|domain| *domain != self.own.domain) {
            let next = self.next_own();
            if let Some(node) = next {
                self.probe(&node, false, now, actions);
            }
        }
    }

    fn probe(&mut self, node: &Name, is_last: bool, now: TimeMs, actions: &mut Vec<Action>) {
        let Some(member) = self.table.get(node) else {
            return;
        };
        if member.is_tombstone() {
            return;
        }
        let address = member.own.control_address;
        let standing = member.standing;
        let incarnation = member.own.incarnation;
        let member_is_near = is_near(member, &self.own);
        let judges = !self.is_silent(&member.own.domain);
        let Some(sequence) = self
            .probes
            .start(node.clone(), address, judges, is_last, now)
        else {
            return;
        };
        let node = node.clone();
        let told = match standing {
            Standing::Suspected { .. } => vec![Update::Suspect { node, incarnation }],
            _ => Vec::new(),
        };
        let receiver = Receiver {
            address,
            is_near: member_is_near,
        };
        self.send_telling(receiver, Body::Ping { sequence }, told, now, actions);
    }

    /// Tries one dead member and one seed that no member alive uses. They may have come back
    /// unheard, and two parts that know nothing of each other find together only this way.
    fn try_lost(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let dead = |member: &&Member| member.standing == Standing::Dead;
        let lost: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(dead)
            .map(|member| member.own.control_address)
            .collect();
        let chosen = self.rng.choice(&lost).copied();
        let unknown: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|seed| !self.is_address_alive(**seed))
            .copied()
            .collect();
        let chance = SEED_TRIES / self.table.alive().max(1) as f64;
        let tries_seed = self.rng.f64() < chance;
        let seed = self.rng.choice(&unknown).copied().filter(|_| tries_seed);
        for address in chosen.into_iter().chain(seed) {
            // Nobody waits for the answer; that it comes is what counts.
            let receiver = Receiver::far(address);
            self.send_to(receiver, Body::Ping { sequence: 0 }, now, actions);
        }
    }

    fn is_address_alive(&self, address: SocketAddr) -> bool {
        let mut alive = self.table.iter().filter(|member| !member.is_tombstone());
        alive.any(|member| member.own.control_address == address)
    }

    fn sweep(&mut self, now: TimeMs) {
        let forgotten = self.table.forget_tombstones(now, &self.settings);
        for node in &forgotten {
            self.view.note(node, std::iter::empty());
        }
        let table = &self.table;
        self.watch.retain(|domain| {
            let mut alive = table.iter().filter(|member| !member.is_tombstone());
            alive.any(|member| &*member.own.domain == domain)
        });
    }
}

fn is_other(member: &Member, own: &Target) -> bool {
    member.own.node != own.node && !member.is_tombstone()
}

fn is_near(member: &Member, own: &Target) -> bool {
    member.own.domain == own.domain
}

fn names_of(table: &MemberTable, wanted: impl Fn(&Member) -> bool) -> Vec<Name> {
    table
        .iter()
        .filter(|member| wanted(member))
        .map(|member| Arc::clone(&member.own.node))
        .collect()
}
