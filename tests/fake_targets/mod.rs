//! Targets made by hand, for decisions that only look at them.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;

use sassafrasgap::core::FastMap;
use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::TargetState;
use sassafrasgap::routing::PickContext;
use sassafrasgap::routing::TargetStats;

/// What a first attempt from failure domain `a` with a small body chooses from.
pub fn choice<'a>(
    targets: &'a [Arc<Target>],
    stats: &'a FastMap<Name, TargetStats>,
) -> PickContext<'a> {
    PickContext {
        targets,
        stats,
        own_domain: "a",
        cut_off_domains: &[],
        tried: &[],
        is_large: false,
    }
}

/// A target that takes work, of ten slots, in a failure domain.
pub fn target(name: &str, domain: &str) -> Target {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Target {
        node: Name::from(name),
        service: Name::from("s"),
        region: Name::from("r"),
        domain: Name::from(domain),
        peer_address: address,
        control_address: address,
        incarnation: 1,
        state: TargetState::Up,
        slots: 10,
    }
}
