//! What one member does with what it is sent.

use std::net::SocketAddr;

use super::Action;
use super::Applied;
use super::Body;
use super::Datagram;
use super::FixedDigest;
use super::Header;
use super::Membership;
use super::Receiver;
use super::Standing;
use super::Update;
use super::digest::BUCKETS;
use super::encoded_bytes;
use super::member_table::record_of;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::Target;
use crate::core::TargetState;
use crate::core::TimeMs;

/// With more differing buckets than this, everything is exchanged over a control call.
const MAX_DIFFERING_BUCKETS: usize = 16;
/// How many buckets are answered at once; the next comparison finds the rest.
const ANSWERED_BUCKETS: usize = 4;
/// After this many compare periods without equal digests, tables are compared although changes
/// still come in.
const PATIENT_PERIODS: u64 = 5;
/// The least time between two full exchanges that this node starts.
const EXCHANGE_PERIOD_MS: u64 = 2_000;
/// More new members than this from one exchange are not passed on one by one: others get them
/// by exchanges too.
const MAX_PASSED_ON: usize = 32;
/// The least time between two hints that a peer has newer configuration.
const CONFIG_NEWS_PERIOD_MS: u64 = 200;
/// How long digests of slot maps may differ before they are compared.
const SLOT_MAPS_DIFFER_MS: u64 = 5_000;

impl Membership {
    /// Takes in a datagram that came from `from`.
    pub fn handle(&mut self, now: TimeMs, from: SocketAddr, datagram: Datagram) -> Vec<Action> {
        let mut actions = Vec::new();
        let header = datagram.header;
        if header.from == self.own.node {
            return self.handle_namesake(now, from, header.incarnation);
        }
        for update in &datagram.updates {
            self.apply(update, from, now, &mut actions);
        }
        self.read_header(&header, from, now, &mut actions);
        let told = self.news_about_sender(&header);
        if let Body::Ping { sequence } = datagram.body {
            let told = told.into_iter().collect();
            let receiver = self.receiver(&header.from, from);
            let body = Body::Ack { sequence };
            self.send_telling(receiver, body, told, now, &mut actions);
        } else if let Some(update) = told {
            self.send_updates(from, vec![update], now, &mut actions);
        }
        self.handle_body(
            &header,
            datagram.body,
            &datagram.updates,
            from,
            now,
            &mut actions,
        );
        self.publish_if_stale(&mut actions);
        actions
    }

    /// All members, for a full exchange over a control call.
    pub fn all_members(&self) -> Vec<Target> {
        self.table
            .iter()
            .map(|member| {
                let mut target = member.own.clone();
                if member.standing == Standing::Dead {
                    target.state = TargetState::Dead;
                }
                target
            })
            .collect()
    }

    /// Answers a full exchange: takes in what the asker knows, and returns what it lacks or holds
    /// older.
    pub fn answer_exchange(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        members: &[Target],
    ) -> (Vec<Target>, Vec<Action>) {
        let theirs: FastMap<&Name, (u64, bool)> = members
            .iter()
            .map(|target| (&target.node, order_of_target(target)))
            .collect();
        let mut answer = self.all_members();
        answer.retain(|ours| {
            let held = theirs.get(&ours.node);
            held.is_none_or(|held| order_of_target(ours) > *held)
        });
        (answer, self.merge(now, from, members))
    }

