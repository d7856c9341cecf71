//! The ledger of one guard: which keyed calls may run, and what is said of the others.

use std::sync::Arc;

use rstest::rstest;
use sassafrasgap::claims::KeyDecision;
use sassafrasgap::claims::HeldSlot;
use sassafrasgap::claims::SlotLease;
use sassafrasgap::claims::KeyOutcome;
use sassafrasgap::claims::KeyedCall;
use sassafrasgap::claims::Ledger;
use sassafrasgap::claims::LedgerBounds;
use sassafrasgap::claims::LedgerTransfer;
use sassafrasgap::claims::TransferTarget;
use sassafrasgap::claims::ResendLimits;
use sassafrasgap::claims::SLOT_COUNT;
use sassafrasgap::claims::slot_of;
use sassafrasgap::control::KeptAnswer;
use sassafrasgap::core::Name;
use sassafrasgap::core::Refusal;
use sassafrasgap::core::RefusalReason;
use sassafrasgap::core::RunState;
use sassafrasgap::core::TimeMs;

const WINDOW_MS: u64 = 16_000;
const CONTENT: u64 = 7;

fn held(lease_until: u64, grace_until: u64) -> SlotLease {
    let mut slot_lease = SlotLease::none_held();
    slot_lease.lease_until = TimeMs(lease_until);
    slot_lease.held = [Some(HeldSlot {
        epoch: 1,
        grace_until: TimeMs(grace_until),
        handing_over: false,
    }); SLOT_COUNT];
    slot_lease
}

fn ledger(instance: u64, max_keys: usize, max_answer_bytes: usize) -> Ledger {
    let bounds = LedgerBounds {
        max_keys,
        max_answer_bytes,
    };
    let limits = ResendLimits::new(WINDOW_MS);
    let mut ledger = Ledger::new(Name::from("jobs"), instance, bounds, limits);
    ledger.set_slot_lease(held(u64::MAX, 0));
    ledger
}

fn begin(ledger: &mut Ledger, now: u64, key: &str, fingerprint: u64) -> KeyDecision {
    let stamp = ledger.stamp(TimeMs(now));
    let key = Name::from(key);
    let call = KeyedCall {
        key: &key,
        fingerprint,
        stamp,
        first_sending: false,
    };
    ledger.begin(TimeMs(now), &call)
}

fn finish(ledger: &mut Ledger, now: u64, key: &str, body_bytes: usize) {
    let answer = KeptAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![1; body_bytes],
    };
    let outcome = KeyOutcome::Ran(Some(Arc::new(answer)));
    ledger.finish(TimeMs(now), &Name::from(key), outcome);
}

