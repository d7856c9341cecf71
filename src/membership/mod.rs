//! Who is there: gossip between nodes, as pure decisions over time, datagrams and a random source.
//!
//! See [docs/MEMBERSHIP.md](../../docs/MEMBERSHIP.md) for the ways weighed and the figures.

mod action;
mod age_tenths;
mod codec;
mod compare;
mod datagram;
mod digest;
mod domain_watch;
mod exchange;
mod incarnation;
mod member;
mod member_table;
mod membership;
mod news_budget;
mod probe_ring;
mod probes;
mod probing;
mod receive;
mod settings;
mod slot_map_versions;
mod spread;
mod suspicion;
mod update_queue;
mod view_builder;

pub use action::Action;
pub use codec::GOSSIP_VERSION;
pub use codec::decode_datagram;
pub use codec::encode_datagram;
pub use codec::encoded_bytes;
pub use datagram::Body;
pub use datagram::Datagram;
pub use datagram::FixedDigest;
pub use datagram::Header;
pub use datagram::DomainContact;
pub use datagram::Update;
pub use exchange::ExchangeRequest;
pub use member::Member;
pub use member::Liveness;
pub use member_table::Applied;
pub use member_table::MemberTable;
pub use membership::Membership;
pub use settings::MembershipSettings;

use domain_watch::DomainWatch;
use news_budget::NewsBudget;
use probe_ring::ProbeRing;
use probes::Probes;
use slot_map_versions::SlotMapVersions;
use spread::Receiver;
use update_queue::UpdateQueue;
use view_builder::ViewBuilder;
