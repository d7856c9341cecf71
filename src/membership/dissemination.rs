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
use crate::placement::LoadMessage;

/// Each update is sent this many times the number of decimal digits of the member count. That
/// reaches all but a few in ten thousand members, and comparisons of member tables reach those.
const SENDS_PER_DIGIT: u32 = 3;
/// Size in a datagram for short updates that are exempt from the byte budget: about a dozen routes.
const BUDGET_EXEMPT_BYTES: u64 = 300;
/// Members of each failure domain that carry updates about members into other domains at a time,
/// whatever the size of the domain.
const CROSS_DOMAIN_SENDERS: f64 = 12.0;
/// Members of each failure domain that request full exchanges across domains at a time. They are
/// more than [`CROSS_DOMAIN_SENDERS`]: when all nodes start at once, a backend server gets no calls
/// from another domain until its node is known there.
const CROSS_DOMAIN_REQUESTERS: f64 = 24.0;
/// IP and UDP headers, which count as control traffic too.
pub(super) const PACKET_OVERHEAD_BYTES: u64 = 28;

/// The receiver of a datagram.
#[derive(Clone, Copy, Debug)]
pub(super) struct Receiver {
    pub address: SocketAddr,
    /// Whether the receiver is in this node's own failure domain. The header then holds the last
    /// answers of the other domains.
    pub is_near: bool,
}

impl Receiver {
    /// A receiver that is treated as being in another failure domain, for example because only its
    /// address is known.
    pub fn far(address: SocketAddr) -> Self {
        Self {
            address,
            is_near: false,
        }
    }
}

impl Membership {
    /// How many times an update is sent before it is dropped.
    pub(super) fn max_sends(&self) -> u32 {
        let members = self.table.alive().max(1) as u32;
        SENDS_PER_DIGIT * (members.ilog10() + 1)
    }

    /// Whether this node, for this datagram, carries updates into other failure domains.
    ///
    /// Guards against updates that cross the border between two failure domains once for each node.
    /// The bytes would grow with the square of the number of nodes, and traffic between domains
    /// costs the most. Instead a few members of each domain, chosen anew each time, carry each
    /// update, and every domain spreads it within itself.
    pub(super) fn sends_across_domains(&mut self) -> bool {
        self.is_sampled(CROSS_DOMAIN_SENDERS)
    }

    /// Whether this node, this time, may request an exchange of whole tables from another failure
    /// domain.
    pub(super) fn requests_across_domains(&mut self) -> bool {
        self.is_sampled(CROSS_DOMAIN_REQUESTERS)
    }

    /// Whether this node is in a random sample of this size of its failure domain. Each call draws
    /// a new sample.
    fn is_sampled(&mut self, members: f64) -> bool {
        let near = self.table.alive_in(&self.own.domain) as f64;
        near <= members || self.rng.f64() * near < members
    }

    /// The receiver for the node of this name at this address.
    pub(super) fn receiver(&self, node: &str, address: SocketAddr) -> Receiver {
        let is_near = self.is_near(node);
        Receiver { address, is_near }
    }

    /// Whether the node of this name is known to be in this node's own failure domain.
    pub(super) fn is_near(&self, node: &str) -> bool {
        let member = self.table.get(node);
        member.is_some_and(|member| member.record.domain == self.own.domain)
    }

    /// Sends a message with the `required` updates first, then those exempt from the budget, then
    /// as many other queued updates as size and budget allow. A datagram into another failure
    /// domain carries these others only if [`Self::sends_across_domains`] returns true.
    pub(super) fn send_with_updates(
        &mut self,
        to: Receiver,
        body: Body,
        required: Vec<Update>,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        let header = self.header(to.is_near, now);
        // One byte for the version.
        let fixed_bytes = encoded_bytes(&header) + encoded_bytes(&body) + 1;
        let required_bytes: usize = required.iter().map(encoded_bytes).sum();
        let room = self
            .settings
            .max_datagram_bytes
            .saturating_sub(fixed_bytes + required_bytes)
            .min(self.budget.available_bytes(now) as usize);
        let carries_updates = to.is_near || self.sends_across_domains();
        let room = if carries_updates { room } else { 0 };
        let max_sends = self.max_sends();
        let mut updates = required;
        updates.extend(
            self.queue
                .take_budget_exempt(BUDGET_EXEMPT_BYTES as usize, max_sends),
        );
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
        self.send_with_updates(to, body, Vec::new(), now, actions);
    }