fn refusal(begin: KeyDecision) -> Refusal {
    match begin {
        KeyDecision::Refuse(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn refused(begin: KeyDecision) -> (RefusalReason, RunState) {
    let refusal = refusal(begin);
    (refusal.reason, refusal.run_state)
}

#[test]
fn a_resend_joins_then_gets_the_first_answer_then_an_honest_ran() {
    let mut ledger = ledger(1, 10, 1_000);
    assert_eq!(begin(&mut ledger, 0, "a", CONTENT), KeyDecision::Run);
    assert_eq!(begin(&mut ledger, 10, "a", CONTENT), KeyDecision::Join);
    finish(&mut ledger, 20, "a", 100);
    assert!(matches!(
        begin(&mut ledger, 30, "a", CONTENT),
        KeyDecision::Answer(_)
    ));
    ledger.sweep(TimeMs(20 + WINDOW_MS));
    let late = begin(&mut ledger, 20 + WINDOW_MS, "a", CONTENT);
    assert_eq!(refused(late), (RefusalReason::AlreadyRan, RunState::Ran));
    let other = begin(&mut ledger, 40, "a", CONTENT + 1);
    let said = (RefusalReason::KeyMismatch, RunState::Unknown);
    assert_eq!(refused(other), said);
}

/// The lease, the grace period and a slot that is not held: in each case another process may have
/// run the key, so nothing may be said but `unknown`.
#[rstest]
#[case(held(1_000, 0), RefusalReason::LeaseLapsed)]
#[case(held(9_000, 2_000), RefusalReason::GracePeriod)]
#[case(SlotLease::none_held(), RefusalReason::NotOwner)]
fn an_unseen_key_is_unknown_where_it_may_have_run_elsewhere(
    #[case] slot_lease: SlotLease,
    #[case] reason: RefusalReason,
) {
    let mut ledger = ledger(1, 10, 1_000);
    assert_eq!(begin(&mut ledger, 1, "seen", CONTENT), KeyDecision::Run);
    ledger.set_slot_lease(slot_lease);
    let unseen = begin(&mut ledger, 1_000, "unseen", CONTENT);
    assert_eq!(refused(unseen), (reason, RunState::Unknown));
    assert_eq!(begin(&mut ledger, 1_000, "seen", CONTENT), KeyDecision::Join);
}

/// A caller sends an order through an entry that is paused with the attempt half sent, then again
/// through another entry, where it runs. Much later the first entry goes on and its attempt
/// arrives, after the key was forgotten: the order would be placed twice. Cause: the guard cannot
/// see how old an attempt is, unless the attempt carries a stamp the guard gave out.
#[test]
fn an_attempt_that_was_under_way_for_long_is_refused() {
    let mut ledger = ledger(1, 10, 1_000);
    let key = Name::from("a");
    let old_stamp = ledger.stamp(TimeMs(0));
    assert_eq!(begin(&mut ledger, 10, "a", CONTENT), KeyDecision::Run);
    finish(&mut ledger, 20, "a", 10);
    let much_later = TimeMs(10 * WINDOW_MS);
    ledger.sweep(much_later);
    for stamp in [old_stamp, 0] {
        let call = KeyedCall {
            key: &key,
            fingerprint: CONTENT,
            stamp,
            first_sending: false,
        };
        let said = (RefusalReason::StaleAttempt, RunState::Unknown);
        assert_eq!(refused(ledger.begin(much_later, &call)), said);
    }
}

/// Callers send so many keys that the ledger is full. Were old keys dropped to make room, their
/// resends would run a second time; so new keys are refused, certainly not run, until old ones
/// are over.
#[test]
fn a_full_ledger_refuses_new_keys_and_forgets_none_early() {
    let mut ledger = ledger(1, 2, 1_000);
    for key in ["a", "b"] {
        assert_eq!(begin(&mut ledger, 0, key, CONTENT), KeyDecision::Run);
        finish(&mut ledger, 1, key, 10);
    }
    let full = begin(&mut ledger, 2 * WINDOW_MS, "c", CONTENT);
    assert_eq!(refused(full), (RefusalReason::LedgerFull, RunState::NotRun));
    assert_eq!(
        begin(&mut ledger, 1 + 2 * WINDOW_MS, "c", CONTENT),
        KeyDecision::Run
    );
    assert_eq!(ledger.len(), 1);
}

/// Two nodes of different versions serve one service. Were the slot of a key to depend on the
/// version, each would take itself for the key's owner, and both would run it.
#[rstest]
#[case("jobs", "a", 7)]
#[case("jobs", "order-2026-12-02/17", 24)]
#[case("compras", "a", 0)]
fn the_slot_of_a_key_never_changes(#[case] service: &str, #[case] key: &str, #[case] slot: usize) {
    assert_eq!(slot_of(service, key), slot);
}

#[test]
fn kept_answers_stay_within_their_bound() {
    let mut ledger = ledger(1, 100, 1_000);
    for index in 0..20 {
        let key = format!("key-{index}");
        assert_eq!(begin(&mut ledger, 0, &key, CONTENT), KeyDecision::Run);
        finish(&mut ledger, 1, &key, 300);
    }
    assert!(ledger.answer_bytes() <= 1_000);
    assert_eq!(ledger.len(), 20);
    ledger.sweep(TimeMs(1 + 2 * WINDOW_MS));
    assert_eq!((ledger.len(), ledger.answer_bytes()), (0, 0));
}

#[test]
fn a_key_that_was_not_started_may_run_again() {
    let mut ledger = ledger(1, 10, 1_000);
    assert_eq!(begin(&mut ledger, 0, "a", CONTENT), KeyDecision::Run);
    ledger.not_started(&Name::from("a"));
    assert_eq!(begin(&mut ledger, 1, "a", CONTENT), KeyDecision::Run);
    ledger.finish(TimeMs(2), &Name::from("a"), KeyOutcome::MayHaveRun);
    let again = begin(&mut ledger, 3, "a", CONTENT);
    let said = (RefusalReason::AlreadyRan, RunState::Unknown);
    assert_eq!(refused(again), said);
}

fn transfer(from: &mut Ledger, id: u64, now: u64) -> LedgerTransfer {
    let slots: Vec<usize> = (0..SLOT_COUNT).collect();
    let to = TransferTarget {
        node: Name::from("receiver"),
        instance: 2,
        transfer: id,
    };
    from.give(TimeMs(now), &slots, &to)
}

fn deliver_updates(from: &mut Ledger, to: &mut Ledger, now: u64) {
    for (_, news) in from.take_key_updates() {
        assert!(to.receive(TimeMs(now), news));
    }
}

#[test]
fn a_key_running_at_the_giver_is_settled_by_its_news() {
    let mut giver = ledger(1, 10, 1_000);
    let mut receiver = ledger(2, 10, 1_000);
    for key in ["ran", "shed"] {
        assert_eq!(begin(&mut giver, 0, key, CONTENT), KeyDecision::Run);
    }
    assert!(receiver.receive(TimeMs(0), transfer(&mut giver, 1, 0)));
    let meanwhile = begin(&mut receiver, 1, "ran", CONTENT);
    let said = (RefusalReason::AlreadyRan, RunState::Unknown);
    assert_eq!(refused(meanwhile), said);
    finish(&mut giver, 2, "ran", 10);
    giver.not_started(&Name::from("shed"));
    deliver_updates(&mut giver, &mut receiver, 3);
    let settled = begin(&mut receiver, 4, "ran", CONTENT);
    assert!(matches!(settled, KeyDecision::Answer(_)));
    assert_eq!(begin(&mut receiver, 4, "shed", CONTENT), KeyDecision::Run);
}

/// A hand-over fails half way and the giver goes on. A call it had queued is shed, sent again and
/// runs there; then the slot is handed over for good. Only now does the old news arrive that the
/// call was shed. Were it believed, the receiver would run the call a second time.
#[test]
fn old_news_of_a_shed_call_does_not_override_a_later_transfer() {
    let mut giver = ledger(1, 10, 1_000);
    let mut receiver = ledger(2, 10, 1_000);
    assert_eq!(begin(&mut giver, 0, "a", CONTENT), KeyDecision::Run);
    assert!(receiver.receive(TimeMs(0), transfer(&mut giver, 1, 0)));
    giver.not_started(&Name::from("a"));
    let old_news = giver.take_key_updates();
    assert_eq!(begin(&mut giver, 1, "a", CONTENT), KeyDecision::Run);
    assert!(receiver.receive(TimeMs(2), transfer(&mut giver, 2, 2)));
    for (_, news) in old_news {
        assert!(receiver.receive(TimeMs(3), news));
    }
    let again = begin(&mut receiver, 4, "a", CONTENT);
    let said = (RefusalReason::AlreadyRan, RunState::Unknown);
    assert_eq!(refused(again), said);
}
