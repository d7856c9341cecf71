//! The outcome of a call, as stated in every answer and refusal.

use serde::Deserialize;
use serde::Serialize;

/// Whether the request was run, as far as the answering node can be certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request was certainly not started and will not be.
    NotRun,
    /// The request ran to completion.
    Ran,
    /// The request may have run: no reachable node knows whether it did.
    Unknown,
}

impl RunState {
    /// The text used in headers, logs and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident => $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        pub enum $name { $($(#[$vdoc])* #[serde(rename = $text)] $variant,)* }

        impl $name {
            /// Every reason, in the order in which metrics list them.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The text used in headers, metric labels, logs and reports.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

reasons! {
    /// Why a call was refused. Each reason has its own counter (docs/OPERATIONS.md).
    RefusalReason {
        /// A downstream service would shed the call, according to the admission level in earlier
        /// answers.
        ShedAtEntry => "shed_at_entry",
        /// The guard's queue for the class is full, or the priority is below the admission level.
        Overloaded => "overloaded",
        /// The call waited longer than the preset allows for its class.
        WaitExceeded => "wait_exceeded",
        /// The deadline has passed or can no longer be met.
        DeadlineExceeded => "deadline_exceeded",
        /// The target is draining or leaving.
        Draining => "draining",
        /// The backend server shed the call before starting it.
        BackendShed => "backend_shed",
        /// The call would be a repeat, and the budget for repeats at a downstream service is used
        /// up.
        RepeatsSpent => "repeats_spent",
        /// Another incarnation of the backend server now uses the address. It did not run the call.
        BackendReplaced => "backend_replaced",
        /// The connection to the backend server failed.
        BackendDown => "backend_down",
        /// The backend server failed in the middle of the call.
        BackendBroke => "backend_broke",
        /// No target of the service is known or reachable.
        NoTarget => "no_target",
        /// The service has never been announced.
        UnknownService => "unknown_service",
        /// The peer was unreachable, or was lost before it answered.
        PeerLost => "peer_lost",
        /// The request, or one with the same content, crashed backend servers.
        Poisoned => "poisoned",
        /// The target does not own the slot of the key, or no longer owns it.
        NotOwner => "not_owner",
        /// The attempt took so long to arrive that its key may have been evicted from the ledger.
        StaleAttempt => "stale_attempt",
        /// The owner of the slot cannot prove that its lease is valid.
        LeaseLapsed => "lease_lapsed",
        /// The slot was taken over recently, and the key may have run before that.
        GracePeriod => "grace_period",
        /// The ledger of keys has no room for another key.
        LedgerFull => "ledger_full",
        /// The key ran or may have run, and its answer is no longer kept.
        AlreadyRan => "already_ran",
        /// The same key was used with different content.
        KeyMismatch => "key_mismatch",
        /// No preset is known yet, so nothing can be classified.
        NoPreset => "no_preset",
        /// The body ended early, or its length differs from the announced one.
        BodyCutShort => "body_cut_short",
        /// The headers or the body exceed the configured limits.
        TooLarge => "too_large",
        /// The memory limit for request and answer bodies at this node is reached.
        BodyMemory => "body_memory",
        /// The request is malformed.
        BadRequest => "bad_request",
        /// A peer uses another version of the protocol.
        PeerVersion => "peer_version",
        /// The sender revoked the attempt before it started.
        Revoked => "revoked",
        /// The caller disconnected before the call started.
        CallerGone => "caller_gone",
        /// No client account has the API key of the request.
        AccountKeyUnknown => "account_key_unknown",
        /// The route requires an API key, and the request has none.
        AccountKeyMissing => "account_key_missing",
        /// The request has several API keys.
        AccountKeyAmbiguous => "account_key_ambiguous",
        /// The API key was removed from its account while the request waited.
        AccountKeyRevoked => "account_key_revoked",
        /// This node's data from the store is too old to decide whether the API key is still valid.
        AccountKeysUnsure => "account_keys_unsure",
        /// The client account has used up its current allowance.
        AllowanceSpent => "allowance_spent",
        /// The call would exceed the rate that the backend server advertises in its answers.
        RateLimited => "rate_limited",
    }
}

reasons! {
    /// Why a call was retried. Each reason has its own counter.
    RetryReason {
        /// The target refused the call before starting it.
        NotRun => "not_run",
        /// The target was unreachable.
        Unreachable => "unreachable",
        /// The connection was lost during an idempotent call.
        ConnectionLost => "connection_lost",
        /// Nothing more was received on the connection, and the target never received the attempt.
        SilentConnection => "silent_connection",
        /// The slot of the key has another owner.
        OwnerMoved => "owner_moved",
        /// The owner requires its current stamp in the attempt.
        StampRenewed => "stamp_renewed",
    }
}

/// A refusal, as sent between nodes and to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    pub reason: RefusalReason,
    pub run_state: RunState,
    /// When to retry, in milliseconds. Jitter is already included.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Refuses a call that was certainly not started.
    pub fn not_run(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Self {
            reason,
            run_state: RunState::NotRun,
            retry_after_ms,
        }
    }

    /// Refuses a call that may have run.
    pub fn unknown(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Self {
            reason,
            run_state: RunState::Unknown,
            retry_after_ms,
        }
    }
}
