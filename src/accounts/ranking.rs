//! One order of importance out of the ranks of accounts and of routes.

use std::collections::BTreeSet;

/// Places that there are; beyond them neighbours share one.
const MOST_PLACES: usize = 14;

/// The order in which requests are kept under pressure: by the account's rank first, then by the route's, so
/// that requests of accounts of one rank keep the order of their routes. Where an account has no rank, or a
/// request no account, the route's rank stands for both.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranking {
    /// All pairs that may come, the most important first.
    pairs: Vec<(u8, u8)>,
}

impl Ranking {
    /// Prepares the order for these ranks.
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

    /// How many places there are.
    pub fn places(&self) -> usize {
        self.pairs.len().min(MOST_PLACES)
    }

    /// The place of a request, 0 being the most important.
    pub fn place(&self, account: Option<u8>, route: u8) -> u8 {
        let pair = (account.unwrap_or(route), route);
        let index = self.pairs.partition_point(|other| *other < pair);
        let places = self.pairs.len().max(MOST_PLACES);
        (index * MOST_PLACES / places) as u8
    }
}
