//! Whose a request is.

use std::sync::Arc;

use crate::accounts::Account;
use crate::accounts::AccountTable;
use crate::accounts::KeyHash;
use crate::accounts::KeyTag;
use crate::core::RefusalReason;

/// A longer key is no key of any account, and is not even hashed.
const LONGEST_KEY_BYTES: usize = 256;

/// The key that a request came with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey<'a> {
    None,
    One(&'a [u8]),
    /// Two keys or more; which of them is meant cannot be told.
    Several,
}

/// Who sent a request.
#[derive(Clone, Debug)]
pub enum Caller {
    /// The holder of a valid key.
    Account(Arc<Account>, KeyTag),
    /// The backend server beside this node, whose calls carry no key.
    Backend,
    /// Keys are not asked for here.
    Anonymous,
}

/// What the decision rests on.
#[derive(Clone, Copy, Debug)]
pub struct IdentityInputs<'a> {
    /// `None` where the deployment has no accounts.
    pub accounts: Option<&'a AccountTable>,
    pub route_is_public: bool,
    /// Requests with a valid key were seen on the route, so it is callers' and not backend servers'.
    pub route_saw_valid_key: bool,
    pub presented: PresentedKey<'a>,
}

/// Tells whose a request is.
///
/// Calls of a backend server carry no key and come from the same machine as callers' requests, so the
/// lack of a key tells them apart, until the route has shown whose it is: from then on it is a mistake
/// or an attempt to pass for one.
///
/// # Errors
/// Why the request is turned away for good.
pub fn identify(from: IdentityInputs<'_>) -> Result<Caller, RefusalReason> {
    let Some(accounts) = from.accounts else {
        return Ok(Caller::Anonymous);
    };
    if from.route_is_public {
        return Ok(Caller::Anonymous);
    }
    match from.presented {
        PresentedKey::Several => Err(RefusalReason::AccountKeyAmbiguous),
        PresentedKey::None if from.route_saw_valid_key => Err(RefusalReason::AccountKeyMissing),
        PresentedKey::None => Ok(Caller::Backend),
        PresentedKey::One(key) => holder(accounts, key),
    }
}

fn holder(accounts: &AccountTable, key: &[u8]) -> Result<Caller, RefusalReason> {
    if key.len() > LONGEST_KEY_BYTES {
        return Err(RefusalReason::AccountKeyUnknown);
    }
    let key = KeyHash::of(key);
    let account = accounts
        .holder(key)
        .ok_or(RefusalReason::AccountKeyUnknown)?;
    Ok(Caller::Account(account.clone(), key.tag()))
}
