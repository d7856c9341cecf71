//! Cluster membership by gossip, in the manner of SWIM: failure detection, dissemination of updates
//! and anti-entropy.
//!
//! The code here is free of I/O: time, datagrams and a random source go in, and [`Action`]s come
//! out.
//!
//! See [docs/MEMBERSHIP.md](../../docs/MEMBERSHIP.md) for the alternatives that were compared and
//! the figures.

mod action;
mod age_tenths;
mod codec;
mod compare;
mod datagram;
mod digest;
mod dissemination;
mod domain_watch;
mod exchange;
mod incarnation;
mod member;
mod member_table;
mod membership;
mod probe_ring;
mod probes;
mod probing;
mod receive;
mod settings;
mod slot_map_versions;
mod suspicion;
mod update_budget;
mod update_queue;
mod view_builder;

pub use action::Action;
pub use codec::GOSSIP_VERSION;
pub use codec::decode_datagram;
pub use codec::encode_datagram;
pub use codec::encoded_bytes;
pub use datagram::Body;
pub use datagram::Datagram;
pub use datagram::DomainContact;
pub use datagram::FixedDigest;
pub use datagram::Header;
pub use datagram::Update;
pub use digest::domain_hash;
pub use exchange::ExchangeRequest;
pub use member::Liveness;
pub use member::Member;
pub use member_table::Applied;
pub use member_table::MemberTable;
pub use membership::Membership;
pub use settings::MembershipSettings;

use dissemination::Receiver;
use domain_watch::DomainWatch;
use probe_ring::ProbeRing;
use probes::Probes;
use slot_map_versions::SlotMapVersions;
use update_budget::UpdateBudget;
use update_queue::UpdateQueue;
use view_builder::ViewBuilder;
