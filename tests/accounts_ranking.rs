//! The order of importance computed from the ranks of accounts and of routes.

use rstest::rstest;
use sassafrasgap::accounts::Ranking;

/// The rank of the account comes first. Requests of accounts of one rank keep the order of their
/// routes.
#[rstest]
fn account_ranks_precede_route_ranks() {
    let ranking = Ranking::new(&[Some(0), Some(2), None], &[0, 1, 2]);
    let places = [
        (Some(0), 0),
        (Some(0), 1),
        (Some(0), 2),
        (None, 1),
        (Some(2), 0),
        (Some(2), 1),
        (None, 2),
    ];
    let places = places.map(|(account, route)| ranking.place(account, route));
    assert!(places.is_sorted(), "{places:?}");
    assert!(places[0] < places[1] && places[2] < places[3]);
    assert_eq!(places[6], ranking.place(Some(2), 2));
}

/// Without accounts the order is that of the routes, with one place for each rank.
#[rstest]
fn routes_alone_keep_their_ranks() {
    let ranking = Ranking::new(&[], &[2, 0, 1, 1]);
    let places = [0, 1, 2].map(|route| ranking.place(None, route));
    assert_eq!(places, [0, 1, 2]);
}

/// With any number of ranks, the number of places stays small and their order is kept.
#[rstest]
fn many_ranks_share_places() {
    let accounts: Vec<Option<u8>> = (0..40).map(Some).collect();
    let ranking = Ranking::new(&accounts, &[0, 1, 2, 3]);
    let places: Vec<u8> = (0..40).map(|rank| ranking.place(Some(rank), 1)).collect();
    assert!(places.is_sorted());
    assert!(places.iter().all(|place| *place < 14));
    assert!(places[0] < places[39]);
}
