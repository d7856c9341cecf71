//! The lease manager on its own: which rows it writes, when it relies on its slots, and what it
//! promises.

use sassafrasgap::claims::Action;
use sassafrasgap::claims::Identity;
use sassafrasgap::claims::Intent;
use sassafrasgap::claims::LeaseConf;
use sassafrasgap::claims::LeaseManager;
use sassafrasgap::claims::Member;
use sassafrasgap::claims::NodeConditions;
use sassafrasgap::claims::ReadResult;
use sassafrasgap::claims::ResendLimits;
use sassafrasgap::claims::SLOT_COUNT;
use sassafrasgap::claims::SlotMap;
use sassafrasgap::claims::WriteResult;
use sassafrasgap::control::Promise;
use sassafrasgap::control::PromiseRequest;
use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;

const LEASE_MS: u64 = 3_000;
const ME: u64 = 1;
const OTHER: u64 = 2;
const THIRD: u64 = 3;

fn conf() -> LeaseConf {
    LeaseConf::for_lease(LEASE_MS)
}

fn manager() -> LeaseManager {
    let me = Identity {
        node: Name::from("node-1"),
        region: Name::from("region"),
        service: Name::from("jobs"),
        instance: ME,
        boot: 10 + ME,
    };
    let limits = ResendLimits::new(16_000);
    LeaseManager::new(me, conf(), limits, fastrand::Rng::with_seed(1))
}

fn member(instance: u64) -> Member {
    Member {
        node: Name::from(format!("node-{instance}")),
        instance,
        region: Name::from("region"),
        boot: 10 + instance,
        terms: conf().terms,
        serving: true,
        added: 0,
        knows: 0,
    }
}

/// A row in which all members have joined, `knows` covers all of them, and the slots are assigned
/// in turn.
fn row_of(members: &[u64]) -> SlotMap {
    let mut map = SlotMap::empty();
    for instance in members {
        map.join(member(*instance));
    }
    let joins = map.joins;
    for member in &mut map.members {
        member.knows = joins;
    }
    for slot in 0..SLOT_COUNT {
        map.assign(slot, Some(members[slot % members.len()]), 0);
    }
    map
}

fn conditions(alive: &[u64]) -> NodeConditions {
    let names = alive.iter().map(|it| Name::from(format!("node-{it}")));
    NodeConditions {
        serving: true,
        draining: false,
        stopping: false,
        alive: names.collect(),
    }
}

fn read_op(actions: &[Action]) -> u64 {
    let op = actions.iter().find_map(|action| match action {
        Action::ReadRow { op } => Some(*op),
        _ => None,
    });
    op.expect("a read")
}

fn written(actions: &[Action]) -> Option<(u64, SlotMap)> {
    actions.iter().find_map(|action| match action {
        Action::WriteRow { op, map, .. } => Some((*op, map.clone())),
        _ => None,
    })
}

/// Lets the manager read the row at a given time. The answer arrives at the same time.
fn read(
    manager: &mut LeaseManager,
    now: u64,
    alive: &[u64],
    version: u64,
    map: &SlotMap,
) -> Vec<Action> {
    let now = TimeMs(now);
    let op = read_op(&manager.tick(now, conditions(alive)));
    let found = Some((version, map.clone()));
    manager.on_read(now, op, ReadResult::Row(found))
}

fn ask(owner: u64, member: u64) -> PromiseRequest {
    PromiseRequest {
        service: Name::from("jobs"),
        owner,
        member,
    }
}

fn is_granted(promise: &Promise) -> bool {
    matches!(promise, Promise::Granted { .. })
}

/// Runs a manager up to its write that takes over the slots of `OTHER`.
fn taking_over(manager: &mut LeaseManager) -> (u64, u64, SlotMap) {
    let map = row_of(&[ME, OTHER]);
    read(manager, 1_000, &[ME], 1, &map);
    let mut now = 1_000;
    let (op, announced) = loop {
        now += 1_000;
        let op = read_op(&manager.tick(TimeMs(now), conditions(&[ME])));
        let found = Some((1, map.clone()));
        if let Some(write) = written(&manager.on_read(TimeMs(now), op, ReadResult::Row(found))) {
            break write;
        }
    };
    assert!(announced.has_intent_against(OTHER), "announced first");
    assert_eq!(announced.slots_of(OTHER).len(), SLOT_COUNT / 2);
    let mut actions = manager.on_write(TimeMs(now), op, WriteResult::Applied { version: 2 });
    let announced_at = now;
    let (op, taken) = loop {
        if let Some(write) = written(&actions) {
            break write;
        }
        now += 100;
        actions = manager.tick(TimeMs(now), conditions(&[ME]));
        if actions
            .iter()
            .any(|action| matches!(action, Action::ReadRow { .. }))
        {
            let op = read_op(&actions);
            let found = Some((2, announced.clone()));
            actions = manager.on_read(TimeMs(now), op, ReadResult::Row(found));
        }
    };
    assert!(taken.slots_of(OTHER).is_empty());
    let waited_ms = now - announced_at;
    // The owner's clock may run 1% slow and that of the member that takes over 1% fast.
    assert!(waited_ms * 100 >= LEASE_MS * 102, "waited {waited_ms} ms");
    (now, op, announced)
}

