//! Settings of the programs: parses YAML into validated values and reports all problems at once.

mod address_check;
mod defaults;
mod deployment;
mod deployment_document;
mod document;
mod file_watch;
mod node_document;
mod node_settings;
mod node_writer;
mod preset_document;
mod preset_rules;
mod section;
mod section_fields;
mod unit_hint;

pub use deployment::Deployment;
pub use deployment::Placement;
pub use deployment::ServiceSize;
pub use deployment_document::DeploymentFiles;
pub use deployment_document::load_deployment;
pub use deployment_document::parse_deployment;
pub use document::parse_document;
pub use document::read_file;
pub use file_watch::FileWatch;
pub use node_document::load_node_settings;
pub use node_document::parse_node_settings;
pub use node_settings::NodeSettings;
pub use preset_document::load_preset;
pub use preset_document::parse_preset;
pub use section::Section;
