//! Reads node settings in YAML. Every field is described in
//! [docs/OPERATIONS.md](../../docs/OPERATIONS.md), "Settings of a node".

use std::path::Path;

use log::LevelFilter;

use crate::conf::NodeSettings;
use crate::conf::Section;
use crate::conf::address_check::check_advertised;
use crate::conf::address_check::check_clashes;
use crate::conf::address_check::check_loopback;
use crate::conf::defaults;
use crate::conf::parse_document;
use crate::conf::read_file;
use crate::errors::SettingsError;

/// Reads and validates the settings of a node.
///
/// # Errors
/// All problems of the file.
pub fn load_node_settings(path: &Path) -> Result<NodeSettings, SettingsError> {
    let text = read_file(path)?;
    parse_node_settings(&path.display().to_string(), &text)
}

/// Parses and validates the settings of a node. Problems are reported under the name `file`.
///
/// # Errors
/// All problems of the text.
pub fn parse_node_settings(file: &str, text: &str) -> Result<NodeSettings, SettingsError> {
    parse_document(file, text, read_node)
}

fn read_node(section: &mut Section) -> Option<NodeSettings> {
    let node = section.name("node");
    let region = section.name("region");
    let domain = section.name("domain");
    let caller = section.required_address("caller_address");
    let local = section.required_address("local_address");
    let peer = section.required_address("peer_address");
    let control = section.required_address("control_address");
    let operator = section.required_address("operator_address");
    let platform = section.required_address("platform_address");
    let peer_advertised = section.address("peer_advertised_address").or(peer);
    let control_advertised = section.address("control_advertised_address").or(control);
    let listeners = [
        ("caller_address", caller),
        ("local_address", local),
        ("peer_address", peer),
        ("control_address", control),
        ("operator_address", operator),
        ("platform_address", platform),
    ];
    check_clashes(section, &listeners);
    check_loopback(section, "local_address", local);
    check_advertised(
        section,
        "peer_address",
        "peer_advertised_address",
        peer_advertised,
    );
    check_advertised(
        section,
        "control_address",
        "control_advertised_address",
        control_advertised,
    );
    let settings = NodeSettings {
        seeds: section.addresses("seeds"),
        traffic_threads: section.number_or("traffic_threads", 1..=64, defaults::TRAFFIC_THREADS)
            as usize,
        control_enabled: section.boolean("control_enabled").unwrap_or(true),
        max_held_body_bytes: section.number_or(
            "max_held_body_bytes",
            1_024..=64 * 1_024 * 1_024,
            defaults::MAX_HELD_BODY_BYTES,
        ) as usize,
        max_header_bytes: section.number_or(
            "max_header_bytes",
            4_096..=1_024 * 1_024,
            defaults::MAX_HEADER_BYTES,
        ) as usize,
        log_level: read_log_level(section),
        connect_timeout_ms: section.number_or(
            "connect_timeout_ms",
            10..=10_000,
            defaults::CONNECT_TIMEOUT_MS,
        ),
        idle_connection_ms: section.number_or(
            "idle_connection_ms",
            100..=600_000,
            defaults::IDLE_CONNECTION_MS,
        ),
        silence_ms: section.number_or("silence_ms", 50..=60_000, defaults::SILENCE_MS),
        drain_timeout_ms: section.number_or(
            "drain_timeout_ms",
            100..=3_600_000,
            defaults::DRAIN_TIMEOUT_MS,
        ),
        platform_timeout_ms: section.number_or(
            "platform_timeout_ms",
            50..=30_000,
            defaults::PLATFORM_TIMEOUT_MS,
        ),
        config_poll_ms: section.number_or("config_poll_ms", 50..=5_000, defaults::CONFIG_POLL_MS),
        lease_ms: section.number_or("lease_ms", 1_000..=300_000, defaults::LEASE_MS),
        max_ledger_keys: section.number_or(
            "max_ledger_keys",
            100..=10_000_000,
            defaults::MAX_LEDGER_KEYS,
        ) as usize,
        node: node?,
        region: region?,
        domain: domain?,
        caller_address: caller?,
        local_address: local?,
        peer_address: peer?,
        control_address: control?,
        operator_address: operator?,
        platform_address: platform?,
        peer_advertised_address: peer_advertised?,
        control_advertised_address: control_advertised?,
    };
    Some(settings)
}

fn read_log_level(section: &mut Section) -> LevelFilter {
    let Some(text) = section.text("log_level") else {
        return LevelFilter::Info;
    };
    text.parse().unwrap_or_else(|_| {
        section.problem(
            "log_level",
            &text,
            "one of off, error, warn, info, debug, trace",
        );
        LevelFilter::Info
    })
}
