//! Targets with fixed values, for tests of target selection.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;

use sassafrasgap::core::FastMap;
use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::TargetState;
use sassafrasgap::routing::PickContext;
use sassafrasgap::routing::TargetStats;

/// The context for picking the target of a first attempt, with a small body, from failure domain
/// `a`.
pub fn pick_context<'a>(
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
        placement: None,
    }
}

/// A target that is up and has ten slots, in the given failure domain.
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
