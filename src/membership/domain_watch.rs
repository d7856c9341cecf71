//! The time at which each failure domain was last known to answer.

use super::DomainContact;
use super::age_tenths::age_tenths;
use super::age_tenths::time_from_age;
use super::digest::domain_hash;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// More failure domains than any deployment has. Further ones are not watched.
const MAX_DOMAINS: usize = 256;

/// The state of one failure domain.
#[derive(Clone, Copy, Debug)]
struct Watched {
    /// Hash of the failure domain's name, kept because every datagram is compared with it.
    hash: u16,
    /// When this node began to watch the domain. It is never sent to other nodes: they would treat
    /// it as an answer, and a restarted node would make cut-off domains look reachable.
    since: TimeMs,
    /// The last answer to any member of this node's own failure domain.
    answered: Option<TimeMs>,
}

impl Watched {
    fn silent_ms(self, now: TimeMs) -> u64 {
        let last = self.answered.unwrap_or_default().max(self.since);
        now.since(last)
    }
}

/// The last answer from each failure domain to any member of this node's own domain.
///
/// One node probes another domain too rarely to judge it alone, so the members of a domain share
/// their observations. Only answers to probes count. If packets pass in one direction only, a
/// received datagram does not show that the sender can be reached.
#[derive(Clone, Debug, Default)]
pub struct DomainWatch {
    domains: FastMap<Name, Watched>,
}

impl DomainWatch {
    /// Begins to watch a failure domain.
    pub fn watch(&mut self, domain: &Name, now: TimeMs) {
        if self.domains.len() < MAX_DOMAINS && !self.domains.contains_key(domain) {
            let watched = Watched {
                hash: domain_hash(domain),
                since: now,
                answered: None,
            };
            self.domains.insert(domain.clone(), watched);
        }
    }

    /// Records an answer that arrived at `at`. Returns for how long there had been none.
    pub fn record_answer(&mut self, domain: &str, at: TimeMs) -> u64 {
        let Some(watched) = self.domains.get_mut(domain) else {
            return 0;
        };
        let silent_ms = watched.silent_ms(at);
        watched.answered = watched.answered.max(Some(at));
        silent_ms
    }

    /// Merges the observations of a member of this node's own domain. Returns the domains that had
    /// not answered for longer than `silent_ms` and now have.
    pub fn merge(&mut self, heard: &[DomainContact], now: TimeMs, silent_ms: u64) -> Vec<Name> {
        let mut reachable_again = Vec::new();
        for (domain, watched) in &mut self.domains {
            let mut matching = heard.iter().filter(|h| h.domain_hash == watched.hash);
            let Some(theirs) = matching.next() else {
                continue;
            };
            let answered = time_from_age(theirs.age_tenths, now);
            if watched.answered >= answered {
                continue;
            }
            let before_ms = watched.silent_ms(now);
            watched.answered = answered;
            if before_ms > silent_ms && watched.silent_ms(now) <= silent_ms {
                reachable_again.push(domain.clone());
            }
        }
        reachable_again
    }

    /// The ages of the last answers, to send to members of this node's own domain.
    pub fn ages(&self, now: TimeMs) -> Vec<DomainContact> {
        self.domains
            .values()
            .filter_map(|watched| {
                watched.answered.map(|answered| DomainContact {
                    domain_hash: watched.hash,
                    age_tenths: age_tenths(answered, now),
                })
            })
            .collect()
    }

    /// When the domain last answered, as far as known.
    pub fn last_answer(&self, domain: &str) -> Option<TimeMs> {
        self.domains.get(domain)?.answered
    }

    /// The domains that have not answered for longer than `silent_ms`, ordered by name.
    pub fn silent(&self, now: TimeMs, silent_ms: u64) -> Vec<Name> {
        let mut silent: Vec<Name> = self
            .domains
            .iter()
            .filter(|(_, watched)| watched.silent_ms(now) > silent_ms)
            .map(|(domain, _)| domain.clone())
            .collect();
        silent.sort_unstable();
        silent
    }

    /// Stops watching the domains for which `known` is false, because they have no members any
    /// more.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.domains.retain(|domain, _| known(domain));
    }

    /// Restarts all silence periods after a pause of this process, during which it could receive
    /// nothing.
    pub fn restart(&mut self, now: TimeMs) {
        for watched in self.domains.values_mut() {
            watched.since = now;
        }
    }
}
