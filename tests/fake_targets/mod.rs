//! Targets made by hand, for decisions that only look at them.

use std::net::SocketAddr;

use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::TargetState;

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
