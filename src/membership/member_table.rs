//! All members this node knows, with digests kept as they change.

use super::Member;
use super::MembershipSettings;
use super::Liveness;
use super::Update;
use super::digest::BUCKETS;
use super::digest::bucket_of;
use super::digest::entry_digest;
use crate::core::FastMap;
use crate::core::FastSet;
use crate::core::Name;
use crate::core::Target;
use crate::core::TargetState;
use crate::core::TimeMs;

/// What became of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It was newer than what was held.
    Newer,
    /// It says what is held already, or speaks of a member that is not known.
    Known,
    /// What is held is newer.
    Stale,
}

/// Members by name, this node among them.
#[derive(Clone, Debug)]
pub struct MemberTable {
    members: FastMap<Name, Member>,
    digest: u32,
    buckets: [u32; BUCKETS],
    alive: usize,
    /// How many of these are in each failure domain.
    alive_by_domain: FastMap<Name, usize>,
    /// Members under suspicion, so that looking after them costs nothing while there are none.
    suspects: FastSet<Name>,
    last_change: TimeMs,
}

impl MemberTable {
    /// A table without members.
    pub fn new() -> Self {
        Self {
            members: FastMap::default(),
            digest: 0,
            buckets: [0; BUCKETS],
            alive: 0,
            alive_by_domain: FastMap::default(),
            suspects: FastSet::default(),
            last_change: TimeMs::default(),
        }
    }

    pub fn get(&self, node: &str) -> Option<&Member> {
        self.members.get(node)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Members under suspicion.
    pub fn suspects(&self) -> impl Iterator<Item = &Member> {
        self.suspects
            .iter()
            .filter_map(|node| self.members.get(node))
    }

    /// Members that are neither dead nor departed.
    pub fn alive(&self) -> usize {
        self.alive
    }

    /// The same of one failure domain.
    pub fn alive_in(&self, domain: &str) -> usize {
        self.alive_by_domain.get(domain).copied().unwrap_or(0)
    }

    /// The digest of all members alive. Tombstones are left out, since nodes forget them at
    /// different times; suspicions are, since they pass by themselves.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    pub fn buckets(&self) -> &[u32; BUCKETS] {
        &self.buckets
    }

    /// When the digest last changed.
    pub fn last_change(&self) -> TimeMs {
        self.last_change
    }

    /// Puts in what a node says of itself, whatever is held; for this node's own record.
    pub fn put(&mut self, own: Target, now: TimeMs) {
        self.replace(Member::new(own, now), now);
    }

    /// Applies an update about another node, unless it is stale.
    pub fn apply(
        &mut self,
        update: &Update,
        now: TimeMs,
        settings: &MembershipSettings,
    ) -> Applied {
        match update {
            Update::Own(target) => self.apply_own(target, now, settings),
            Update::Suspect { node, incarnation } => {
                let suspected = Liveness::Suspected {
                    since: now,
                    first_hand: false,
                };
                self.apply_liveness(node, *incarnation, suspected, now)
            }
            Update::Dead { node, incarnation } => {
                self.apply_liveness(node, *incarnation, Liveness::Dead, now)
            }
            Update::SlotMap { .. } | Update::RouteUse { .. } => Applied::Known,
        }
    }

    /// A node speaks of itself once in each incarnation, so within the same incarnation what
    /// others say of it (suspect, dead) is the later news.
    fn apply_own(&mut self, own: &Target, now: TimeMs, settings: &MembershipSettings) -> Applied {
        if matches!(own.state, TargetState::Suspect | TargetState::Dead) {
            return Applied::Stale;
        }
        match self.members.get(&own.node) {
            Some(held) if held.record.incarnation > own.incarnation => return Applied::Stale,
            Some(held) if held.record.incarnation == own.incarnation => {
                return match held.liveness {
                    Liveness::Dead => Applied::Stale,
                    _ => Applied::Known,
                };
            }
            None if self.members.len() >= settings.max_members => return Applied::Known,
            _ => {}
        }
        self.replace(Member::new(own.clone(), now), now);
        Applied::Newer
    }

