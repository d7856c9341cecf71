//! The gossip datagrams that members send each other.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::accounts::AllowanceMessage;
use crate::core::Name;
use crate::core::RouteOrigin;
use crate::core::Target;
use crate::placement::LoadMessage;

/// One gossip datagram: a header, a body, and piggybacked updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub header: Header,
    pub body: Body,
    pub updates: Vec<Update>,
}

/// The sender, and short values that show the receiver whether either of the two lacks updates.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Header {
    pub from: Name,
    pub incarnation: u64,
    /// Digest of the members that the sender considers alive.
    #[serde(with = "postcard::fixint::le")]
    pub members_digest: u32,
    /// Number of members that the sender considers alive.
    pub members: u32,
    /// Version of the configuration in force at the sender.
    pub config_version: u64,
    /// How long ago the store was last known to hold no newer version, in tenths of a second. The
    /// highest value means longer ago, or never.
    pub confirmed_tenths: u8,
    /// The newest store era known to the sender.
    pub store_era: u64,
    /// Digest of the versions of all slot maps that the sender holds.
    #[serde(with = "postcard::fixint::le")]
    pub slot_maps_digest: u32,
    /// How long ago each failure domain last answered. Sent only within a failure domain.
    pub heard: Vec<DomainContact>,
}

/// How long ago a failure domain last answered any member of the sender's own failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainContact {
    /// Hash of the failure domain's name. Two bytes are enough, because there are few domains.
    #[serde(with = "postcard::fixint::le")]
    pub domain_hash: u16,
    /// Age in tenths of a second, at most 255.
    pub age_tenths: u8,
}

/// The kinds of message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Requests a [`Body::Ack`] with the same sequence number.
    Ping { sequence: u32 },
    /// Answers a [`Body::Ping`].
    Ack { sequence: u32 },
    /// Requests an indirect probe: the receiver pings `address` and relays the answer.
    PingRequest { sequence: u32, address: SocketAddr },
    /// Reports that the member in an earlier [`Body::PingRequest`] answered.
    RelayedAck { sequence: u32 },
    /// Carries updates and the values of the header. It is not answered.
    Rumor,
    /// Requests the receiver's record: the sender holds none, or one that is older than the
    /// receiver's datagrams.
    WhoAreYou,
    /// Digests of the sender's members by bucket, for a comparison.
    Buckets { digests: Vec<FixedDigest> },
    /// The updates are all that the sender holds in one bucket. If `reply` is set, the receiver
    /// sends back what is newer on its side.
    Entries { bucket: u16, reply: bool },
    /// A report, a reply or a message between coordinators about the allowances of client accounts.
    Allowances(AllowanceMessage),
    /// A report, a reply or a message between coordinators about the load of services in failure
    /// domains.
    Loads(LoadMessage),
}

/// A digest that is encoded with a fixed width.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FixedDigest(#[serde(with = "postcard::fixint::le")] pub u32);

impl Body {
    /// The kind of message, as a label of metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Ping { .. } => "ping",
            Self::Ack { .. } => "ack",
            Self::PingRequest { .. } => "ping_request",
            Self::RelayedAck { .. } => "relayed_ack",
            Self::Rumor => "rumor",
            Self::WhoAreYou => "who_are_you",
            Self::Buckets { .. } => "buckets",
            Self::Entries { .. } => "entries",
            Self::Allowances(_) => "allowances",
            Self::Loads(_) => "loads",
        }
    }
}

/// One update about a member, a slot map or a route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Update {
    /// The record that a node publishes of itself. Its state is never `Suspect` or `Dead`.
    Own(Target),
    /// The node of this incarnation did not answer. It refutes the suspicion with a higher
    /// incarnation.
    Suspect { node: Name, incarnation: u64 },
    /// The node of this incarnation is considered dead.
    Dead { node: Name, incarnation: u64 },
    /// A newer version of a service's slot map exists.
    SlotMap { service: Name, version: u64 },
    /// Whether callers or backend servers use a route, as determined by the first node that found
    /// out.
    RouteUse { route: Name, by: RouteOrigin },
}
