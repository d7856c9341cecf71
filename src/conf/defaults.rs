//! Defaults of node settings.

/// Enough for one small process beside a backend server.
pub const TRAFFIC_THREADS: u64 = 2;
/// Ordinary bodies fit in memory; archives are streamed.
pub const MAX_HELD_BODY_BYTES: u64 = 256 * 1024;
/// The limit of common HTTP servers.
pub const MAX_HEADER_BYTES: u64 = 32 * 1024;
/// Far more than the 1 ms that a new connection takes, and far less than any deadline.
pub const CONNECT_TIMEOUT_MS: u64 = 250;
/// Middleboxes are more likely to have dropped the state of connections that are idle for longer.
pub const IDLE_CONNECTION_MS: u64 = 5_000;
/// Calls on a silent connection have to complete within 1 s after the silence can be detected.
pub const SILENCE_MS: u64 = 500;
/// Enough for an ordinary call. Longer calls are aborted visibly.
pub const DRAIN_TIMEOUT_MS: u64 = 30_000;
/// A request to the store that takes longer is abandoned.
pub const PLATFORM_TIMEOUT_MS: u64 = 1_000;
/// Keeps the time until a change is in force under 2 s, see docs/CONFIGURATION.md.
pub const CONFIG_POLL_MS: u64 = 500;
/// See docs/AT_MOST_ONCE.md, "The cost at the table".
pub const LEASE_MS: u64 = 15_000;
/// Limits the memory of the ledger. Further new keys are refused.
pub const MAX_LEDGER_KEYS: u64 = 100_000;