    /// Takes in what a full exchange brought from `from`.
    pub fn merge(&mut self, now: TimeMs, from: SocketAddr, members: &[Target]) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_bulk = members.len() > self.table.len() + MAX_PASSED_ON;
        for target in members {
            let (node, incarnation) = (target.node.clone(), target.incarnation);
            if target.state != TargetState::Dead {
                self.apply_from(
                    &Update::Own(target.clone()),
                    from,
                    !is_bulk,
                    now,
                    &mut actions,
                );
                continue;
            }
            let mut own = target.clone();
            own.state = TargetState::Starting;
            let is_unknown = self.table.get(&node).is_none();
            if !is_unknown {
                self.apply_from(&Update::Own(own), from, false, now, &mut actions);
                let dead = Update::Dead { node, incarnation };
                self.apply_from(&dead, from, !is_bulk, now, &mut actions);
            }
        }
        self.publish_if_stale(&mut actions);
        actions
    }

    /// Somebody else uses this node's name: an earlier process's datagram that came late, or two
    /// nodes with the same settings. The larger incarnation wins the name.
    fn handle_namesake(&mut self, now: TimeMs, from: SocketAddr, incarnation: u64) -> Vec<Action> {
        if from != self.own.control_address && incarnation > self.own.incarnation {
            log::warn!("gossip: another node uses this node's name address={from}");
            self.refute(incarnation, now);
        }
        Vec::new()
    }

    fn apply(&mut self, update: &Update, from: SocketAddr, now: TimeMs, actions: &mut Vec<Action>) {
        self.apply_from(update, from, true, now, actions);
    }

    fn apply_from(
        &mut self,
        update: &Update,
        from: SocketAddr,
        passes_on: bool,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        if let Update::SlotMap { service, version } = update {
            actions.extend(self.slot_map_news(service, *version, from, now));
            return;
        }
        if self.apply_to_own(update, now) || self.is_unfounded(update) {
            return;
        }
        let node = node_of(update);
        let before = self.table.get(node).map(|held| held.own.service.clone());
        if self.table.apply(update, now, &self.settings) != Applied::Newer {
            return;
        }
        if let Update::Own(target) = update {
            self.watch.watch(&target.domain, now);
        }
        let member = self
            .table
            .get(node)
            .expect("an applied update has a member");
        log::debug!(
            "gossip: news node={node} state={:?}",
            member.published.state
        );
        let services = before.iter().chain([&member.own.service]);
        self.view.note(node, services);
        if passes_on {
            let is_urgent = !matches!(update, Update::Suspect { .. });
            self.queue.push(update.clone(), is_urgent);
        }
    }

    /// Handles updates about this node itself; returns whether it was one. What peers hold and
    /// this process did not say is overridden by a higher incarnation: it is a suspicion, or was
    /// said by an earlier process of this node.
    fn apply_to_own(&mut self, update: &Update, now: TimeMs) -> bool {
        if *node_of(update) != self.own.node {
            return false;
        }
        let held = match update {
            Update::Own(target) if *target == self.own => return true,
            Update::Own(target) => target.incarnation,
            Update::Suspect { incarnation, .. } | Update::Dead { incarnation, .. } => *incarnation,
            Update::SlotMap { .. } => return false,
        };
        if held >= self.own.incarnation && self.own.state != TargetState::Left {
            self.refute(held, now);
        }
        true
    }

    /// A suspicion of a member whose failure domain cannot be reached says nothing.
    fn is_unfounded(&self, update: &Update) -> bool {
        let Update::Suspect { node, .. } = update else {
            return false;
        };
        let member = self.table.get(node);
        member.is_some_and(|member| self.is_silent(&member.own.domain))
    }

    fn slot_map_news(
        &mut self,
        service: &Name,
        version: u64,
        from: SocketAddr,
        now: TimeMs,
    ) -> Option<Action> {
        let is_news = self.slot_maps.take_news(service, version, now);
        is_news.then(|| Action::SlotMapNews {
            from,
            service: service.clone(),
            version,
        })
    }

    fn read_header(
        &mut self,
        header: &Header,
        from: SocketAddr,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        if !header.heard.is_empty() {
            let quiet_ms = self.settings.quiet_ms;
            for domain in self.watch.merge(&header.heard, now, quiet_ms) {
                self.hear_again(&domain, now);
            }
        }
        let news_age_ms = now.since(self.schedule.last_config_news);
        if header.config_version > self.config_version && news_age_ms >= CONFIG_NEWS_PERIOD_MS {
            self.schedule.last_config_news = now;
            let version = header.config_version;
            actions.push(Action::ConfigNews { from, version });
        }
        self.compare_slot_maps(header, from, now, actions);
    }

    fn compare_slot_maps(
        &mut self,
        header: &Header,
        from: SocketAddr,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        if header.slot_maps_digest == self.slot_maps.digest() {
            self.schedule.last_slots_equal = now;
            return;
        }
        let differ_ms = now.since(self.schedule.last_slots_equal);
        if differ_ms >= SLOT_MAPS_DIFFER_MS && now >= self.schedule.next_slot_compare {
            self.schedule.next_slot_compare = now + SLOT_MAPS_DIFFER_MS;
            actions.push(Action::CompareSlotMaps { with: from });
        }
    }

    /// What this node holds against the sender, so that it can refute: a suspicion, a death, or a
    /// higher incarnation of an earlier process.
    fn news_about_sender(&self, header: &Header) -> Option<Update> {
        let held = self.table.get(&header.from)?;
        if held.own.incarnation < header.incarnation {
            return None;
        }
        let node = held.own.node.clone();
        let incarnation = held.own.incarnation;
        match held.standing {
            Standing::Suspected { .. } => Some(Update::Suspect { node, incarnation }),
            Standing::Dead => Some(record_of(held)),
            Standing::Trusted if incarnation > header.incarnation => Some(record_of(held)),
            Standing::Trusted => None,
        }
    }

    fn handle_body(
        &mut self,
        header: &Header,
        body: Body,
        updates: &[Update],
        from: SocketAddr,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        self.ask_unknown(header, from, now, actions);
        match body {
            Body::Ping { .. } => self.compare_members(header, from, now, actions),
            Body::Ack { sequence } => {
                self.handle_ack(sequence, now, actions);
                self.compare_members(header, from, now, actions);
            }
            Body::PingRequest { sequence, address } => {
                if let Some(sequence) = self.probes.start_relay(from, sequence, now) {
                    self.send_to(
                        Receiver::far(address),
                        Body::Ping { sequence },
                        now,
                        actions,
                    );
                }
            }
            Body::RelayedAck { sequence } => {
                if let Some(probe) = self.probes.finish(sequence) {
                    self.hear_suspect(&probe.node, now);
                }
            }
            Body::Rumor => {}
            Body::WhoAreYou => {
                let own = Update::Own(self.own.clone());
                self.send_updates(from, vec![own], now, actions);
            }
            Body::Buckets { digests } => self.answer_buckets(&digests, from, now, actions),
            Body::Entries { bucket, reply } => {
                if reply {
                    self.answer_entries(bucket, updates, from, now, actions);
                }
            }
        }
    }

    /// An answer proves that the failure domain can be reached; a relayed one proves only that
    /// the member lives.
    fn handle_ack(&mut self, sequence: u32, now: TimeMs, actions: &mut Vec<Action>) {
        if let Some((asker, sequence)) = self.probes.finish_relay(sequence) {
            self.send_to(
                Receiver::far(asker),
                Body::RelayedAck { sequence },
                now,
                actions,
            );
            return;
        }
        let Some(probe) = self.probes.finish(sequence) else {
            return;
        };
        let Some(member) = self.table.get(&probe.node) else {
            return;
        };
        let domain = member.own.domain.clone();
        self.hear_suspect(&probe.node, now);
        if self.watch.note(&domain, now) > self.settings.quiet_ms {
            self.hear_again(&domain, now);
        }
    }

    /// Asks who the sender is when it is unknown here, or known by an older incarnation only.
    fn ask_unknown(
        &mut self,
        header: &Header,
        from: SocketAddr,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        let held = self.table.get(&header.from);
        let is_known = held.is_some_and(|held| held.own.incarnation >= header.incarnation);
        if is_known {
            return;
        }
        if !self.has_joined() {
            self.start_exchange(from, now, actions);
        }
        self.send_to(Receiver::far(from), Body::WhoAreYou, now, actions);
    }

    /// Starts a comparison when the digests differ for long: just after a change they differ
    /// anyway, until the update has gone round.
    fn compare_members(
        &mut self,
        header: &Header,
        from: SocketAddr,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        if header.members_digest == self.table.digest() {
            self.schedule.last_equal = now;
            return;
        }
        if self.lacks_many(header.members) {
            self.start_exchange(from, now, actions);
            return;
        }
        let period_ms = self.settings.compare_period_ms;
        let is_settled = now.since(self.table.last_change()) >= period_ms;
        let is_overdue = now.since(self.schedule.last_equal) >= PATIENT_PERIODS * period_ms;
        if now < self.schedule.next_compare || !(is_settled || is_overdue) {
            return;
        }
        self.schedule.next_compare = now + period_ms + self.rng.u64(0..period_ms.max(1));
        let digests = self.table.buckets().map(FixedDigest).to_vec();
        self.send_to(Receiver::far(from), Body::Buckets { digests }, now, actions);
    }

    /// Whether a peer knows so many more members that comparing bucket by bucket is too slow; it
    /// is so when everything starts at once.
    fn lacks_many(&self, their_members: u32) -> bool {
        let ours = self.table.alive();
        their_members as usize > ours + ours / 8 + MAX_PASSED_ON / 4
    }

    fn start_exchange(&mut self, with: SocketAddr, now: TimeMs, actions: &mut Vec<Action>) {
        if now >= self.schedule.next_exchange {
            self.schedule.next_exchange = now + EXCHANGE_PERIOD_MS;
            actions.push(Action::Exchange { with });
        }
    }

    fn answer_buckets(
        &mut self,
        theirs: &[FixedDigest],
        from: SocketAddr,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        if theirs.len() != BUCKETS {
            return;
        }
        let ours = self.table.buckets();
        let mut differing: Vec<usize> = (0..BUCKETS)
            .filter(|bucket| ours[*bucket] != theirs[*bucket].0)
            .collect();
        if differing.len() > MAX_DIFFERING_BUCKETS {
            self.start_exchange(from, now, actions);
            return;
        }
        self.rng.shuffle(&mut differing);
        differing.truncate(ANSWERED_BUCKETS);
        for bucket in differing {
            let updates = self.table.bucket_updates(bucket);
            self.send_entries(bucket as u16, updates, true, from, now, actions);
        }
    }

    /// Sends back what is known better here than in the entries received.
    fn answer_entries(
        &mut self,
        bucket: u16,
        received: &[Update],
        from: SocketAddr,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        let theirs: FastMap<&Name, &Update> = received
            .iter()
            .map(|update| (node_of(update), update))
            .collect();
        let mut better = self.table.bucket_updates(bucket as usize % BUCKETS);
        better.retain(|ours| {
            theirs
                .get(node_of(ours))
                .is_none_or(|theirs| is_newer(ours, theirs))
        });
        if !better.is_empty() {
            self.send_entries(bucket, better, false, from, now, actions);
        }
    }

    /// A bucket that does not fit one datagram is sent in several; none of them is then complete,
    /// so no reply is asked for.
    fn send_entries(
        &mut self,
        bucket: u16,
        updates: Vec<Update>,
        reply: bool,
        to: SocketAddr,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        let parts = split(updates, self.settings.max_datagram_bytes);
        let reply = reply && parts.len() == 1;
        for updates in parts {
            let datagram = Datagram {
                header: self.header(false, now),
                body: Body::Entries { bucket, reply },
                updates,
            };
            actions.push(Action::Send { to, datagram });
        }
    }
}

