//! What one member does with what it is sent.

use std::net::SocketAddr;

use super::Action;
use super::Applied;
use super::Body;
use super::Datagram;
use super::Header;
use super::Membership;
use super::Receiver;
use super::Liveness;
use super::Update;
use super::age_tenths::moment_of;
use super::member_table::record_of;
use crate::core::Name;
use crate::core::TargetState;
use crate::core::TimeMs;

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

    pub(super) fn apply_from(
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
        if let Update::RouteUse { route, by } = update {
            if self.set_route_use(route, *by) {
                let (route, by) = (route.clone(), *by);
                actions.push(Action::RouteUse { route, by });
            }
            return;
        }
        if self.apply_to_own(update, now) || self.is_unfounded(update) {
            return;
        }
        let node = node_of(update);
        let before = self.table.get(node).map(|held| held.record.service.clone());
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
        let services = before.iter().chain([&member.record.service]);
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
            Update::SlotMap { .. } | Update::RouteUse { .. } => return false,
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
        member.is_some_and(|member| self.is_silent(&member.record.domain))
    }

    fn slot_map_news(
        &mut self,
        service: &Name,
        version: u64,
        from: SocketAddr,
        now: TimeMs,
    ) -> Option<Action> {
        let is_news = self.slot_maps.take_news(service, version, now);
        is_news.then(|| Action::NewerSlotMap {
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
        if let Some(confirmed) = moment_of(header.confirmed_tenths, now) {
            self.confirm_config(header.config_version, confirmed);
        }
        if self.raise_store_era(header.store_era) {
            let era = header.store_era;
            actions.push(Action::StoreEra { era });
        }
        if header.config_version > self.config_version {
            self.hint_at_config(header, from, now, actions);
        }
        self.compare_slot_maps(header, from, now, actions);
    }

    /// A near peer is hinted at beside a far one: what it hands over crosses no border.
    fn hint_at_config(
        &mut self,
        header: &Header,
        from: SocketAddr,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        let is_near = self.is_near(&header.from);
        let last = match is_near {
            true => &mut self.schedule.last_near_config_news,
            false => &mut self.schedule.last_far_config_news,
        };
        if now.since(*last) < CONFIG_NEWS_PERIOD_MS {
            return;
        }
        *last = now;
        actions.push(Action::NewerConfig {
            from,
            version: header.config_version,
            is_near,
        });
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
        if held.record.incarnation < header.incarnation {
            return None;
        }
        let node = held.record.node.clone();
        let incarnation = held.record.incarnation;
        match held.liveness {
            Liveness::Suspected { .. } => Some(Update::Suspect { node, incarnation }),
            Liveness::Dead => Some(record_of(held)),
            Liveness::Alive if incarnation > header.incarnation => Some(record_of(held)),
            Liveness::Alive => None,
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
            Body::Allowances(message) => actions.push(Action::Allowances {
                from: header.from.clone(),
                message,
            }),
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
        let domain = member.record.domain.clone();
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
        let is_known = held.is_some_and(|held| held.record.incarnation >= header.incarnation);
        if is_known {
            return;
        }
        if !self.has_joined() {
            self.start_exchange(from, now, actions);
        }
        self.send_to(Receiver::far(from), Body::WhoAreYou, now, actions);
    }
}

/// The node an update is about; that of a slot map or a route is no member's name.
pub(super) fn node_of(update: &Update) -> &Name {
    match update {
        Update::Own(target) => &target.node,
        Update::Suspect { node, .. } | Update::Dead { node, .. } => node,
        Update::SlotMap { service, .. } => service,
        Update::RouteUse { route, .. } => route,
    }
}
