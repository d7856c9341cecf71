//! When each failure domain was last known to answer.

use super::HeardDomain;
use super::digest::domain_hash;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// More failure domains than any deployment has; further ones are not watched.
const MAX_DOMAINS: usize = 256;

/// The last answers from each failure domain, as far as this node's own domain knows.
///
/// One node asks another domain too rarely to judge it alone, so the members of a domain share
/// their evidence. Only answers to probes count: where packets get through one way only, being
/// sent something proves nothing about reaching the sender.
#[derive(Clone, Debug, Default)]
pub struct DomainWatch {
    heard: FastMap<Name, TimeMs>,
}

impl DomainWatch {
    /// Begins to watch a domain; until it answers, it counts as heard at this moment.
    pub fn watch(&mut self, domain: &Name, now: TimeMs) {
        if self.heard.len() < MAX_DOMAINS && !self.heard.contains_key(domain) {
            self.heard.insert(domain.clone(), now);
        }
    }

    /// Notes an answer that came at `at`.
    pub fn note(&mut self, domain: &str, at: TimeMs) {
        if let Some(last) = self.heard.get_mut(domain) {
            *last = (*last).max(at);
        }
    }

    /// Takes in what a member of the own domain knows.
    pub fn merge(&mut self, heard: &[HeardDomain], now: TimeMs) {
        for (domain, last) in &mut self.heard {
            let hash = domain_hash(domain);
            let Some(theirs) = heard.iter().find(|theirs| theirs.domain_hash == hash) else {
                continue;
            };
            if theirs.age_tenths < u8::MAX {
                *last = (*last).max(now - u64::from(theirs.age_tenths) * 100);
            }
        }
    }

    /// The ages to send to members of the own domain, rounded up so that evidence never gets
    /// younger by being passed on.
    pub fn ages(&self, now: TimeMs) -> Vec<HeardDomain> {
        self.heard
            .iter()
            .map(|(domain, last)| HeardDomain {
                domain_hash: domain_hash(domain),
                age_tenths: now.since(*last).div_ceil(100).min(255) as u8,
            })
            .collect()
    }

    /// When the domain was last known to answer.
    pub fn last_heard(&self, domain: &str) -> Option<TimeMs> {
        self.heard.get(domain).copied()
    }

    /// Domains whose last answer is older than `age_ms`, in order of name.
    pub fn silent(&self, now: TimeMs, age_ms: u64) -> Vec<Name> {
        let mut silent: Vec<Name> = self
            .heard
            .iter()
            .filter(|(_, last)| now.since(**last) > age_ms)
            .map(|(domain, _)| domain.clone())
            .collect();
        silent.sort_unstable();
        silent
    }

    /// Stops watching domains of which no member is known.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.heard.retain(|domain, _| known(domain));
    }

    /// Starts afresh after this process was paused: the silence was its own.
    pub fn restart(&mut self, now: TimeMs) {
        self.heard.values_mut().for_each(|last| *last = now);
    }
}
