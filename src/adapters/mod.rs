//! Adapters to the HTTP libraries: servers, clients and message bodies.

mod body_budget;
mod connection_pool;
mod connection_writes;
mod fair_stream;
mod http_client;
mod http_listener;
mod http_server;
mod keep_alive;
mod transmission;
mod undelivered_bytes;
mod used_connections;
mod watched_stream;
mod whole_body;

pub use body_budget::BodyBudget;
pub use connection_pool::ConnectionPool;
pub use connection_pool::PoolConf;
pub use connection_pool::WholeAnswer;
pub use connection_writes::ConnectionWrites;
pub use connection_writes::WriteStart;
pub use fair_stream::FairStream;
pub use http_client::HttpClient;
pub use http_client::http_client;
pub use http_client::http_client_from;
pub use http_listener::ListenerConf;
pub use http_listener::serve_http;
pub use http_server::Body;
pub use http_server::bind;
pub use http_server::empty_body;
pub use http_server::full_body;
pub use http_server::serve;
pub use transmission::Transmission;
pub use undelivered_bytes::UndeliveredBytes;
pub use used_connections::UsedConnections;
pub use watched_stream::WatchedStream;
pub use whole_body::read_whole;
