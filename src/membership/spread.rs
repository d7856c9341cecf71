//! What one member sends: headers, piggybacked updates and rumors.

use std::net::SocketAddr;

use super::Action;
use super::Body;
use super::Datagram;
use super::Header;
use super::Member;
use super::Membership;
use super::Update;
use super::age_tenths::age_tenths;
use super::encoded_bytes;
use crate::accounts::AllowanceMessage;
use crate::core::Name;
use crate::core::TimeMs;

/// Each update is sent this many times the number of decimal digits of the member count; that
/// reaches all but a few in ten thousand, and comparisons of tables reach those.
const SENDS_PER_DIGIT: u32 = 3;
/// Room in a datagram for short news that waits for nothing: a dozen routes.
const PRESSING_BYTES: u64 = 300;
/// Members of each failure domain that carry news of members into others at a time. It is the same at any
/// size.
const BRIDGES: f64 = 12.0;
/// Members of each failure domain that ask others for what differs, at a time: more, for after a start of all
/// nobody is served by nodes that are not known.
const ASKING_BRIDGES: f64 = 24.0;
/// IP and UDP headers, which count as control traffic too.
pub(super) const PACKET_OVERHEAD_BYTES: u64 = 28;

/// Whom a datagram goes to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Receiver {
    pub address: SocketAddr,
    /// Of the own failure domain: it gets what the domain knows of the others.
    pub is_near: bool,
}

impl Receiver {
    /// Somebody of whom only the address matters.
    pub fn far(address: SocketAddr) -> Self {
        Self {
            address,
            is_near: false,
        }
    }
}

impl Membership {
    /// How often an update is sent before it is dropped.
    pub(super) fn max_sends(&self) -> u32 {
        let members = self.table.alive().max(1) as u32;
        SENDS_PER_DIGIT * (members.ilog10() + 1)
    }

    /// Whether this node, this time, carries into other failure domains what its own domain hears too.
    ///
    /// Guards against news that crosses the border between two failure domains once for each node: bytes
    /// that grow with the square of the nodes, and are the dearest. It holds because a handful of members of
    /// each domain, others each time, carry each piece of news, and domains spread it within.
    pub(super) fn is_bridge(&mut self) -> bool {
        self.is_among(BRIDGES)
    }

    /// The same for exchanges of whole tables.
    pub(super) fn asks_across(&mut self) -> bool {
        self.is_among(ASKING_BRIDGES)
    }

    /// Whether this node is among so many of its failure domain, which are others each time.
    fn is_among(&mut self, members: f64) -> bool {
        let near = self.table.alive_in(&self.own.domain) as f64;
        near <= members || self.rng.f64() * near < members
    }

    /// The node of this name at this address, as somebody to send to.
    pub(super) fn receiver(&self, node: &str, address: SocketAddr) -> Receiver {
        let is_near = self.is_near(node);
        Receiver { address, is_near }
    }

    /// Whether the node of this name is known to be of the own failure domain.
    pub(super) fn is_near(&self, node: &str) -> bool {
        let member = self.table.get(node);
        member.is_some_and(|member| member.record.domain == self.own.domain)
    }

    /// Sends a message: `told` first, then as many waiting updates as size and budget allow.
    pub(super) fn send_telling(
        &mut self,
        to: Receiver,
        body: Body,
        told: Vec<Update>,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        let header = self.header(to.is_near, now);
        let fixed_bytes = encoded_bytes(&header) + encoded_bytes(&body) + 1;
        let told_bytes: usize = told.iter().map(encoded_bytes).sum();
        let room = self
            .settings
            .max_datagram_bytes
            .saturating_sub(fixed_bytes + told_bytes)
            .min(self.budget.available_bytes(now) as usize);
        let carries = to.is_near || self.is_bridge();
        let room = if carries { room } else { 0 };
        let max_sends = self.max_sends();
        let mut updates = told;
        updates.extend(self.queue.take_pressing(PRESSING_BYTES as usize, max_sends));
        let taken = self.queue.take(room, max_sends);
        self.budget
            .spend(taken.iter().map(encoded_bytes).sum::<usize>() as u64);
        updates.extend(taken);
        let datagram = Datagram {
            header,
            body,
            updates,
        };
        actions.push(Action::Send {
            to: to.address,
            datagram,
        });
    }

    /// Sends a message with piggybacked updates.
    pub(super) fn send_to(
        &mut self,
        to: Receiver,
        body: Body,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        self.send_telling(to, body, Vec::new(), now, actions);
    }

