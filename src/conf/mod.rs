//! Settings of the programs: YAML turned into checked values, with every problem told at once.

mod address_check;
mod document;
mod node_document;
mod node_settings;
mod preset_document;
mod preset_rules;
mod section;
mod unit_hint;

pub use document::parse_document;
pub use document::read_file;
pub use node_document::load_node_settings;
pub use node_document::parse_node_settings;
pub use node_settings::NodeSettings;
pub use preset_document::load_preset;
pub use preset_document::parse_preset;
pub use section::Section;
