//! Handling of received datagrams.

use std::net::SocketAddr;

use super::Action;
use super::Applied;
use super::Body;
use super::Datagram;
use super::Header;
use super::Liveness;
use super::Membership;
use super::Receiver;
use super::Update;
use super::age_tenths::time_from_age;
use super::member_table::update_about;
use crate::core::Name;
use crate::core::TargetState;
use crate::core::TimeMs;

/// Minimum time between two reports that a peer has a newer configuration.
const NEWER_CONFIG_PERIOD_MS: u64 = 200;
/// How long the digests of slot maps may differ before the versions are compared.
const SLOT_MAPS_DIFFER_MS: u64 = 5_000;

impl Membership {
    /// Handles a datagram that was received from `from`.
    pub fn handle(&mut self, now: TimeMs, from: SocketAddr, datagram: Datagram) -> Vec<Action> {
        let mut actions = Vec::new();
        let header = datagram.header;
        if header.from == self.own.node {
            return self.handle_name_conflict(now, from, header.incarnation);
        }
        for update in &datagram.updates {
            self.apply(update, from, now, &mut actions);
        }
        self.read_header(&header, from, now, &mut actions);
        let required = self.update_about_sender(&header);
        if let Body::Ping { sequence } = datagram.body {
            let required = required.into_iter().collect();
            let receiver = self.receiver(&header.from, from);
            let body = Body::Ack { sequence };
            self.send_with_updates(receiver, body, required, now, &mut actions);
        } else if let Some(update) = required {
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

    /// Handles a datagram from a process that uses this node's name: a late datagram of an earlier
    /// process, or another node with the same settings. Other nodes accept the record with the
    /// higher incarnation, so this node raises its own above the one received.
    fn handle_name_conflict(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        incarnation: u64,
    ) -> Vec<Action> {
        if from != self.own.control_address && incarnation > self.own.incarnation {
            log::warn!("gossip: another node uses this node's name address={from}");
            self.refute(incarnation, now);
        }
        Vec::new()
    }

    fn apply(&mut self, update: &Update, from: SocketAddr, now: TimeMs, actions: &mut Vec<Action>) {
        self.apply_from(update, from, true, now, actions);
    }

    /// Applies an update that was received from `from`. If it was newer and `forwards` is set, it
    /// is queued for other members too.
    pub(super) fn apply_from(
        &mut self,
        update: &Update,
        from: SocketAddr,
        forwards: bool,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        if let Update::SlotMap { service, version } = update {
            actions.extend(self.newer_slot_map(service, *version, from, now));
            return;
        }
        if let Update::RouteUse { route, by } = update {
            if self.set_route_use(route, *by) {
                let (route, by) = (route.clone(), *by);
                actions.push(Action::RouteUse { route, by });
            }
            return;
        }
        if self.apply_to_own(update, now) || self.is_inconclusive(update) {
            return;
        }
        let node = subject_name(update);
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
            "gossip: member update applied node={node} state={:?}",
            member.published.state
        );
        let services = before.iter().chain([&member.record.service]);
        self.view.mark_changed(node, services);
        if forwards {
            let is_urgent = !matches!(update, Update::Suspect { .. });
            self.queue.push(update.clone(), is_urgent);
        }
    }

    /// Handles updates about this node itself. Returns whether this was one. A record, suspicion or
    /// death that peers hold and that this process did not publish is overridden with a higher
    /// incarnation. It is a suspicion, or it comes from an earlier process of this node. A node
    /// that has left overrides nothing.
    fn apply_to_own(&mut self, update: &Update, now: TimeMs) -> bool {
        if *subject_name(update) != self.own.node {
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

    /// Whether the update is a suspicion of a member whose failure domain cannot be reached. Such a
    /// suspicion is due to the domain, not to the member.
    fn is_inconclusive(&self, update: &Update) -> bool {
        let Update::Suspect { node, .. } = update else {
            return false;
        };
        let member = self.table.get(node);
        member.is_some_and(|member| self.is_silent(&member.record.domain))
    }

    fn newer_slot_map(
        &mut self,
        service: &Name,
        version: u64,
        from: SocketAddr,
        now: TimeMs,
    ) -> Option<Action> {
        let is_newer = self.slot_maps.should_report(service, version, now);
        is_newer.then(|| Action::NewerSlotMap {
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
                self.handle_reachable_domain(&domain, now);
            }
        }
        if let Some(confirmed) = time_from_age(header.confirmed_tenths, now) {
            self.confirm_config(header.config_version, confirmed);
        }
        if self.raise_store_era(header.store_era) {
            let era = header.store_era;
            actions.push(Action::StoreEra { era });
        }
        if header.config_version > self.config_version {
            self.report_newer_config(header, from, now, actions);
        }
        self.compare_slot_maps(header, from, now, actions);
    }

    /// Reports that the sender has a newer configuration. Peers inside and outside this node's own
    /// failure domain have separate rate limits. A report about an outside peer therefore does not
    /// suppress one about an inside peer, from which a transfer costs no traffic between domains.
    fn report_newer_config(
        &mut self,
        header: &Header,
        from: SocketAddr,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        let is_near = self.is_near(&header.from);
        let last = match is_near {
            true => &mut self.schedule.last_near_newer_config,
            false => &mut self.schedule.last_far_newer_config,
        };
        if now.since(*last) < NEWER_CONFIG_PERIOD_MS {
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

    /// The update that the sender has to refute: a suspicion, a death, or a higher incarnation of
    /// an earlier process.
    fn update_about_sender(&self, header: &Header) -> Option<Update> {
        let held = self.table.get(&header.from)?;
        if held.record.incarnation < header.incarnation {
            return None;
        }
        let node = held.record.node.clone();
        let incarnation = held.record.incarnation;
        match held.liveness {
            Liveness::Suspected { .. } => Some(Update::Suspect { node, incarnation }),
            Liveness::Dead => Some(update_about(held)),
            Liveness::Alive if incarnation > header.incarnation => Some(update_about(held)),
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
        self.identify_sender(header, from, now, actions);
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
                    self.restart_suspicion(&probe.node, now);
                }
            }
            Body::Rumor => {}
            Body::Allowances(message) => actions.push(Action::Allowances {
                from: header.from.clone(),
                message,
            }),
            Body::Loads(message) => actions.push(Action::Loads {
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

    /// Handles the answer to a probe. A direct answer shows that the failure domain can be reached.
    /// A relayed one shows only that the member is alive.
    fn handle_ack(&mut self, sequence: u32, now: TimeMs, actions: &mut Vec<Action>) {
        if let Some((requester, sequence)) = self.probes.finish_relay(sequence) {
            self.send_to(
                Receiver::far(requester),
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
        self.restart_suspicion(&probe.node, now);
        if self.watch.record_answer(&domain, now) > self.settings.quiet_ms {
            self.handle_reachable_domain(&domain, now);
        }
    }

    /// Requests the sender's record if none is held here, or only one of an older incarnation. A
    /// node that has not joined yet also requests a full exchange.
    fn identify_sender(
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

/// The name of the node, service or route that an update is about.
pub(super) fn subject_name(update: &Update) -> &Name {
    match update {
        Update::Own(target) => &target.node,
        Update::Suspect { node, .. } | Update::Dead { node, .. } => node,
        Update::SlotMap { service, .. } => service,
        Update::RouteUse { route, .. } => route,
    }
}
