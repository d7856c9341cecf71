//! Checks whether a request admitted by an account key is still allowed by the desired state in
//! force.

use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::traffic::traffic::Traffic;
use crate::wire::CallAccount;

/// Refuses a request whose key was revoked after its entry admitted it.
///
/// A key can be revoked while a request waits, at its entry for a target or at a guard for a slot.
/// So a node checks the key again before it sends the request, if it has a later desired state than
/// the one by which the request was admitted. The same or an earlier state cannot contain a later
/// revocation.
pub(super) fn check_account(
    traffic: &Traffic,
    account: Option<&CallAccount>,
) -> Result<(), Refusal> {
    let Some(account) = account else {
        return Ok(());
    };
    if traffic.desired.version() <= account.version {
        return Ok(());
    }
    let in_force = traffic.desired.load();
    let accounts = in_force
        .as_ref()
        .and_then(|in_force| in_force.accounts.as_ref());
    let holds = accounts.is_none_or(|accounts| accounts.still_holds(&account.name, account.key));
    if holds {
        return Ok(());
    }
    log::info!(
        "account: key revoked while a request waited, account={} let_in_by={} version={}",
        account.name,
        account.version,
        traffic.desired.version()
    );
    Err(Refusal::not_run(RefusalReason::AccountKeyRevoked, 0))
}
