//! What gossip costs one member at rest, counted on its own datagrams without any process.

use std::net::SocketAddr;
use std::time::Instant;

use fastrand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::capacity::layout;
use crate::core::Target;
use crate::core::TimeMs;
use crate::membership::Action;
use crate::membership::Body;
use crate::membership::Datagram;
use crate::membership::DomainContact;
use crate::membership::Header;
use crate::membership::Membership;
use crate::membership::MembershipSettings;
use crate::membership::encode_datagram;

const SEED: u64 = 720;
/// The membership looks at the time this often, as the control thread does.
const TICK_MS: u64 = 100;
/// Each member probes one other a second, so each is probed once a second on average.
const PROBED_EVERY_MS: u64 = 1_000;
/// Of three probes, two come from the own failure domain.
const PROBE_CYCLE: u64 = 3;
/// How many different members of each kind probe.
const DISTINCT_PROBERS: usize = 50;
/// News of the first records is spread before anything is counted.
const WARM_UP_MS: u64 = 30_000;
/// IP and UDP headers.
const PACKET_OVERHEAD_BYTES: usize = 28;
/// How long ago the others heard of each failure domain.
const HEARD_TENTHS: u8 = 5;

/// Datagrams of one member while nothing changes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GossipCost {
    pub members: usize,
    pub sent_bytes_per_s: f64,
    pub received_bytes_per_s: f64,
    pub sent_messages_per_s: f64,
    pub received_messages_per_s: f64,
    /// Processor time of the decisions, without sockets, as a share of one core.
    pub cpu_share: f64,
}

/// One member and the others as it sees them: they answer every ping and know what it knows.
struct Bench {
    membership: Membership,
    others: Vec<Target>,
    /// Taken from the member's own datagrams, as the others hold the same.
    header: Option<Header>,
    cost: GossipCost,
}

impl GossipCost {
    /// Runs one member among `members` for a while of its own time.
    pub fn count(members: usize, seconds: u64) -> Self {
        let mut bench = Bench::new(members);
        for now_ms in (0..WARM_UP_MS).step_by(TICK_MS as usize) {
            bench.step(now_ms);
        }
        bench.cost = Self::default();
        let started = Instant::now();
        let end_ms = WARM_UP_MS + seconds * 1_000;
        for now_ms in (WARM_UP_MS..end_ms).step_by(TICK_MS as usize) {
            bench.step(now_ms);
        }
        let per_s = 1.0 / seconds.max(1) as f64;
        Self {
            members,
            sent_bytes_per_s: bench.cost.sent_bytes_per_s * per_s,
            received_bytes_per_s: bench.cost.received_bytes_per_s * per_s,
            sent_messages_per_s: bench.cost.sent_messages_per_s * per_s,
            received_messages_per_s: bench.cost.received_messages_per_s * per_s,
            cpu_share: started.elapsed().as_secs_f64() * per_s,
        }
    }
}

impl Bench {
    fn new(members: usize) -> Self {
        let mut others = layout::targets(members);
        let own = others.remove(0);
        let from = others[0].control_address;
        let settings = MembershipSettings::default();
        let rng = Rng::with_seed(SEED);
        let mut membership = Membership::new(own, vec![from], settings, rng, TimeMs(0));
        membership.merge(TimeMs(0), from, &others);
        Self {
            membership,
            others,
            header: None,
            cost: GossipCost::default(),
        }
    }

    fn step(&mut self, now_ms: u64) {
        let actions = self.membership.tick(TimeMs(now_ms));
        self.answer(now_ms, actions);
        if now_ms.is_multiple_of(PROBED_EVERY_MS) {
            self.probe(now_ms);
        }
    }

    fn answer(&mut self, now_ms: u64, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { to, datagram } = action else {
                continue;
            };
            self.count_sent(&datagram);
            let Body::Ping { sequence } = datagram.body else {
                continue;
            };
            let other = self.others.iter().find(|other| other.control_address == to);
            if let Some(other) = other.cloned() {
                self.receive(now_ms, &other, Body::Ack { sequence });
            }
        }
    }

    /// A probe of another member arrives, in turn from the own failure domain and from others.
    fn probe(&mut self, now_ms: u64) {
        let turn = now_ms / PROBED_EVERY_MS;
        let is_near_turn = !turn.is_multiple_of(PROBE_CYCLE);
        let own_domain = self.membership.own().domain.clone();
        let mut fitting = self
            .others
            .iter()
            .filter(|other| (other.domain == own_domain) == is_near_turn);
        let other = fitting.nth(turn as usize % DISTINCT_PROBERS).cloned();
        if let Some(other) = other {
            let sequence = turn as u32;
            self.receive(now_ms, &other, Body::Ping { sequence });
        }
    }

    fn receive(&mut self, now_ms: u64, other: &Target, body: Body) {
        let Some(header) = self.header.clone() else {
            return;
        };
        let is_near = other.domain == self.membership.own().domain;
        let heard = match is_near {
            true => header.heard,
            false => Vec::new(),
        };
        let datagram = Datagram {
            header: Header {
                from: other.node.clone(),
                incarnation: other.incarnation,
                members_digest: self.membership.table().digest(),
                heard,
                ..header
            },
            body,
            updates: Vec::new(),
        };
        self.cost.received_bytes_per_s += bytes_of(&datagram);
        self.cost.received_messages_per_s += 1.0;
        let from: SocketAddr = other.control_address;
        let actions = self.membership.handle(TimeMs(now_ms), from, datagram);
        self.answer(now_ms, actions);
    }

    fn count_sent(&mut self, datagram: &Datagram) {
        self.cost.sent_bytes_per_s += bytes_of(datagram);
        self.cost.sent_messages_per_s += 1.0;
        let knows_domains = self
            .header
            .as_ref()
            .is_some_and(|header| !header.heard.is_empty());
        if knows_domains && datagram.header.heard.is_empty() {
            return;
        }
        let mut header = datagram.header.clone();
        for heard in &mut header.heard {
            *heard = DomainContact {
                age_tenths: HEARD_TENTHS,
                ..*heard
            };
        }
        self.header = Some(header);
    }
}

fn bytes_of(datagram: &Datagram) -> f64 {
    (encode_datagram(datagram).len() + PACKET_OVERHEAD_BYTES) as f64
}
