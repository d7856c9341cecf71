//! Identification of requests: keys, public routes, and calls of backend servers.

use rstest::rstest;
use sassafrasgap::accounts::Account;
use sassafrasgap::accounts::AccountTable;
use sassafrasgap::accounts::Caller;
use sassafrasgap::accounts::IdentityInputs;
use sassafrasgap::accounts::KeyHash;
use sassafrasgap::accounts::PresentedKey;
use sassafrasgap::accounts::identify;
use sassafrasgap::core::Name;
use sassafrasgap::core::RefusalReason;

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        name: Name::from(name),
        keys: keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect(),
        rank: None,
        allowance: None,
    }
}

fn caller_name(caller: Result<Caller, RefusalReason>) -> Result<String, RefusalReason> {
    caller.map(|caller| match caller {
        Caller::Account(account, _) => account.name.to_string(),
        Caller::Backend => "backend server".to_owned(),
        Caller::Anonymous => "anybody".to_owned(),
    })
}

const TOO_LONG: [u8; 300] = [b'k'; 300];

#[rstest]
#[case::holder(PresentedKey::One(b"k1"), false, false, Ok("anna"))]
#[case::other_key(PresentedKey::One(b"k2"), false, true, Ok("anna"))]
#[case::unknown(
    PresentedKey::One(b"k3"),
    false,
    false,
    Err(RefusalReason::AccountKeyUnknown)
)]
#[case::prefix_of_a_key(
    PresentedKey::One(b"k"),
    false,
    false,
    Err(RefusalReason::AccountKeyUnknown)
)]
#[case::too_long(PresentedKey::One(&TOO_LONG), false, false, Err(RefusalReason::AccountKeyUnknown))]
#[case::two_keys(
    PresentedKey::Several,
    false,
    false,
    Err(RefusalReason::AccountKeyAmbiguous)
)]
#[case::backend_server(PresentedKey::None, false, false, Ok("backend server"))]
#[case::missing(PresentedKey::None, false, true, Err(RefusalReason::AccountKeyMissing))]
#[case::public(PresentedKey::One(b"k3"), true, false, Ok("anybody"))]
#[case::public_without_key(PresentedKey::None, true, true, Ok("anybody"))]
fn a_request_is_identified_by_its_key(
    #[case] presented: PresentedKey<'_>,
    #[case] route_is_public: bool,
    #[case] route_saw_valid_key: bool,
    #[case] expected: Result<&str, RefusalReason>,
) {
    let table = AccountTable::new(&[account("anna", &["k1", "k2"]), account("empty", &[])]);
    let identity = IdentityInputs {
        accounts: Some(&table),
        route_is_public,
        route_saw_valid_key,
        presented,
    };
    assert_eq!(caller_name(identify(identity)), expected.map(str::to_owned));
    let without_accounts = IdentityInputs {
        accounts: None,
        ..identity
    };
    assert_eq!(
        caller_name(identify(without_accounts)),
        Ok("anybody".to_owned())
    );
}

/// A guard checks a key by its tag. The tag is valid while the account holds the key, and only for
/// that account.
#[rstest]
fn a_tag_is_valid_as_long_as_its_key() {
    let tag = KeyHash::of(b"k1").tag();
    let before = AccountTable::new(&[account("anna", &["k1"])]);
    let after = AccountTable::new(&[account("anna", &["k2"]), account("berta", &["k1"])]);
    assert!(before.still_holds("anna", tag));
    assert!(!after.still_holds("anna", tag));
    assert!(!after.still_holds("nobody", tag));
    assert!(after.still_holds("berta", tag));
}

/// Printing a hash must reveal nothing of the key.
#[rstest]
fn a_hash_is_not_printed() {
    assert_eq!(format!("{:?}", KeyHash::of(b"k1")), "KeyHash(..)");
    assert_ne!(KeyHash::of(b"k1"), KeyHash::of(b"k2"));
}