#[test]
fn a_take_over_is_announced_and_outlasts_the_lease_on_a_slower_clock() {
    let mut manager = manager();
    let (now, op, mut map) = taking_over(&mut manager);
    for slot in map.slots_of(OTHER) {
        map.assign(slot, Some(ME), 0);
    }
    map.remove(OTHER);
    manager.on_write(TimeMs(now), op, WriteResult::Applied { version: 3 });
    let slot_lease = manager.slot_lease();
    assert_eq!(slot_lease.count(), SLOT_COUNT);
    let taken = slot_lease
        .held
        .iter()
        .flatten()
        .filter(|held| held.epoch == 2);
    let grace_ms = ResendLimits::new(16_000).grace_ms();
    assert!(
        taken
            .clone()
            .all(|held| held.grace_until == TimeMs(now + grace_ms))
    );
    assert_eq!(taken.count(), SLOT_COUNT / 2);
}

/// A member writes a take-over, and the answer is lost. The owner was only slow. The table goes
/// down and the owner asks for promises. If the member promised, its write could still take effect,
/// and both would run calls of the slots. The member may promise again once the row has another
/// version, because the lost write then fails for good.
#[test]
fn no_promise_while_a_lost_take_over_may_still_take_effect() {
    let mut manager = manager();
    let (now, op, announced) = taking_over(&mut manager);
    let now = TimeMs(now);
    assert!(!is_granted(
        &manager.on_promise_request(now, &ask(OTHER, ME))
    ));
    manager.on_write(now, op, WriteResult::Unknown);
    assert!(!is_granted(
        &manager.on_promise_request(now, &ask(OTHER, ME))
    ));
    let mut later = now;
    let op = loop {
        later = later + 50;
        let actions = manager.tick(later, conditions(&[ME, OTHER]));
        if !actions.is_empty() {
            break read_op(&actions);
        }
    };
    // The owner has removed the intent meanwhile, so the row has another version.
    let mut removed = announced;
    removed.intents.clear();
    let found = Some((3, removed));
    manager.on_read(later, op, ReadResult::Row(found));
    assert!(is_granted(
        &manager.on_promise_request(later, &ask(OTHER, ME))
    ));
}

/// After a lost write the row is unchanged, so the write may still be on its way. Any further write
/// makes the lost one fail.
#[test]
fn a_further_write_follows_a_lost_one() {
    let mut manager = manager();
    let (now, op, announced) = taking_over(&mut manager);
    manager.on_write(TimeMs(now), op, WriteResult::Unknown);
    let mut later = TimeMs(now);
    let actions = loop {
        later = later + 50;
        let actions = manager.tick(later, conditions(&[ME, OTHER]));
        if !actions.is_empty() {
            break actions;
        }
    };
    let found = Some((2, announced));
    let actions = manager.on_read(later, read_op(&actions), ReadResult::Row(found));
    assert!(written(&actions).is_some(), "a write on the same version");
    assert!(!is_granted(
        &manager.on_promise_request(later, &ask(OTHER, ME))
    ));
}

#[test]
fn promises_are_refused_to_unlisted_owners_and_for_predecessors() {
    let mut manager = manager();
    let now = TimeMs(1_000);
    assert!(
        !is_granted(&manager.on_promise_request(now, &ask(OTHER, ME))),
        "no row read"
    );
    read(&mut manager, 1_000, &[ME, OTHER], 1, &row_of(&[ME, OTHER]));
    assert!(is_granted(
        &manager.on_promise_request(now, &ask(OTHER, ME))
    ));
    assert!(
        !is_granted(&manager.on_promise_request(now, &ask(OTHER, 99))),
        "for a predecessor"
    );
    assert!(
        !is_granted(&manager.on_promise_request(now, &ask(THIRD, ME))),
        "to an unlisted owner"
    );
}

/// The table goes down. The owner may continue only while every other listed member promises not
/// to take over. A member that does not answer could be taking over, so the lease has to lapse
/// then.
#[test]
fn a_lease_without_the_table_needs_the_promise_of_every_member() {
    let mut manager = manager();
    let alive = [ME, OTHER, THIRD];
    read(&mut manager, 1_000, &alive, 1, &row_of(&alive));
    assert_eq!(manager.slot_lease().lease_until, TimeMs(1_000 + LEASE_MS));
    let mut now = 1_000;
    let round = loop {
        now += 100;
        let actions = manager.tick(TimeMs(now), conditions(&alive));
        let asked: Vec<(u64, u64)> = actions
            .iter()
            .filter_map(|action| match action {
                Action::AskPromise { round, member, .. } => Some((*round, *member)),
                _ => None,
            })
            .collect();
        if !asked.is_empty() {
            assert_eq!(asked.len(), 2, "every other member: {asked:?}");
            break asked[0].0;
        }
    };
    let granted = Promise::Granted { hold_ms: LEASE_MS };
    let answered_at = TimeMs(now + 500);
    manager.on_promise(answered_at, round, OTHER, &granted);
    assert_eq!(manager.slot_lease().lease_until, TimeMs(1_000 + LEASE_MS));
    manager.on_promise(answered_at, round, THIRD, &granted);
    // Counted from the request, because the promises were made at some moment after it.
    assert_eq!(manager.slot_lease().lease_until, TimeMs(now + LEASE_MS));
}

