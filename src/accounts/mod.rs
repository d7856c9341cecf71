//! Client accounts: who sent a request, with which rank, and how much the account may send. Pure
//! decisions.
//!
//! An entry is a node that receives requests from callers. Two nodes of each failure domain are
//! allowance coordinators as well, so that one may fail. Entries report the usage of each account
//! to both, and one of them replies with the fraction of its requests to admit.
//!
//! See [docs/design/shifted-work.md](../../docs/design/shifted-work.md) for the alternatives
//! considered.

mod account;
mod account_id;
mod account_table;
mod allowance_bound;
mod allowance_coordinator;
mod decayed_rate;
mod domain_usage;
mod entry_allowances;
mod fleet;
mod identity;
mod key_hash;
mod message;
mod ranking;

pub use account::Account;
pub use account::Allowance;
pub use account_id::AccountId;
pub use account_table::AccountTable;
pub use allowance_bound::AllowanceBound;
pub use allowance_coordinator::AllowanceCoordinator;
pub use entry_allowances::AccountUse;
pub use entry_allowances::AllowanceExceeded;
pub use entry_allowances::EntryAllowances;
pub use fleet::Fleet;
pub use identity::Caller;
pub use identity::IdentityInputs;
pub use identity::PresentedKey;
pub use identity::identify;
pub use key_hash::KeyHash;
pub use key_hash::KeyTag;
pub use message::AdmittedFraction;
pub use message::AllowanceMessage;
pub use message::AllowanceReply;
pub use message::Demand;
pub use message::DomainDemands;
pub use message::UsageCount;
pub use message::UsageReport;
pub use ranking::Ranking;

use decayed_rate::DecayedRate;
