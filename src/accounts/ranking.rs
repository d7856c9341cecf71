//! Combines the ranks of accounts and of routes into one order of importance.

use std::collections::BTreeSet;

/// Maximum number of places. With more pairs, neighbouring pairs share a place.
const MAX_PLACES: usize = 14;

/// The order in which requests are kept under overload: by the account's rank first, then by the
/// route's. Requests of accounts of one rank thus keep the order of their routes. Where an account
/// has no rank, or a request has no account, the route's rank is used for both.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranking {
    /// All possible pairs of account rank and route rank, the most important first.
    pairs: Vec<(u8, u8)>,
}

impl Ranking {
    /// Builds the order for these ranks.
    pub fn new(accounts: &[Option<u8>], routes: &[u8]) -> Self {
        let mut pairs = BTreeSet::new();
        for route in routes {
            pairs.insert((*route, *route));
            let ranks = accounts.iter().flatten();
            pairs.extend(ranks.map(|account| (*account, *route)));
        }
        Self {
            pairs: pairs.into_iter().collect(),
        }
    }

    /// The number of places.
    pub fn places(&self) -> usize {
        self.pairs.len().min(MAX_PLACES)
    }

    /// The place of a request; 0 is the most important.
    pub fn place(&self, account: Option<u8>, route: u8) -> u8 {
        let pair = (account.unwrap_or(route), route);
        let index = self.pairs.partition_point(|other| *other < pair);
        let places = self.pairs.len().max(MAX_PLACES);
        (index * MAX_PLACES / places) as u8
    }
}
