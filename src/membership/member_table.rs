//! The table of all members known to this node, with digests that are updated on each change.

use super::Liveness;
use super::Member;
use super::MembershipSettings;
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

/// The result of applying an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The update was newer than what was held.
    Newer,
    /// The update matches what is held, or cannot be applied: its member or incarnation is unknown
    /// here, the member has left or is dead, or the table is full.
    Known,
    /// What is held is newer than the update.
    Stale,
}

/// Members by name, including this node.
#[derive(Clone, Debug)]
pub struct MemberTable {
    members: FastMap<Name, Member>,
    digest: u32,
    buckets: [u32; BUCKETS],
    alive: usize,
    /// Number of members alive in each failure domain.
    alive_by_domain: FastMap<Name, usize>,
    /// Members under suspicion, kept so that checking them costs nothing if there are none.
    suspects: FastSet<Name>,
    last_change: TimeMs,
}

impl MemberTable {
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

    /// The number of members that have neither died nor left.
    pub fn alive(&self) -> usize {
        self.alive
    }

    /// The number of members of one failure domain that have neither died nor left.
    pub fn alive_in(&self, domain: &str) -> usize {
        self.alive_by_domain.get(domain).copied().unwrap_or(0)
    }

    /// The digest of all members alive. Tombstones are left out because nodes remove them at
    /// different times. Suspicions are left out because they end by themselves.
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

    /// Stores a record regardless of what is held. Used for this node's own record.
    pub fn put(&mut self, record: Target, now: TimeMs) {
        self.replace(Member::new(record, now), now);
    }

    /// Applies an update about another node, unless the update is stale.
    pub fn apply(
        &mut self,
        update: &Update,
        now: TimeMs,
        settings: &MembershipSettings,
    ) -> Applied {
        match update {
            Update::Own(target) => self.apply_record(target, now, settings),
            Update::Suspect { node, incarnation } => {
                let suspected = Liveness::Suspected {
                    since: now,
                    is_local: false,
                };
                self.apply_liveness(node, *incarnation, suspected, now)
            }
            Update::Dead { node, incarnation } => {
                self.apply_liveness(node, *incarnation, Liveness::Dead, now)
            }
            Update::SlotMap { .. } | Update::RouteUse { .. } => Applied::Known,
        }
    }

    /// Applies the record that a node published of itself. A node publishes one record in each
    /// incarnation, so within the same incarnation a suspicion or a death reported by others is
    /// newer.
    fn apply_record(
        &mut self,
        record: &Target,
        now: TimeMs,
        settings: &MembershipSettings,
    ) -> Applied {
        if matches!(record.state, TargetState::Suspect | TargetState::Dead) {
            return Applied::Stale;
        }
        match self.members.get(&record.node) {
            Some(held) if held.record.incarnation > record.incarnation => return Applied::Stale,
            Some(held) if held.record.incarnation == record.incarnation => {
                return match held.liveness {
                    Liveness::Dead => Applied::Stale,
                    _ => Applied::Known,
                };
            }
            None if self.members.len() >= settings.max_members => return Applied::Known,
            _ => {}
        }
        self.replace(Member::new(record.clone(), now), now);
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
        // The update cannot be applied if its incarnation is not known here yet. The node's own
        // record of that incarnation follows.
        let has_left = held.record.state == TargetState::Left;
        if held.record.incarnation < incarnation || has_left || held.liveness == Liveness::Dead {
            return Applied::Known;
        }
        if liveness != Liveness::Dead && held.liveness != Liveness::Alive {
            return Applied::Known;
        }
        self.set_liveness(node, liveness, now);
        Applied::Newer
    }

    /// Sets the liveness of a member.
    pub fn set_liveness(&mut self, node: &str, liveness: Liveness, now: TimeMs) {
        if let Some(mut member) = self.members.get(node).cloned() {
            member.set_liveness(liveness, now);
            self.replace(member, now);
        }
    }

    /// Restarts the time of all suspicions, after a pause in which no refutation could be received.
    pub fn restart_suspicions(&mut self, now: TimeMs) {
        for node in &self.suspects {
            if let Some(member) = self.members.get_mut(node) {
                member.liveness = Liveness::Suspected {
                    since: now,
                    is_local: false,
                };
            }
        }
    }

    /// Removes tombstones that are too old or too many. Returns the names that were removed.
    pub fn remove_tombstones(&mut self, now: TimeMs, settings: &MembershipSettings) -> Vec<Name> {
        let mut tombstones: Vec<(TimeMs, Name)> = self
            .members
            .values()
            .filter(|member| member.is_tombstone())
            .map(|member| (member.changed, member.record.node.clone()))
            .collect();
        tombstones.sort_unstable();
        let surplus = tombstones.len().saturating_sub(settings.max_tombstones);
        let is_old = |changed: TimeMs| now.since(changed) > settings.tombstone_ms;
        let removed: Vec<Name> = tombstones
            .into_iter()
            .enumerate()
            .filter(|(position, (changed, _))| *position < surplus || is_old(*changed))
            .map(|(_, (_, node))| node)
            .collect();
        for node in &removed {
            self.members.remove(node);
        }
        removed
    }

    /// All members of one bucket, as updates.
    pub fn bucket_updates(&self, bucket: usize) -> Vec<Update> {
        self.members
            .values()
            .filter(|member| bucket_of(&member.record.node) == bucket)
            .map(update_about)
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

    /// Counts a member with `sign` 1 and removes it from the counts with -1. The exclusive or both
    /// adds it to the digests and removes it from them.
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

/// The update that informs a node that holds older data about a member.
pub fn update_about(member: &Member) -> Update {
    if member.liveness == Liveness::Dead {
        return Update::Dead {
            node: member.record.node.clone(),
            incarnation: member.record.incarnation,
        };
    }
    Update::Own(member.record.clone())
}
