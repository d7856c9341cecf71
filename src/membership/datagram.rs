//! What members send each other in one datagram.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::accounts::AllowanceMessage;
use crate::core::Name;
use crate::core::RouteOrigin;
use crate::core::Target;

/// One gossip datagram: a header that every message carries, a body, and piggybacked updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub header: Header,
    pub body: Body,
    pub updates: Vec<Update>,
}

/// Who sends, and short values by which the receiver sees whether one of the two lacks news.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Header {
    pub from: Name,
    pub incarnation: u64,
    /// Digest of the members that the sender takes to be alive.
    #[serde(with = "postcard::fixint::le")]
    pub members_digest: u32,
    /// How many members the sender takes to be alive.
    pub members: u32,
    /// The version of the configuration in force at the sender.
    pub config_version: u64,
    /// How long ago the store was last known to hold no newer version, in tenths of a second; the
    /// highest value says longer ago, or never.
    pub confirmed_tenths: u8,
    /// The newest era of the store that the sender has heard of.
    pub store_era: u64,
    /// Digest of the versions of all slot maps that the sender holds.
    #[serde(with = "postcard::fixint::le")]
    pub slot_maps_digest: u32,
    /// How long ago each failure domain last answered; only sent inside a failure domain.
    pub heard: Vec<DomainContact>,
}

/// How long ago a failure domain answered somebody of the sender's own domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainContact {
    /// The hash of the domain's name: two bytes do, as there are few domains.
    #[serde(with = "postcard::fixint::le")]
    pub domain_hash: u16,
    /// Tenths of a second, at most 255 of them.
    pub age_tenths: u8,
}

/// The kinds of message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`] with the same number.
    Ping { sequence: u32 },
    /// Answers a [`Body::Ping`].
    Ack { sequence: u32 },
    /// Asks the receiver to ping `address` and to relay the answer.
    PingRequest { sequence: u32, address: SocketAddr },
    /// Says that the member of an earlier [`Body::PingRequest`] answered.
    RelayedAck { sequence: u32 },
    /// Carries updates and the header's news; not answered.
    Rumor,
    /// Asks what the receiver is: its record is unknown or older than its own datagrams.
    WhoAreYou,
    /// Digests of the sender's members by bucket, for a comparison.
    Buckets { digests: Vec<FixedDigest> },
    /// The updates are all that the sender knows in one bucket. When `reply` is set, the receiver
    /// sends back what it knows better.
    Entries { bucket: u16, reply: bool },
    /// What is used of accounts' allowances, for whoever keeps them.
    Allowances(AllowanceMessage),
}

/// A digest of fixed width on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FixedDigest(#[serde(with = "postcard::fixint::le")] pub u32);

impl Body {
    /// The kind's name, as a label of metrics.
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
        }
    }
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Update {
    /// What a node says of itself; its state is never `Suspect` or `Dead`.
    Own(Target),
    /// The node of this incarnation did not answer; it refutes by a higher incarnation.
    Suspect { node: Name, incarnation: u64 },
    /// The node of this incarnation is taken to be gone.
    Dead { node: Name, incarnation: u64 },
    /// A newer version of a service's slot map exists.
    SlotMap { service: Name, version: u64 },
    /// Who uses a route, as the first one to find out tells.
    RouteUse { route: Name, by: RouteOrigin },
}
