//! What an entry asks of the client account behind a request: whose it is, how important, how much it may.

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
use crate::desired::ActiveRoute;
use crate::traffic::HeaderNames;
use crate::traffic::InForce;
use crate::traffic::call::Call;
use crate::traffic::story::tell_beyond;
use crate::traffic::traffic::Traffic;
use crate::wire::CallAccount;

/// When to come back while keys are not relied on, in milliseconds.
const UNSURE_LATER_MS: u64 = 500;
/// The class of calls of backend servers: work has been done for them already, so they go before
/// every caller's own request.
const DEEP_CLASS: u8 = 0;

/// Whose a request is, by its key.
pub(super) fn caller_of(
    traffic: &Traffic,
    in_force: &InForce,
    found: &ActiveRoute,
    headers: &HeaderMap,
) -> Result<Caller, Refusal> {
    let route = &found.route;
    let identity = IdentityInputs {
        accounts: in_force.accounts.as_ref(),
        route_is_public: route.is_public,
        route_saw_valid_key: traffic.keyed_routes.contains(&route.name),
        presented: presented(headers, &traffic.settings.header_names.account_key),
    };
    let caller = identify(identity).map_err(not_allowed)?;
    if matches!(caller, Caller::Account(..)) {
        if !traffic.keys_hold() {
            return Err(not_allowed(RefusalReason::AccountKeysUnsure));
        }
        traffic.keyed_routes.note(&route.name);
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

/// A key ends here, and only this program says whose a request is.
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

/// Calls of backend servers first, then callers' requests by the ranks of account and route.
pub(super) fn class(
    ranking: &Ranking,
    found: &ActiveRoute,
    origin: Option<RouteOrigin>,
    caller: &Caller,
) -> u8 {
    if origin == Some(RouteOrigin::Backends) {
        return DEEP_CLASS;
    }
    let of_account = match caller {
        Caller::Account(account, _) => account.rank,
        Caller::Backend | Caller::Anonymous => None,
    };
    let place = ranking.place(of_account, found.route.rank);
    place.saturating_add(DEEP_CLASS + 1)
}

/// Within a class, requests are ranked by their identifiers, so that every node keeps the same.
pub(super) fn priority(traffic: &Traffic, class: u8, headers: &HeaderMap) -> Priority {
    let id = headers.get(&traffic.settings.header_names.request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("");
    Priority::new(class, RequestId::of_key("", id).rank())
}

/// Turns a request away that is beyond its account's allowance. Answers from which account it took a part.
pub(super) fn ask_allowance(traffic: &Traffic, call: &Call) -> Result<Option<AccountId>, Refusal> {
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
    let asked = traffic.allowances.ask(traffic.clock.now(), id, allowance);
    asked.map(|()| Some(id)).map_err(|beyond| {
        tell_beyond(traffic, account, allowance, beyond);
        Refusal::not_run(RefusalReason::AllowanceSpent, beyond.retry_after_ms)
    })
}

fn not_allowed(reason: RefusalReason) -> Refusal {
    let retry_after_ms = UNSURE_LATER_MS + fastrand::u64(..UNSURE_LATER_MS);
    Refusal::not_run(reason, retry_after_ms)
}
