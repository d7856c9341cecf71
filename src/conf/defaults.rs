//! Defaults of node settings.

/// Enough for one small process beside a backend server.
pub const TRAFFIC_THREADS: u64 = 2;
/// Bodies of ordinary calls fit; archives are streamed.
pub const MAX_HELD_BODY_BYTES: u64 = 256 * 1024;
/// What common servers accept.
pub const MAX_HEADER_BYTES: u64 = 32 * 1024;
/// Far above the 1 ms that a new connection costs, far below any deadline.
pub const CONNECT_TIMEOUT_MS: u64 = 250;
/// Connections idle for longer are the ones that something in between forgets.
pub const IDLE_CONNECTION_MS: u64 = 5_000;
/// Affected calls have to complete within 1 s of the silence being due.
pub const SILENCE_MS: u64 = 500;
/// Covers an ordinary call; what takes longer is cut off visibly.
pub const DRAIN_TIMEOUT_MS: u64 = 30_000;
/// A request to a store that is slower than this is given up.
pub const PLATFORM_TIMEOUT_MS: u64 = 1_000;
/// Keeps a change under 2 s, see docs/CONFIGURATION.md.
pub const CONFIG_POLL_MS: u64 = 500;
/// See docs/AT_MOST_ONCE.md, "The cost at the table".
pub const LEASE_MS: u64 = 15_000;
/// Bounds the memory of the ledger; beyond it new keys are refused.
pub const MAX_LEDGER_KEYS: u64 = 100_000;
