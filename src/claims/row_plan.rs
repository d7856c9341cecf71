//! Plans the changes that one member makes to a service's row with its next write.

use crate::claims::Identity;
use crate::claims::Intent;
use crate::claims::LeaseConf;
use crate::claims::Member;
use crate::claims::SlotMap;
use crate::claims::fair_share::candidates;
use crate::claims::fair_share::fair_share;
use crate::core::FastMap;
use crate::core::TimeMs;

/// Number of leases by which a member that needs the long wait delays its announcement, so that
/// members with the short wait act first.
const LONG_WAIT_DELAY_LEASES: u64 = 3;

/// Slots to reassign in the row: the receiver has confirmed their hand-over, or they are released
/// because there is no receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotTransfer {
    pub transfer: u64,
    pub receiver: Option<u64>,
    pub slots: Vec<usize>,
}

/// Input of the plan besides the row.
pub struct PlanInput<'a> {
    pub me: &'a Identity,
    pub conf: &'a LeaseConf,
    pub now: TimeMs,
    pub serving: bool,
    pub stopping: bool,
    /// The number of nodes of the service that membership considers alive.
    pub alive: usize,
    /// Claims all slots without an owner, even beyond the fair share.
    pub claim_all_unowned: bool,
    /// Members that are missing, and since when.
    pub missing: &'a FastMap<u64, TimeMs>,
    /// This process's intents, and when each was first seen in the row.
    pub intents: &'a FastMap<u64, TimeMs>,
    /// No promise prevents a take-over.
    pub may_take_over: bool,
    pub slot_transfer: Option<&'a SlotTransfer>,
}

/// The planned content of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    pub map: SlotMap,
    /// The plan takes slots from a member that may be alive.
    pub takes_over: bool,
}

/// A write that changes nothing but the row's version.
pub fn unchanged(map: &SlotMap) -> Planned {
    Planned {
        map: map.clone(),
        takes_over: false,
    }
}

/// The row with this member's changes, or `None` if it needs none.
pub fn plan(map: &SlotMap, input: &PlanInput<'_>, rng: &mut fastrand::Rng) -> Option<Planned> {
    let mut next = map.clone();
    let me = input.me.instance;
    if next.member(me).is_none() {
        if !input.serving || input.stopping {
            return None;
        }
        next.join(own_member(input));
    }
    take_from_predecessor(&mut next, input);
    next.intents.retain(|intent| intent.victim != me);
    update_own_member(&mut next, input);
    apply_slot_transfer(&mut next, input);
    let takes_over = take_over(&mut next, input);
    drop_obsolete_intents(&mut next, input);
    announce(&mut next, input, rng);
    remove_missing_without_slots(&mut next, input);
    claim_unowned(&mut next, input);
    if input.stopping && next.slots_of(me).is_empty() {
        next.remove(me);
    }
    (next != *map).then_some(Planned {
        map: next,
        takes_over,
    })
}

/// When the row should be read again because one of this member's waits ends.
pub fn next_due(map: &SlotMap, input: &PlanInput<'_>) -> Option<TimeMs> {
    let own = map.intents.iter().filter(|own| own.by == input.me.instance);
    let take_overs = own.filter_map(|intent| due_at(map, input, intent));
    let missing = input.missing.iter();
    let announcements =
        missing.map(|(victim, since)| *since + announce_delay_ms(map, input, *victim));
    take_overs
        .chain(announcements)
        .filter(|at| *at > input.now)
        .min()
}

fn own_member(input: &PlanInput<'_>) -> Member {
    Member {
        node: input.me.node.clone(),
        instance: input.me.instance,
        region: input.me.region.clone(),
        boot: input.me.boot,
        terms: input.conf.terms,
        serving: true,
        added: 0,
        knows: 0,
    }
}

/// Takes the slots of an earlier process of this node at once.
///
/// A process that bound the addresses of an earlier one in the same boot of the VM proves that the
/// earlier one has ended. No wait is needed except the grace period.
fn take_from_predecessor(next: &mut SlotMap, input: &PlanInput<'_>) {
    let me = input.me;
    let is_predecessor = |member: &&Member| {
        member.node == me.node && member.boot == me.boot && member.instance != me.instance
    };
    let gone: Vec<u64> = next
        .members
        .iter()
        .filter(is_predecessor)
        .map(|member| member.instance)
        .collect();
    for instance in gone {
        move_all(next, instance, me.instance);
    }
}

fn move_all(next: &mut SlotMap, from: u64, to: u64) {
    for slot in next.slots_of(from) {
        next.assign(slot, Some(to), 0);
    }
    next.remove(from);
}

fn update_own_member(next: &mut SlotMap, input: &PlanInput<'_>) {
    let joins = next.joins;
    if let Some(own) = next.member_mut(input.me.instance) {
        own.knows = joins;
        own.serving = input.serving && !input.stopping;
    }
}

fn apply_slot_transfer(next: &mut SlotMap, input: &PlanInput<'_>) {
    let Some(slot_transfer) = input.slot_transfer else {
        return;
    };
    let listed = |receiver| next.member(receiver).is_some();
    if !slot_transfer.receiver.is_none_or(listed) {
        return;
    }
    for slot in &slot_transfer.slots {
        if next.slots[*slot].owner == Some(input.me.instance) {
            let transfer = slot_transfer.receiver.map_or(0, |_| slot_transfer.transfer);
            next.assign(*slot, slot_transfer.receiver, transfer);
        }
    }
}

