//! Client accounts at the entry: identity, priority and allowance of a request's account.

use http::HeaderMap;
use http::HeaderName;

use crate::accounts::AccountId;
use crate::accounts::Caller;
use crate::accounts::IdentityInputs;
use crate::accounts::PresentedKey;
use crate::accounts::Ranking;
use crate::accounts::identify;
use crate::core::Priority;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RequestId;
use crate::core::RouteOrigin;
use crate::desired::RouteInForce;
use crate::traffic::HeaderNames;
use crate::traffic::InForce;
use crate::traffic::call::Call;
use crate::traffic::request_log::log_allowance_exceeded;
use crate::traffic::traffic::Traffic;
use crate::wire::CallAccount;

/// Retry-after of a refusal for an account key, in milliseconds.
const KEY_REFUSAL_RETRY_AFTER_MS: u64 = 500;
/// The priority class of calls of backend servers. Work has already been done for them, so they
/// precede all requests of callers.
const BACKEND_CALL_CLASS: u8 = 0;

/// Identifies the sender of a request by its account key.
pub(super) fn identify_caller(
    traffic: &Traffic,
    in_force: &InForce,
    found: &RouteInForce,
    headers: &HeaderMap,
) -> Result<Caller, Refusal> {
    let route = &found.route;
    let identity = IdentityInputs {
        accounts: in_force.accounts.as_ref(),
        route_is_public: route.is_public,
        route_saw_valid_key: traffic.keyed_routes.contains(&route.name),
        presented: presented(headers, &traffic.settings.header_names.account_key),
    };
    let caller = identify(identity).map_err(key_refusal)?;
    if matches!(caller, Caller::Account(..)) {
        if !traffic.keys_are_fresh() {
            return Err(key_refusal(RefusalReason::AccountKeysUnsure));
        }
        traffic.keyed_routes.record(&route.name);
    }
    Ok(caller)
}

fn presented<'a>(headers: &'a HeaderMap, name: &HeaderName) -> PresentedKey<'a> {
    let mut keys = headers.get_all(name).iter();
    match (keys.next(), keys.next()) {
        (None, _) => PresentedKey::None,
        (Some(key), None) => PresentedKey::One(key.as_bytes()),
        (Some(_), Some(_)) => PresentedKey::Several,
    }
}

/// Removes the key, which is never forwarded, and any account name set by the sender: only nodes
/// may set it.
pub(super) fn strip_account(names: &HeaderNames, headers: &mut HeaderMap) {
    headers.remove(&names.account_key);
    headers.remove(&names.account);
}

pub(super) fn account(caller: Caller, in_force: &InForce) -> Option<CallAccount> {
    let Caller::Account(account, key) = caller else {
        return None;
    };
    Some(CallAccount {
        name: account.name.clone(),
        key,
        version: in_force.state.version,
    })
}

/// The priority class: calls of backend servers first, then requests of callers by the ranks of
/// account and route.
pub(super) fn class(
    ranking: &Ranking,
    found: &RouteInForce,
    origin: Option<RouteOrigin>,
    caller: &Caller,
) -> u8 {
    if origin == Some(RouteOrigin::Backends) {
        return BACKEND_CALL_CLASS;
    }
    let account_rank = match caller {
        Caller::Account(account, _) => account.rank,
        Caller::Backend | Caller::Anonymous => None,
    };
    let place = ranking.place(account_rank, found.route.rank);
    place.saturating_add(BACKEND_CALL_CLASS + 1)
}

/// The priority of a request. Within a class requests are ranked by a hash of their identifiers, so
/// all nodes admit the same ones.
pub(super) fn priority(traffic: &Traffic, class: u8, headers: &HeaderMap) -> Priority {
    let id = headers.get(&traffic.settings.header_names.request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("");
    Priority::new(class, RequestId::of_key("", id).rank())
}

/// Refuses a request that exceeds its account's allowance. Returns the account that was charged.
pub(super) fn check_allowance(
    traffic: &Traffic,
    call: &Call,
) -> Result<Option<AccountId>, Refusal> {
    let Some(account) = &call.account else {
        return Ok(None);
    };
    let in_force = traffic.desired.load();
    let accounts = in_force
        .as_ref()
        .and_then(|in_force| in_force.accounts.as_ref());
    let allowance = accounts.and_then(|accounts| accounts.named(&account.name)?.allowance);
    let Some(allowance) = allowance else {
        return Ok(None);
    };
    let id = AccountId::of(&account.name);
    let decision = traffic.allowances.admit(traffic.clock.now(), id, allowance);
    decision.map(|()| Some(id)).map_err(|exceeded| {
        log_allowance_exceeded(traffic, account, allowance, exceeded);
        Refusal::not_run(RefusalReason::AllowanceSpent, exceeded.retry_after_ms)
    })
}

fn key_refusal(reason: RefusalReason) -> Refusal {
    let retry_after_ms = KEY_REFUSAL_RETRY_AFTER_MS + fastrand::u64(..KEY_REFUSAL_RETRY_AFTER_MS);
    Refusal::not_run(reason, retry_after_ms)
}
