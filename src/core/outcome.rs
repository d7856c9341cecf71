//! What became of a call, as every answer and every refusal states it.

use serde::Deserialize;
use serde::Serialize;

/// Whether the request was run, as far as the speaker can be certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request was provably not started and will not be.
    NotRun,
    /// The request ran to its end.
    Ran,
    /// The request may have run; nobody who could be asked knows.
    Unknown,
}

impl RunState {
    /// The word used in headers, logs and reports.
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

            /// The word used in headers, metric labels, logs and reports.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

reasons! {
    /// Why a call was refused. Each has a counter of its own (docs/OPERATIONS.md).
    RefusalReason {
        /// The admission level learnt from answers says that the chain would shed it deeper down.
        ShedAtEntry => "shed_at_entry",
        /// The guard's queue of the class is full or the priority is under its level.
        Overloaded => "overloaded",
        /// The call waited longer than the preset allows for its class.
        WaitExceeded => "wait_exceeded",
        /// What is left of the deadline cannot be met any more.
        DeadlineExceeded => "deadline_exceeded",
        /// The target is draining or leaving.
        Draining => "draining",
        /// The backend server shed the call itself, before it started it.
        BackendShed => "backend_shed",
        /// It would be a repeat, and what its calls may repeat of a service behind it is spent.
        RepeatsSpent => "repeats_spent",
        /// Another incarnation of the backend server stands at the address; it did not run the call.
        BackendReplaced => "backend_replaced",
        /// The backend server could not be connected to.
        BackendDown => "backend_down",
        /// The backend server broke off in the middle of the call.
        BackendBroke => "backend_broke",
        /// No target of the service is known or reachable.
        NoTarget => "no_target",
        /// No such service has ever been announced.
        UnknownService => "unknown_service",
        /// The peer could not be reached or was lost before an answer came.
        PeerLost => "peer_lost",
        /// The request, or one of the same content, crashed backend servers.
        Poisoned => "poisoned",
        /// The key's home target does not own the slot (any more).
        NotOwner => "not_owner",
        /// The attempt was under way for so long that its key may have been forgotten.
        StaleAttempt => "stale_attempt",
        /// The slot's owner cannot prove that its lease holds.
        LeaseLapsed => "lease_lapsed",
        /// The slot was taken over lately and the key may have run before that.
        GracePeriod => "grace_period",
        /// The ledger of keys has no room for another key.
        LedgerFull => "ledger_full",
        /// The key already ran or may have; its answer is no longer kept.
        AlreadyRan => "already_ran",
        /// The same key came with another content.
        KeyMismatch => "key_mismatch",
        /// No preset is known yet, so nothing can be classified.
        NoPreset => "no_preset",
        /// The body ended early or disagrees with its announced length.
        BodyCutShort => "body_cut_short",
        /// The headers or the body are larger than the settings allow.
        TooLarge => "too_large",
        /// Bodies take all the memory that they may at this node.
        BodyMemory => "body_memory",
        /// The request is malformed.
        BadRequest => "bad_request",
        /// A peer speaks another version of the protocol.
        PeerVersion => "peer_version",
        /// The attempt was revoked by its sender before it started.
        Revoked => "revoked",
        /// The caller went away before the call started.
        CallerGone => "caller_gone",
        /// No client account holds the key that the request came with.
        AccountKeyUnknown => "account_key_unknown",
        /// The route asks for a key, and the request came without one.
        AccountKeyMissing => "account_key_missing",
        /// The request came with several keys.
        AccountKeyAmbiguous => "account_key_ambiguous",
        /// The key was taken away from its account while the request waited.
        AccountKeyRevoked => "account_key_revoked",
        /// Whether keys still hold is not known here: the store's word on it is too old.
        AccountKeysUnsure => "account_keys_unsure",
        /// The account has used what it may for now.
        AllowanceSpent => "allowance_spent",
        /// The backend server names a rate in its answers, and this call would be beyond it.
        RateLimited => "rate_limited",
    }
}

reasons! {
    /// Why a call was attempted again. Each has a counter of its own.
    RetryReason {
        /// The target refused before it started the call.
        NotRun => "not_run",
        /// The target could not be reached at all.
        Unreachable => "unreachable",
        /// An idempotent call was lost with its connection.
        ConnectionLost => "connection_lost",
        /// The connection went silent and the target never saw the attempt.
        SilentConnection => "silent_connection",
        /// The slot of the key has another owner.
        OwnerMoved => "owner_moved",
        /// The owner asked for its present stamp.
        StampRenewed => "stamp_renewed",
    }
}

/// A typed refusal as it travels between nodes and to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    pub reason: RefusalReason,
    pub run_state: RunState,
    /// When to come back, in milliseconds; already jittered by whoever worked it out.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// A refusal of a call that was certainly not started.
    pub fn not_run(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Self {
            reason,
            run_state: RunState::NotRun,
            retry_after_ms,
        }
    }

    /// A refusal of a call that may have run.
    pub fn unknown(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Self {
            reason,
            run_state: RunState::Unknown,
            retry_after_ms,
        }
    }
}
