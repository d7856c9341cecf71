//! The platform's transactional table service and object store: the client that the product uses,
//! and a stand-in server with scripted faults for tests and demos
//! ([docs/TABLE_SERVICE.md](../../docs/PLATFORM.md)).

mod answers;
mod client;
mod client_resolve;
mod fault;
mod fault_script;
mod objects;
mod protocol;
mod rate_limit;
mod server;
mod server_settings;
mod stats;
mod store;
mod table;

pub use client::PlatformClient;
pub use client_resolve::Resolution;
pub use client_resolve::resolve;
pub use client_resolve::transact_resolved;
pub use fault::AnswerLoss;
pub use fault::Fault;
pub use fault::Operations;
pub use fault_script::Effects;
pub use fault_script::FaultScript;
pub use protocol::Check;
pub use protocol::Committed;
pub use protocol::Conflict;
pub use protocol::ConflictAnswer;
pub use protocol::DOMAIN_HEADER;
pub use protocol::KeyVersion;
pub use protocol::KeyedRow;
pub use protocol::MAX_KEY_BYTES;
pub use protocol::MAX_OBJECT_BYTES;
pub use protocol::MAX_TRANSACTION_ITEMS;
pub use protocol::MAX_VALUE_BYTES;
pub use protocol::Put;
pub use protocol::Row;
pub use protocol::SCAN_ROWS_PER_READ;
pub use protocol::Scan;
pub use protocol::Transaction;
pub use protocol::is_valid_key;
pub use rate_limit::RateLimit;
pub use server::PlatformServer;
pub use server_settings::ServerSettings;
pub use stats::Counters;
pub use stats::Stats;
pub use table::Rejection;
pub use table::Table;