    /// Tells a member of accounts' allowances; to one that is not known nothing is sent.
    pub fn send_allowances(
        &mut self,
        to: &Name,
        message: AllowanceMessage,
        now: TimeMs,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(member) = self.table.get(to) else {
            return actions;
        };
        let receiver = self.receiver(to, member.record.control_address);
        self.send_to(receiver, Body::Allowances(message), now, &mut actions);
        actions
    }

    /// Sends just these updates.
    pub(super) fn send_updates(
        &mut self,
        to: SocketAddr,
        updates: Vec<Update>,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        let datagram = Datagram {
            header: self.header(false, now),
            body: Body::Rumor,
            updates,
        };
        actions.push(Action::Send { to, datagram });
    }

    /// Pushes urgent news to a few members, who push it on when it is new to them: everybody has
    /// it after a handful of steps. What the budget holds back goes in a later tick.
    pub(super) fn push_rumors(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let is_for_all = self.queue.has_urgent() || self.header_is_urgent;
        if !is_for_all && !self.answers_are_urgent {
            return;
        }
        // A new configuration has little time to be in force, and who uses a route is needed most when
        // everything is new, so their few bytes wait for nothing: each member pushes each once.
        let is_pressing = self.header_is_urgent || self.queue.has_pressing();
        let crosses = is_pressing || self.is_bridge();
        let mut receivers = self.choose_receivers(crosses);
        if !is_for_all {
            receivers.retain(|receiver| receiver.is_near);
        }
        if receivers.is_empty() {
            return;
        }
        let header = self.header(true, now);
        let copies = receivers.len() as u64;
        let fixed_bytes = encoded_bytes(&header) as u64 + 2 + PACKET_OVERHEAD_BYTES;
        let share_bytes = self.budget.available_bytes(now) / copies;
        if share_bytes < fixed_bytes && !is_pressing {
            return;
        }
        let least_bytes = if is_pressing { PRESSING_BYTES } else { 0 };
        let room_bytes = share_bytes.saturating_sub(fixed_bytes).max(least_bytes);
        let room = room_bytes.min(self.settings.max_datagram_bytes as u64);
        let max_sends = self.max_sends();
        let updates = self
            .queue
            .take_urgent(room as usize, max_sends, copies as u32);
        let has_news = self.header_is_urgent || self.answers_are_urgent;
        if updates.is_empty() && !has_news {
            return;
        }
        self.header_is_urgent = false;
        self.answers_are_urgent = false;
        let update_bytes: usize = updates.iter().map(encoded_bytes).sum();
        self.budget
            .spend((fixed_bytes + update_bytes as u64) * copies);
        for to in receivers {
            let datagram = Datagram {
                header: self.header(to.is_near, now),
                body: Body::Rumor,
                updates: updates.clone(),
            };
            actions.push(Action::Send {
                to: to.address,
                datagram,
            });
        }
    }

    /// Half of the receivers are of the own failure domain and half of others, where there are; all are of
    /// the own one unless news cross its border.
    fn choose_receivers(&mut self, crosses: bool) -> Vec<Receiver> {
        let fan_out = self.settings.rumor_fan_out;
        let own_domain = self.own.domain.clone();
        let near = self.usable_addresses(|member| member.record.domain == own_domain);
        let crosses = crosses || near.len() < fan_out;
        let far = match crosses {
            true => self.usable_addresses(|member| member.record.domain != own_domain),
            false => Vec::new(),
        };
        let far_count = far.len().min(fan_out.div_ceil(2));
        let near_count = near.len().min(fan_out - far_count);
        let far_count = far.len().min(fan_out - near_count);
        let near = self.rng.choose_multiple(near, near_count).into_iter();
        let far = self.rng.choose_multiple(far, far_count).into_iter();
        let near = near.map(|address| Receiver {
            address,
            is_near: true,
        });
        near.chain(far.map(Receiver::far)).collect()
    }

    fn usable_addresses(&self, wanted: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        self.table
            .iter()
            .filter(|member| self.is_usable(member) && wanted(member))
            .map(|member| member.record.control_address)
            .collect()
    }

    pub(super) fn header(&self, is_near: bool, now: TimeMs) -> Header {
        let heard = match is_near {
            true => self.watch.ages(now),
            false => Vec::new(),
        };
        Header {
            from: self.own.node.clone(),
            incarnation: self.own.incarnation,
            members_digest: self.table.digest(),
            members: self.table.alive() as u32,
            config_version: self.config_version,
            confirmed_tenths: self
                .config_confirmed
                .map_or(u8::MAX, |at| age_tenths(at, now)),
            store_era: self.store_era,
            slot_maps_digest: self.slot_maps.digest(),
            heard,
        }
    }
}