    /// Sends a message about accounts' allowances to a member. Nothing is sent to an unknown
    /// member.
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

    /// Sends a message about the load of a service to a member. Nothing is sent to an unknown
    /// member.
    ///
    /// The datagram carries no updates and no ages of other domains' answers. A node sends several
    /// such messages a second to the same few coordinators. Each update is sent a limited number of
    /// times, and these would use up most of them.
    pub fn send_loads(&mut self, to: &Name, message: LoadMessage, now: TimeMs) -> Vec<Action> {
        let member = self.table.get(to);
        let address = member.map(|member| member.record.control_address);
        let header = self.header(false, now);
        let send = address.map(|to| Action::Send {
            to,
            datagram: Datagram {
                header,
                body: Body::Loads(message),
                updates: Vec::new(),
            },
        });
        send.into_iter().collect()
    }

    /// Sends these updates, without any queued ones.
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

    /// Pushes urgent updates to a few members. They push an update on if it is new to them, so that
    /// all members have it after a few steps. What the budget holds back is sent in a later tick.
    pub(super) fn push_rumors(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let is_for_all = self.queue.has_urgent() || self.header_is_urgent;
        if !is_for_all && !self.answers_are_urgent {
            return;
        }
        // A new configuration has to be in force soon, and the use of a route is needed most when
        // all nodes have just started. Their few bytes are therefore exempt from the budget: each
        // member pushes each of them once.
        let is_budget_exempt = self.header_is_urgent || self.queue.has_budget_exempt();
        let crosses_domains = is_budget_exempt || self.sends_across_domains();
        let mut receivers = self.choose_receivers(crosses_domains);
        // Only headers within this node's own failure domain hold the answers of other domains.
        if !is_for_all {
            receivers.retain(|receiver| receiver.is_near);
        }
        if receivers.is_empty() {
            return;
        }
        let header = self.header(true, now);
        let copies = receivers.len() as u64;
        // One byte for the version and one for the body.
        let fixed_bytes = encoded_bytes(&header) as u64 + 2 + PACKET_OVERHEAD_BYTES;
        let share_bytes = self.budget.available_bytes(now) / copies;
        if share_bytes < fixed_bytes && !is_budget_exempt {
            return;
        }
        let min_bytes = if is_budget_exempt {
            BUDGET_EXEMPT_BYTES
        } else {
            0
        };
        let room_bytes = share_bytes.saturating_sub(fixed_bytes).max(min_bytes);
        let room = room_bytes.min(self.settings.max_datagram_bytes as u64);
        let max_sends = self.max_sends();
        let updates = self
            .queue
            .take_urgent(room as usize, max_sends, copies as u32);
        let has_header_update = self.header_is_urgent || self.answers_are_urgent;
        if updates.is_empty() && !has_header_update {
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

    /// Chooses half of the receivers from this node's own failure domain and half from others, as
    /// far as there are any. If `crosses_domains` is not set, all are from its own domain, unless
    /// that has too few usable members.
    fn choose_receivers(&mut self, crosses_domains: bool) -> Vec<Receiver> {
        let fan_out = self.settings.rumor_fan_out;
        let own_domain = self.own.domain.clone();
        let near = self.usable_addresses(|member| member.record.domain == own_domain);
        let crosses_domains = crosses_domains || near.len() < fan_out;
        let far = match crosses_domains {
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
