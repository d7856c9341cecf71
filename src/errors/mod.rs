//! The error types of the product, with one file for each area. Errors are types, never plain
//! strings.

mod configuration;
mod control;
mod joined;
mod load;
mod mesh;
mod node;
mod settings;
mod table_service;
mod traffic;
mod wire;

pub use configuration::ConfigError;
pub use configuration::CtlError;
pub use control::ClaimsError;
pub use control::ControlError;
pub use control::GossipError;
pub use control::PeerCallError;
pub use load::ExperimentError;
pub use load::LoadError;
pub use load::PlanProblem;
pub use mesh::CapacityError;
pub use mesh::MeshError;
pub use node::AnswerError;
pub use node::BackendError;
pub use node::BodyError;
pub use node::NodeError;
pub use settings::Problem;
pub use settings::SettingsError;
pub use table_service::FaultScriptError;
pub use table_service::PlatformError;
pub use traffic::DesiredStateError;
pub use traffic::LoggingError;
pub use traffic::ReportError;
pub use traffic::SendError;
pub use traffic::StoreError;
pub use traffic::TrafficError;
pub use wire::WireError;
