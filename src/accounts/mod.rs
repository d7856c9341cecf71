//! Client accounts: whose a request is, and what that allows. Pure decisions.
//!
//! See [docs/design/shifted-work.md](../../docs/design/shifted-work.md) for the ways weighed.

mod account;
mod account_table;
mod identity;
mod key_hash;

pub use account::Account;
pub use account::Allowance;
pub use account_table::AccountTable;
pub use identity::Caller;
pub use identity::Identity;
pub use identity::Presented;
pub use identity::identify;
pub use key_hash::KeyHash;
pub use key_hash::KeyTag;
