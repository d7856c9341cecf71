//! Real processes on loopback for tests, demos and experiments: a platform, and nodes with their
//! backend servers in several failure domains, which can be killed, paused, restarted and cut off.
//!
//! Every node gets a loopback address of its own (127.0.0.0/8 is loopback as a whole on Linux), so
//! that meshes never compete for ports and a relay sees which node a connection comes from.

mod address_plan;
mod binaries;
mod gate;
mod mesh;
mod mesh_folder;
mod mesh_plan;
mod mesh_target;
mod net;
mod process;
mod publish_presets;
mod ready;
mod run_files;
mod tcp_relay;
mod udp_relay;
mod web;

pub use address_plan::AddressPlan;
pub use address_plan::NodeAddresses;
pub use binaries::Binaries;
pub use mesh::Mesh;
pub use mesh_plan::MeshPlan;
pub use mesh_plan::TargetPlan;
pub use mesh_target::MeshTarget;
pub use net::Direction;
pub use net::LinkRule;
pub use net::Net;
pub use net::Rules;
pub use process::Launch;
pub use process::ManagedProcess;
pub use run_files::RunSummary;
pub use run_files::read_run_events;
pub use web::Web;
pub use web::WebAnswer;