/// The node an update is about; that of a slot map is no member's name.
fn node_of(update: &Update) -> &Name {
    match update {
        Update::Own(target) => &target.node,
        Update::Suspect { node, .. } | Update::Dead { node, .. } => node,
        Update::SlotMap { service, .. } => service,
    }
}

/// Whether `ours` overrides `theirs` about the same member.
fn is_newer(ours: &Update, theirs: &Update) -> bool {
    order_of(ours) > order_of(theirs)
}

fn order_of(update: &Update) -> (u64, u8) {
    match update {
        Update::Own(target) => (target.incarnation, 0),
        Update::Suspect { incarnation, .. } => (*incarnation, 1),
        Update::Dead { incarnation, .. } => (*incarnation, 2),
        Update::SlotMap { version, .. } => (*version, 0),
    }
}

fn order_of_target(target: &Target) -> (u64, bool) {
    (target.incarnation, target.state == TargetState::Dead)
}

/// Cuts updates into parts of at most `max_bytes`; an empty list is one empty part.
fn split(updates: Vec<Update>, max_bytes: usize) -> Vec<Vec<Update>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for update in updates {
        let update_bytes = encoded_bytes(&update);
        if bytes + update_bytes > max_bytes && bytes > 0 {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += update_bytes;
        parts
            .last_mut()
            .expect("there is always a part")
            .push(update);
    }
    parts
}
