//! The control thread: membership, configuration and slot ownership, and the calls between nodes
//! that serve them. Traffic threads read what it publishes.

mod peer_service;

pub use peer_service::AttemptStatus;
pub use peer_service::ConfigDocument;
pub use peer_service::KeptAnswer;
pub use peer_service::PeerControl;
pub use peer_service::PeerControlClient;
pub use peer_service::Promise;
pub use peer_service::PromiseAsk;
pub use peer_service::Suspects;
