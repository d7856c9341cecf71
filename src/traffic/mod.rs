//! The request path on a deployment whose operator keeps the desired state in a store: the entry,
//! the hop between nodes, and the guard of the backend server.
//!
//! Callers and the local backend server send requests to the entry ([`entry`]). It finds the route,
//! chooses a target ([`forward`]) and sends the call to that target's guard, over the network
//! ([`hop`]) or directly. The guard ([`guard`]) waits for admission and runs the call at the local
//! backend server ([`backend`]). The decisions are made by `admission`, `routing`, `retry` and
//! `membership`. See [docs/PLATFORM.md](../../docs/PLATFORM.md).

mod account_check;
mod admin;
mod admin_protocol;
mod advertisement_cache;
mod allowance_task;
mod allowances;
mod attempt;
mod backend;
mod backend_answer;
mod call;
mod caller_response;
mod control_link;
mod cost_log;
mod departure;
mod desired_in_force;
mod desired_task;
mod entry;
mod entry_account;
mod fleet_watch;
mod forward;
mod gone_servers;
mod guard;
mod header_names;
mod hop;
mod in_flight;
mod keyed_routes;
mod listeners;
mod load_task;
mod local_server;
mod maintenance;
mod own_service;
mod passed_headers;
mod peer_discovery;
mod placements;
mod poison_watch;
mod process;
mod reload;
mod request_log;
mod retry_budgets;
mod retry_handover;
mod root_admission;
mod roster;
mod roster_row;
mod route_origins;
mod row_checks;
mod running_routes;
mod server_report;
mod server_restore;
mod settings;
mod stop;
mod traffic;
mod version_fetch;

pub use admin_protocol::AdminProtocol;
pub use admin_protocol::AdminRequest;
pub use advertisement_cache::AdvertisementCache;
pub use departure::Departure;
pub use desired_in_force::DesiredInForce;
pub use desired_in_force::InForce;
pub use desired_task::DesiredSource;
pub use header_names::HeaderNames;
pub use local_server::LocalChange;
pub use local_server::LocalServer;
pub use process::TrafficInputs;
pub use process::TrafficProcess;
pub use reload::Reloaded;
pub use retry_handover::RetryHandover;
pub use roster_row::RosterRow;
pub use roster_row::roster_key;
pub use server_report::ReportedState;
pub use server_report::ServerReport;
pub use server_restore::KnownServer;
pub use settings::LiveSettings;
pub use settings::TrafficSettings;