/// The table stays down for longer than promises may replace it. A member that joined meanwhile is
/// not asked for promises. It waits for longer than that time before it takes over, and the owner
/// must have stopped by then.
#[test]
fn promises_end_for_good_some_time_after_the_last_clean_read() {
    let mut manager = manager();
    let alive = [ME, OTHER];
    read(&mut manager, 1_000, &alive, 1, &row_of(&alive));
    let granted = Promise::Granted { hold_ms: LEASE_MS };
    let end = 1_000 + conf().terms.outage_ms;
    for now in (1_000..end + 10 * LEASE_MS).step_by(100) {
        for action in manager.tick(TimeMs(now), conditions(&alive)) {
            match action {
                Action::AskPromise { round, member, .. } => {
                    manager.on_promise(TimeMs(now), round, member, &granted);
                }
                Action::ReadRow { op } => {
                    manager.on_read(TimeMs(now), op, ReadResult::Failed);
                }
                _ => {}
            }
        }
    }
    assert_eq!(manager.slot_lease().lease_until, TimeMs(end));
    assert!(conf().terms.outage_expiry_wait_ms() * 100 >= conf().terms.outage_ms * 102);
}

/// A member has announced that it takes over from a slow owner, and the owner reads the row. If the
/// owner renewed its lease by this read, it would rely on slots that are about to be taken. It has
/// to remove the intent and may renew its lease only by that write.
#[test]
fn an_owner_that_reads_an_intent_relies_on_its_removal_only() {
    let mut manager = manager();
    let mut map = row_of(&[ME, OTHER]);
    map.intents.push(Intent {
        id: 5,
        by: OTHER,
        victim: ME,
    });
    let actions = read(&mut manager, 1_000, &[ME, OTHER], 1, &map);
    assert_eq!(manager.slot_lease().lease_until, TimeMs(0));
    let (op, map) = written(&actions).expect("a write");
    assert!(!map.has_intent_against(ME));
    manager.on_write(TimeMs(1_800), op, WriteResult::Applied { version: 2 });
    assert_eq!(manager.slot_lease().lease_until, TimeMs(1_000 + LEASE_MS));
}

/// A promise has to last longer than the lease that relies on it. A member that promised must not
/// take over before the owner's lease has expired, even if everything else is ready.
#[test]
fn a_promise_prevents_a_take_over_until_it_expires() {
    let mut manager = manager();
    let (now, op, announced) = taking_over(&mut manager);
    manager.on_write(TimeMs(now), op, WriteResult::Conflict);
    let granted = manager.on_promise_request(TimeMs(now), &ask(OTHER, ME));
    assert!(is_granted(&granted));
    let mut later = now;
    let taken_at = loop {
        later += 50;
        assert!(later < now + 10 * LEASE_MS, "never taken over");
        let actions = manager.tick(TimeMs(later), conditions(&[ME]));
        if actions.is_empty() {
            continue;
        }
        let found = Some((3, announced.clone()));
        let actions = manager.on_read(TimeMs(later), read_op(&actions), ReadResult::Row(found));
        if let Some((_, map)) = written(&actions)
            && map.slots_of(OTHER).is_empty()
        {
            break later;
        }
    };
    assert!((taken_at - now) * 100 >= LEASE_MS * 102);
}

/// A VM is considered lost and replaced by one of the same name, while the old one still runs, cut
/// off. If the new process took the old one's slots at once, both would run calls of them. Only a
/// process that bound the same addresses in the same boot of the VM can be sure that the old one
/// has ended.
#[test]
fn only_a_successor_on_the_same_vm_takes_slots_at_once() {
    for (boot, at_once) in [(10 + ME, true), (77, false)] {
        let mut map = row_of(&[OTHER, 9]);
        let same_node = map.member_mut(9).expect("listed");
        same_node.node = Name::from("node-1");
        same_node.boot = boot;
        let mut manager = manager();
        let actions = read(&mut manager, 1_000, &[ME, OTHER], 1, &map);
        let (op, map) = written(&actions).expect("it joins");
        assert_eq!(map.slots_of(9).is_empty(), at_once);
        manager.on_write(TimeMs(1_000), op, WriteResult::Applied { version: 2 });
        let grace_until = TimeMs(1_000 + ResendLimits::new(16_000).grace_ms());
        let held: Vec<_> = manager.slot_lease().held.iter().flatten().collect();
        assert_eq!(!held.is_empty(), at_once);
        assert!(held.iter().all(|held| held.grace_until == grace_until));
    }
}
