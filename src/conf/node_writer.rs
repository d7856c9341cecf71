//! Writes node settings as YAML, for meshes that start nodes as processes.

use std::fmt::Write;

use crate::conf::NodeSettings;

impl NodeSettings {
    /// The settings as a document from which `load_node_settings` reads the same value.
    pub fn to_yaml(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        let seeds = format!("[{}]", seeds.join(", "));
        let fields: &[(&str, &dyn std::fmt::Display)] = &[
            ("node", &self.node),
            ("region", &self.region),
            ("domain", &self.domain),
            ("caller_address", &self.caller_address),
            ("local_address", &self.local_address),
            ("peer_address", &self.peer_address),
            ("control_address", &self.control_address),
            ("operator_address", &self.operator_address),
            ("peer_advertised_address", &self.peer_advertised_address),
            (
                "control_advertised_address",
                &self.control_advertised_address,
            ),
            ("platform_address", &self.platform_address),
            ("seeds", &seeds),
            ("traffic_threads", &self.traffic_threads),
            ("control_enabled", &self.control_enabled),
            ("max_held_body_bytes", &self.max_held_body_bytes),
            ("max_header_bytes", &self.max_header_bytes),
            ("log_level", &self.log_level),
            ("connect_timeout_ms", &self.connect_timeout_ms),
            ("idle_connection_ms", &self.idle_connection_ms),
            ("silence_ms", &self.silence_ms),
            ("drain_timeout_ms", &self.drain_timeout_ms),
            ("platform_timeout_ms", &self.platform_timeout_ms),
            ("config_poll_ms", &self.config_poll_ms),
            ("lease_ms", &self.lease_ms),
            ("max_ledger_keys", &self.max_ledger_keys),
        ];
        let mut text = String::new();
        for (field, value) in fields {
            writeln!(text, "{field}: {value}").expect("writing into a String cannot fail");
        }
        text
    }
}
