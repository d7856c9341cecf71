//! Defaults of node settings.

/// Enough for one small process beside a backend server.
pub const TRAFFIC_THREADS: u64 = 2;
/// Large enough for the bodies of ordinary calls. Archives are larger and are streamed.
pub const MAX_HELD_BODY_BYTES: u64 = 256 * 1024;
/// As much as common HTTP servers accept.
pub const MAX_HEADER_BYTES: u64 = 32 * 1024;
/// Far more than the 1 ms that a new connection takes, and far less than any deadline.
pub const CONNECT_TIMEOUT_MS: u64 = 250;
/// The longer a connection is idle, the more likely a middlebox has dropped its state.
pub const IDLE_CONNECTION_MS: u64 = 5_000;
/// Calls on a connection that stops answering have to complete within 1 s after this can be
/// detected.
pub const SILENCE_MS: u64 = 500;
/// Enough for an ordinary call. Longer calls are aborted visibly.
pub const DRAIN_TIMEOUT_MS: u64 = 30_000;
/// A request to the platform that takes longer is abandoned.
pub const PLATFORM_TIMEOUT_MS: u64 = 1_000;
/// Keeps the time until a change is in force under 2 s, see docs/CONFIGURATION.md.
pub const CONFIG_POLL_MS: u64 = 500;
/// See docs/AT_MOST_ONCE.md, "The cost at the table".
pub const LEASE_MS: u64 = 15_000;
/// Limits the memory of the ledger. When it is full, new keys are refused.
pub const MAX_LEDGER_KEYS: u64 = 100_000;
