//! The control thread runs membership, configuration and slot ownership, and the control calls
//! between nodes that they need. Traffic threads read what it publishes.

mod command;
mod control_address;
mod control_handle;
mod control_handlers;
mod control_loop;
mod control_metrics;
mod control_settings;
mod counted_stream;
mod freshness;
mod peer_clients;
mod peer_server;
mod peer_service;
mod peer_transport;
mod start;

pub use control_handle::ControlHandle;
pub use control_handlers::AllowancesHandler;
pub use control_handlers::ControlHandlers;
pub use control_handlers::LoadsHandler;
pub use control_handlers::NewerSlotMap;
pub use control_metrics::ControlMetrics;
pub use control_metrics::Direction;
pub use control_settings::ControlSettings;
pub use freshness::Freshness;
pub use peer_clients::CALL_TIMEOUT_MS;
pub use peer_clients::PeerClients;
pub use peer_service::AttemptStatus;
pub use peer_service::ConfigDocument;
pub use peer_service::KeptAnswer;
pub use peer_service::PeerControl;
pub use peer_service::PeerControlClient;
pub use peer_service::Promise;
pub use peer_service::PromiseRequest;
pub use peer_service::Suspects;
pub use start::start;

use command::Command;
use control_address::bind_control;
use control_loop::ControlLoop;
use counted_stream::CountedStream;
use peer_server::PeerServer;
use peer_transport::peer_transport;