    fn apply_liveness(
        &mut self,
        node: &str,
        incarnation: u64,
        liveness: Liveness,
        now: TimeMs,
    ) -> Applied {
        let Some(held) = self.members.get(node) else {
            return Applied::Known;
        };
        if held.record.incarnation > incarnation {
            return Applied::Stale;
        }
        // A suspicion of an incarnation not heard of yet cannot be placed; the node's own word on
        // that incarnation will come.
        let departed = held.record.state == TargetState::Left;
        if held.record.incarnation < incarnation || departed || held.liveness == Liveness::Dead {
            return Applied::Known;
        }
        if liveness != Liveness::Dead && held.liveness != Liveness::Alive {
            return Applied::Known;
        }
        self.set_liveness(node, liveness, now);
        Applied::Newer
    }

    /// Changes what is said of a member.
    pub fn set_liveness(&mut self, node: &str, liveness: Liveness, now: TimeMs) {
        if let Some(mut member) = self.members.get(node).cloned() {
            member.set_liveness(liveness, now);
            self.replace(member, now);
        }
    }

    /// Begins all suspicions anew, after a pause in which no refutation could be heard.
    pub fn restart_suspicions(&mut self, now: TimeMs) {
        for node in &self.suspects {
            if let Some(member) = self.members.get_mut(node) {
                member.liveness = Liveness::Suspected {
                    since: now,
                    first_hand: false,
                };
            }
        }
    }

    /// Forgets tombstones that are old or too many. Returns what was forgotten.
    pub fn forget_tombstones(&mut self, now: TimeMs, settings: &MembershipSettings) -> Vec<Name> {
        let mut tombstones: Vec<(TimeMs, Name)> = self
            .members
            .values()
            .filter(|member| member.is_tombstone())
            .map(|member| (member.changed, member.record.node.clone()))
            .collect();
        tombstones.sort_unstable();
        let surplus = tombstones.len().saturating_sub(settings.max_tombstones);
        let is_old = |changed: TimeMs| now.since(changed) > settings.tombstone_ms;
        let forgotten: Vec<Name> = tombstones
            .into_iter()
            .enumerate()
            .filter(|(position, (changed, _))| *position < surplus || is_old(*changed))
            .map(|(_, (_, node))| node)
            .collect();
        for node in &forgotten {
            self.members.remove(node);
        }
        forgotten
    }

    /// Everything known of the members in one bucket, as updates.
    pub fn bucket_updates(&self, bucket: usize) -> Vec<Update> {
        self.members
            .values()
            .filter(|member| bucket_of(&member.record.node) == bucket)
            .map(record_of)
            .collect()
    }

    fn replace(&mut self, member: Member, now: TimeMs) {
        let digest_before = self.digest;
        let node = member.record.node.clone();
        match member.liveness {
            Liveness::Suspected { .. } => self.suspects.insert(node.clone()),
            _ => self.suspects.remove(&node),
        };
        self.count(&member, 1);
        if let Some(old) = self.members.insert(node, member) {
            self.count(&old, -1);
        }
        if self.digest != digest_before {
            self.last_change = now;
        }
    }

    fn count(&mut self, member: &Member, sign: isize) {
        if member.is_tombstone() {
            return;
        }
        let digest = entry_digest(&member.record.node, member.record.incarnation);
        self.digest ^= digest;
        self.buckets[bucket_of(&member.record.node)] ^= digest;
        self.alive = self.alive.saturating_add_signed(sign);
        let domain = &member.record.domain;
        let in_domain = self.alive_in(domain).saturating_add_signed(sign);
        match in_domain {
            0 => self.alive_by_domain.remove(domain),
            _ => self.alive_by_domain.insert(domain.clone(), in_domain),
        };
    }
}

impl Default for MemberTable {
    fn default() -> Self {
        Self::new()
    }
}

/// What is held of a member, to be told to somebody who holds less.
pub fn record_of(member: &Member) -> Update {
    if member.liveness == Liveness::Dead {
        return Update::Dead {
            node: member.record.node.clone(),
            incarnation: member.record.incarnation,
        };
    }
    Update::Own(member.record.clone())
}