fn due_at(map: &SlotMap, input: &PlanInput<'_>, intent: &Intent) -> Option<TimeMs> {
    let seen_at = *input.intents.get(&intent.id)?;
    Some(seen_at + take_over_wait_ms(map, input, intent.victim)?)
}

/// How long an intent has to be in the row before the slots may be taken.
///
/// Without the table, an owner relies on the promises of the members that it knows. It does not ask
/// a member that joined later, and a member of another region may be unreachable. Such members take
/// the long wait: until the owner certainly no longer relies on promises. All others take the short
/// wait, until the owner's lease has expired.
fn take_over_wait_ms(map: &SlotMap, input: &PlanInput<'_>, victim: u64) -> Option<u64> {
    let owner = map.member(victim)?;
    let own = map.member(input.me.instance)?;
    let is_asked = own.region == owner.region && own.added <= owner.knows;
    Some(if is_asked {
        owner.terms.lease_expiry_wait_ms()
    } else {
        owner.terms.outage_expiry_wait_ms()
    })
}

fn take_over(next: &mut SlotMap, input: &PlanInput<'_>) -> bool {
    if !input.may_take_over || input.stopping || !input.serving {
        return false;
    }
    let me = input.me.instance;
    let is_due = |intent: &&Intent| {
        let missing = input.missing.contains_key(&intent.victim);
        let due = due_at(next, input, intent).is_some_and(|at| input.now >= at);
        intent.by == me && missing && due
    };
    let victims: Vec<u64> = next
        .intents
        .iter()
        .filter(is_due)
        .map(|intent| intent.victim)
        .collect();
    for victim in &victims {
        move_all(next, *victim, me);
    }
    !victims.is_empty()
}

/// Removes this member's intents against members that are back or have left, and all of them if
/// this member is stopping.
fn drop_obsolete_intents(next: &mut SlotMap, input: &PlanInput<'_>) {
    let me = input.me.instance;
    next.intents.retain(|intent| {
        intent.by != me || (input.missing.contains_key(&intent.victim) && !input.stopping)
    });
}

/// Adds an intent against each member that has been missing for long enough and owns slots.
fn announce(next: &mut SlotMap, input: &PlanInput<'_>, rng: &mut fastrand::Rng) {
    if !input.serving || input.stopping {
        return;
    }
    let me = input.me.instance;
    for (victim, since) in input.missing {
        let too_early = input.now.since(*since) < announce_delay_ms(next, input, *victim);
        let announced = next
            .intents
            .iter()
            .any(|intent| intent.by == me && intent.victim == *victim);
        if too_early || announced || next.slots_of(*victim).is_empty() {
            continue;
        }
        next.intents.push(Intent {
            id: rng.u64(1..),
            by: me,
            victim: *victim,
        });
    }
}

/// How long a member has to be missing before this one announces a take-over. The candidates wait
/// in order of rank, and those that need the long wait come last.
fn announce_delay_ms(map: &SlotMap, input: &PlanInput<'_>, victim: u64) -> u64 {
    let conf = input.conf;
    // The multiplier, 2^64 divided by the golden ratio, mixes the bits. Each victim gets its own
    // order of candidates.
    let order = |instance: u64| (instance ^ victim).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let own = order(input.me.instance);
    let present = |member: &&Member| !input.missing.contains_key(&member.instance);
    let present_members = map.members.iter().filter(present);
    let rank = present_members
        .filter(|member| member.serving && order(member.instance) < own)
        .count() as u64;
    let terms = map.member(victim).map(|member| member.terms);
    let uses_short_wait =
        take_over_wait_ms(map, input, victim) == terms.map(|terms| terms.lease_expiry_wait_ms());
    let long_wait_delay_ms = if uses_short_wait {
        0
    } else {
        LONG_WAIT_DELAY_LEASES * conf.terms.lease_ms
    };
    conf.missing_threshold_ms + rank * conf.rank_step_ms + long_wait_delay_ms
}

/// Removes missing members without slots.
///
/// The delay of an announcement has to pass, but no lease has to expire: a take-over that such a
/// member had under way fails, because the row has another version. If the member stayed in the
/// row, owners would ask it for promises during an outage and never get an answer.
fn remove_missing_without_slots(next: &mut SlotMap, input: &PlanInput<'_>) {
    let is_removable = |victim: &u64, since: TimeMs| {
        next.slots_of(*victim).is_empty()
            && input.now.since(since) >= announce_delay_ms(next, input, *victim)
    };
    let gone: Vec<u64> = input
        .missing
        .iter()
        .filter(|(victim, since)| is_removable(victim, **since))
        .map(|(victim, _)| *victim)
        .collect();
    for victim in gone {
        next.remove(victim);
    }
}

/// Claims slots without an owner, up to the fair share. Nodes that are alive but have not joined
/// yet count as owners, so that their share is left to them.
fn claim_unowned(next: &mut SlotMap, input: &PlanInput<'_>) {
    if !input.serving || input.stopping {
        return;
    }
    let me = input.me.instance;
    let present = |instance: u64| !input.missing.contains_key(&instance);
    let owners = candidates(next, present).len().max(input.alive);
    let owned = next.slots_of(me).len();
    let mut unowned = next.unowned();
    if !input.claim_all_unowned {
        unowned.truncate(fair_share(owners).saturating_sub(owned));
    }
    for slot in unowned {
        next.assign(slot, Some(me), 0);
    }
}
