//! The next write of a service's row: what one member wants to change in it.

use crate::claims::Identity;
use crate::claims::Intent;
use crate::claims::LeaseConf;
use crate::claims::Member;
use crate::claims::SlotMap;
use crate::claims::fair_share::candidates;
use crate::claims::fair_share::fair_share;
use crate::core::FastMap;
use crate::core::TimeMs;

/// How many leases a member that may only take over by the long way leaves to the others.
const LEASES_LEFT_TO_OTHERS: u64 = 3;

/// Slots whose hand-over their receiver confirmed, or that are released for lack of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Given {
    pub transfer: u64,
    pub receiver: Option<u64>,
    pub slots: Vec<usize>,
}

/// What the plan is made from, besides the row.
pub struct PlanInput<'a> {
    pub me: &'a Identity,
    pub conf: &'a LeaseConf,
    pub now: TimeMs,
    pub serving: bool,
    pub stopping: bool,
    /// How many nodes of the service membership knows to be alive.
    pub alive: usize,
    /// Slots without an owner are claimed beyond the fair share.
    pub claims_all: bool,
    /// Members that seem to be gone, and since when.
    pub missing: &'a FastMap<u64, TimeMs>,
    /// Own intents and when each was seen to be in the row.
    pub intents: &'a FastMap<u64, TimeMs>,
    /// No promise stands in the way.
    pub may_take_over: bool,
    pub given: Option<&'a Given>,
}

/// The row as it should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    pub map: SlotMap,
    /// It takes slots away from a member that may be alive.
    pub takes_over: bool,
}

/// A write that changes nothing but the row's version.
pub fn unchanged(map: &SlotMap) -> Planned {
    Planned {
        map: map.clone(),
        takes_over: false,
    }
}

/// The row as this member wants it, or `None` when it is content.
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
    give(&mut next, input);
    let takes_over = take_over(&mut next, input);
    drop_settled_intents(&mut next, input);
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

/// When the row should be read again because a wait of this member ends.
pub fn next_due(map: &SlotMap, input: &PlanInput<'_>) -> Option<TimeMs> {
    let own = map.intents.iter().filter(|own| own.by == input.me.instance);
    let take_overs = own.filter_map(|intent| due_at(map, input, intent));
    let missing = input.missing.iter();
    let announcements = missing.map(|(victim, since)| *since + patience_ms(map, input, *victim));
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

/// A process that bound the addresses of an earlier one on the same run of the VM proves by it
/// that the earlier one is gone. So nothing has to be waited for but the grace period.
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

fn give(next: &mut SlotMap, input: &PlanInput<'_>) {
    let Some(given) = input.given else {
        return;
    };
    let listed = |receiver| next.member(receiver).is_some();
    if !given.receiver.is_none_or(listed) {
        return;
    }
    for slot in &given.slots {
        if next.slots[*slot].owner == Some(input.me.instance) {
            let transfer = given.receiver.map_or(0, |_| given.transfer);
            next.assign(*slot, given.receiver, transfer);
        }
    }
}

fn due_at(map: &SlotMap, input: &PlanInput<'_>, intent: &Intent) -> Option<TimeMs> {
    let seen_at = *input.intents.get(&intent.id)?;
    Some(seen_at + wait_ms(map, input, intent.victim)?)
}

/// How long an intent has to stand before the slots may be taken.
///
/// An owner without the table relies on the promises of the members that it knows. A member that
/// joined since is not asked, and one of another region may be out of reach: they wait until the
/// owner relies on no promises any more.
fn wait_ms(map: &SlotMap, input: &PlanInput<'_>, victim: u64) -> Option<u64> {
    let owner = map.member(victim)?;
    let own = map.member(input.me.instance)?;
    let is_asked = own.region == owner.region && own.added <= owner.knows;
    Some(if is_asked {
        owner.terms.lease_over_ms()
    } else {
        owner.terms.outage_over_ms()
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

/// Removes own intents against members that are back or have left.
fn drop_settled_intents(next: &mut SlotMap, input: &PlanInput<'_>) {
    let me = input.me.instance;
    next.intents.retain(|intent| {
        intent.by != me || (input.missing.contains_key(&intent.victim) && !input.stopping)
    });
}

fn announce(next: &mut SlotMap, input: &PlanInput<'_>, rng: &mut fastrand::Rng) {
    if !input.serving || input.stopping {
        return;
    }
    let me = input.me.instance;
    for (victim, since) in input.missing {
        let patient = input.now.since(*since) < patience_ms(next, input, *victim);
        let announced = next
            .intents
            .iter()
            .any(|intent| intent.by == me && intent.victim == *victim);
        if patient || announced || next.slots_of(*victim).is_empty() {
            continue;
        }
        next.intents.push(Intent {
            id: rng.u64(1..),
            by: me,
            victim: *victim,
        });
    }
}

/// How long a member has to be missing before this one acts: the candidates take turns, and those
/// that could only take over by the long way come last.
fn patience_ms(map: &SlotMap, input: &PlanInput<'_>, victim: u64) -> u64 {
    let conf = input.conf;
    let order = |instance: u64| (instance ^ victim).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let own = order(input.me.instance);
    let present = |member: &&Member| !input.missing.contains_key(&member.instance);
    let before = map.members.iter().filter(present);
    let rank = before
        .filter(|member| member.serving && order(member.instance) < own)
        .count() as u64;
    let terms = map.member(victim).map(|member| member.terms);
    let is_short = wait_ms(map, input, victim) == terms.map(|terms| terms.lease_over_ms());
    let last = if is_short {
        0
    } else {
        LEASES_LEFT_TO_OTHERS * conf.terms.lease_ms
    };
    conf.missing_ms + rank * conf.rank_step_ms + last
}

/// A member that owns nothing can be removed without a wait: whatever it had under way to take
/// over fails, because the row has another version. Left in the row, it would be asked for
/// promises during an outage and never answer.
fn remove_missing_without_slots(next: &mut SlotMap, input: &PlanInput<'_>) {
    let is_over = |victim: &u64, since: TimeMs| {
        next.slots_of(*victim).is_empty()
            && input.now.since(since) >= patience_ms(next, input, *victim)
    };
    let gone: Vec<u64> = input
        .missing
        .iter()
        .filter(|(victim, since)| is_over(victim, **since))
        .map(|(victim, _)| *victim)
        .collect();
    for victim in gone {
        next.remove(victim);
    }
}

fn claim_unowned(next: &mut SlotMap, input: &PlanInput<'_>) {
    if !input.serving || input.stopping {
        return;
    }
    let me = input.me.instance;
    let present = |instance: u64| !input.missing.contains_key(&instance);
    let owners = candidates(next, present).len().max(input.alive);
    let owned = next.slots_of(me).len();
    let mut unowned = next.unowned();
    if !input.claims_all {
        unowned.truncate(fair_share(owners).saturating_sub(owned));
    }
    for slot in unowned {
        next.assign(slot, Some(me), 0);
    }
}
