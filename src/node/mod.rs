//! The data path of a node: entry for callers and for the local backend server's own calls, guard
//! in front of the local backend server, and the operators' listener. See
//! [docs/DESIGN.md](../../docs/DESIGN.md), "A call's way".

mod answer;
mod answer_check;
mod attempts;
mod backend_call;
mod body;
mod call;
mod caller_headers;
mod child_clock;
mod entry;
mod fleet;
mod forward;
mod gate;
mod guard;
mod guard_answer;
mod guarded_call;
mod heritage;
mod join_configuration;
mod learnt_levels;
mod listeners;
mod live_calls;
mod local_backend;
mod local_listener;
mod node;
mod node_inputs;
mod node_process;
mod operators;
mod peer_call;
mod peer_operations;
mod permit;
mod planned_stop;
mod refusal_response;
mod running_node;
mod status;
mod take_call;
mod targets;
mod watched_body;

pub use attempts::Arrival;
pub use attempts::Attempts;
pub use attempts::EndedAnswer;
pub use fleet::FleetNode;
pub use fleet::FleetStatus;
pub use listeners::Listener;
pub use listeners::Listeners;
pub use local_backend::Announcement;
pub use local_backend::LocalBackend;
pub use node::Node;
pub use node_inputs::AskAttempt;
pub use node_inputs::NodeInputs;
pub use node_inputs::NoteConfig;
pub use node_process::NodeProcess;
pub use peer_operations::PeerOperations;
pub use running_node::RunningNode;
pub use status::Status;
