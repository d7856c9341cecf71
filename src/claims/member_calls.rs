//! Remote calls from the claims of one node to another member.

use crate::claims::ClaimsPorts;
use crate::claims::LedgerTransfer;
use crate::control::Promise;
use crate::control::PromiseRequest;
use crate::core::Name;

/// Asks a member for a promise. A missing answer counts as a refusal.
pub(super) async fn ask_promise(ports: &ClaimsPorts, node: &Name, ask: PromiseRequest) -> Promise {
    let target = ports.view.load().nodes.get(node).cloned();
    let Some(target) = target else {
        return Promise::Refused;
    };
    let answer = ports.clients.promise(target.control_address, ask).await;
    answer.unwrap_or_else(|error| {
        log::debug!("claims: promise request failed node={node} error={error}");
        Promise::Refused
    })
}

/// Sends a ledger transfer or a key update. Returns whether the receiver confirmed it.
pub(super) async fn send_transfer(
    ports: &ClaimsPorts,
    node: &Name,
    transfer: &LedgerTransfer,
) -> bool {
    let target = ports.view.load().nodes.get(node).cloned();
    let Some(target) = target else {
        return false;
    };
    let answer = ports
        .clients
        .hand_over(target.control_address, transfer.encode())
        .await;
    answer.unwrap_or_else(|error| {
        log::debug!("claims: transfer not confirmed node={node} error={error}");
        false
    })
}
