//! Checks of listener addresses.

use std::net::SocketAddr;

use crate::conf::Section;

/// Reports listeners that would bind the same address. Port 0 takes any free port and so never
/// clashes. An unspecified address (0.0.0.0) binds the port on every address.
pub fn check_clashes(section: &Section, listeners: &[(&'static str, Option<SocketAddr>)]) {
    for (index, (field, address)) in listeners.iter().enumerate() {
        let Some(address) = address else { continue };
        let earlier = listeners[..index]
            .iter()
            .find(|(_, other)| other.is_some_and(|other| clash(other, *address)));
        if let Some((other, _)) = earlier {
            let expected = format!("an address that {other} does not use already");
            section.problem(field, &address.to_string(), expected);
        }
    }
}

fn clash(a: SocketAddr, b: SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (any || a.ip() == b.ip())
}

/// Reports a local listener that other machines could reach. Anyone who can reach it could act as
/// the backend server.
pub fn check_loopback(section: &Section, field: &'static str, address: Option<SocketAddr>) {
    if let Some(address) = address.filter(|address| !address.ip().is_loopback()) {
        let expected = "a loopback address, such as 127.0.0.1:7002, as only the local backend \
                        server may use it";
        section.problem(field, &address.to_string(), expected);
    }
}

/// Reports an address that other nodes could not connect to.
pub fn check_advertised(
    section: &Section,
    bound: &'static str,
    advertised: &'static str,
    address: Option<SocketAddr>,
) {
    if let Some(address) = address.filter(|address| address.ip().is_unspecified()) {
        let expected = format!(
            "others cannot connect to it: give {advertised}, or a single address as {bound}"
        );
        section.problem(advertised, &address.to_string(), expected);
    }
}
