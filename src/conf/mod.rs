//! Settings of the programs: serde structs as written in YAML, turned into checked values.

mod node_settings;

pub use node_settings::NodeSettings;
