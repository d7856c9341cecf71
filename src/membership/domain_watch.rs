//! When each failure domain was last known to answer.

use super::DomainContact;
use super::age_tenths::age_tenths;
use super::age_tenths::moment_of;
use super::digest::domain_hash;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// More failure domains than any deployment has; further ones are not watched.
const MAX_DOMAINS: usize = 256;

/// What is known of one failure domain.
#[derive(Clone, Copy, Debug)]
struct Watched {
    /// The hash of the domain's name, kept because it is looked for in every datagram.
    hash: u16,
    /// When this node began to watch. It counts for the own judgement only: passed on, it would
    /// look like an answer, and a node that restarts would make cut-off domains look alive.
    since: TimeMs,
    /// The last answer to anybody of the own domain.
    answered: Option<TimeMs>,
}

impl Watched {
    fn silent_ms(self, now: TimeMs) -> u64 {
        let last = self.answered.unwrap_or_default().max(self.since);
        now.since(last)
    }
}

/// The last answers from each failure domain, as far as this node's own domain knows.
///
/// One node asks another domain too rarely to judge it alone, so the members of a domain share
/// their evidence. Only answers to probes count: where packets get through one way only, being
/// sent something proves nothing about reaching the sender.
#[derive(Clone, Debug, Default)]
pub struct DomainWatch {
    domains: FastMap<Name, Watched>,
}

impl DomainWatch {
    /// Begins to watch a domain.
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

    /// Notes an answer that came at `at`. Returns for how long there had been none.
    pub fn note(&mut self, domain: &str, at: TimeMs) -> u64 {
        let Some(watched) = self.domains.get_mut(domain) else {
            return 0;
        };
        let silent_ms = watched.silent_ms(at);
        watched.answered = watched.answered.max(Some(at));
        silent_ms
    }

    /// Takes in what a member of the own domain knows. Returns the domains that had not answered
    /// for longer than `silent_ms`.
    pub fn merge(&mut self, heard: &[DomainContact], now: TimeMs, silent_ms: u64) -> Vec<Name> {
        let mut heard_again = Vec::new();
        for (domain, watched) in &mut self.domains {
            let mut about_it = heard.iter().filter(|h| h.domain_hash == watched.hash);
            let Some(theirs) = about_it.next() else {
                continue;
            };
            let answered = moment_of(theirs.age_tenths, now);
            if watched.answered >= answered {
                continue;
            }
            let before_ms = watched.silent_ms(now);
            watched.answered = answered;
            if before_ms > silent_ms && watched.silent_ms(now) <= silent_ms {
                heard_again.push(domain.clone());
            }
        }
        heard_again
    }

    /// The ages to send to members of the own domain.
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

    /// When the domain was last known to answer.
    pub fn last_answer(&self, domain: &str) -> Option<TimeMs> {
        self.domains.get(domain)?.answered
    }

    /// Domains that did not answer for longer than `silent_ms`, in order of name.
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

    /// Stops watching domains of which no member is known.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.domains.retain(|domain, _| known(domain));
    }

    /// Begins anew after this process was paused: the silence was its own.
    pub fn restart(&mut self, now: TimeMs) {
        for watched in self.domains.values_mut() {
            watched.since = now;
        }
    }
}
