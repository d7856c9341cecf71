//! Identifies the sender of a request by its API key.

use std::sync::Arc;

use crate::accounts::Account;
use crate::accounts::AccountTable;
use crate::accounts::KeyHash;
use crate::accounts::KeyTag;
use crate::core::RefusalReason;

/// A longer key belongs to no account and is not hashed.
const MAX_KEY_BYTES: usize = 256;

/// The API key that a request presents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey<'a> {
    None,
    One(&'a [u8]),
    /// Two keys or more, so it is ambiguous which one is meant.
    Several,
}

/// The sender of a request.
#[derive(Clone, Debug)]
pub enum Caller {
    /// The holder of a valid key.
    Account(Arc<Account>, KeyTag),
    /// The backend server beside this node, whose calls carry no key.
    Backend,
    /// No key is required here.
    Anonymous,
}

/// What the identification depends on.
#[derive(Clone, Copy, Debug)]
pub struct IdentityInputs<'a> {
    /// `None` where the deployment has no accounts.
    pub accounts: Option<&'a AccountTable>,
    pub route_is_public: bool,
    /// Whether a request with a valid key has arrived on the route. If so, the route is used by
    /// callers, not by backend servers.
    pub route_saw_valid_key: bool,
    pub presented: PresentedKey<'a>,
}

/// Identifies the sender of a request.
///
/// Calls of a backend server carry no key and come from the same machine as callers' requests, so
/// only the missing key distinguishes them. A request without a key is therefore treated as a
/// call of a backend server, until a request with a valid key has arrived on the route. From then
/// on a missing key is a mistake or an attempt to pass for a backend server.
///
/// # Errors
/// The reason why the request is refused for good.
pub fn identify(inputs: IdentityInputs<'_>) -> Result<Caller, RefusalReason> {
    let Some(accounts) = inputs.accounts else {
        return Ok(Caller::Anonymous);
    };
    if inputs.route_is_public {
        return Ok(Caller::Anonymous);
    }
    match inputs.presented {
        PresentedKey::Several => Err(RefusalReason::AccountKeyAmbiguous),
        PresentedKey::None if inputs.route_saw_valid_key => Err(RefusalReason::AccountKeyMissing),
        PresentedKey::None => Ok(Caller::Backend),
        PresentedKey::One(key) => holder(accounts, key),
    }
}

fn holder(accounts: &AccountTable, key: &[u8]) -> Result<Caller, RefusalReason> {
    if key.len() > MAX_KEY_BYTES {
        return Err(RefusalReason::AccountKeyUnknown);
    }
    let key = KeyHash::of(key);
    let account = accounts
        .holder(key)
        .ok_or(RefusalReason::AccountKeyUnknown)?;
    Ok(Caller::Account(account.clone(), key.tag()))
}
