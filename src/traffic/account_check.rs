//! Whether a request that was let in by a key is still allowed by the desired state in force.

use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::traffic::traffic::Traffic;
use crate::wire::CallAccount;

/// Refuses a request whose key was taken away since its entry let it in.
///
/// Guards against a request that waits, at its entry for a target or at a guard for a slot, while its key
/// is taken away. It holds because whoever knows a later desired state than the one that let the request
/// in asks it once more before sending; one who knows an earlier state knows nothing better.
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
        "account: a key was taken away while a request waited, account={} let_in_by={} version={}",
        account.name,
        account.version,
        traffic.desired.version()
    );
    Err(Refusal::not_run(RefusalReason::AccountKeyRevoked, 0))
}
