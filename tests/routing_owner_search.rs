//! Which targets a keyed call asks for the owner of its slot.

use rstest::rstest;
use sassafrasgap::core::Name;
use sassafrasgap::routing::OwnerSearch;

/// A node is stopped as planned on a busy machine. A call first asks the next owner of its slot,
/// which has not read the row yet and knows of no owner. It then asks the former owner, which names
/// the next one. Guards against a refusal of the call because the next owner has been asked
/// already. A target that cannot be reached is still ruled out.
#[rstest]
fn a_target_that_knew_no_owner_may_be_named_as_one_later() {
    let mut search = OwnerSearch::default();
    let (next, gone) = (Name::from("menus-2"), Name::from("menus-3"));
    search.record_without_owner(next.clone());
    search.record_unreachable(gone.clone());
    assert!(search.may_be_owner(&next));
    assert!(!search.may_be_owner(&gone));
    assert_eq!(search.tried(), [gone, next]);
}
