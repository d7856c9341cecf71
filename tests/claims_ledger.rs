//! The ledger of one guard: which keyed calls may run, and how the others are refused.

use std::sync::Arc;

use rstest::rstest;
use sassafrasgap::claims::HeldSlot;
use sassafrasgap::claims::KeyDecision;
use sassafrasgap::claims::KeyOutcome;
use sassafrasgap::claims::KeyedCall;
use sassafrasgap::claims::Ledger;
use sassafrasgap::claims::LedgerBounds;
use sassafrasgap::claims::LedgerTransfer;
use sassafrasgap::claims::ResendLimits;
use sassafrasgap::claims::SLOT_COUNT;
use sassafrasgap::claims::SlotLease;
use sassafrasgap::claims::TransferTarget;
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

fn refusal(decision: KeyDecision) -> Refusal {
    match decision {
        KeyDecision::Refuse(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn refused(decision: KeyDecision) -> (RefusalReason, RunState) {
    let refusal = refusal(decision);
    (refusal.reason, refusal.run_state)
}

#[test]
fn a_resend_joins_then_gets_the_first_answer_then_already_ran() {
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
    let expected = (RefusalReason::KeyMismatch, RunState::Unknown);
    assert_eq!(refused(other), expected);
}

/// The lease has lapsed, the grace period lasts, or the slot is not held. In each case another
/// process may have run the key, so the refusal must say `unknown`.
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
    assert_eq!(
        begin(&mut ledger, 1_000, "seen", CONTENT),
        KeyDecision::Join
    );
}

/// A caller sends an order through an entry that is paused with the attempt half sent, and then
/// through another entry, where it runs. Much later the first entry resumes and its attempt
/// arrives, after the key was removed. The order would be placed twice. The guard can recognise
/// the age of an attempt only by the stamp that it carries.
#[test]
fn an_attempt_with_an_old_or_missing_stamp_is_refused() {
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
        let expected = (RefusalReason::StaleAttempt, RunState::Unknown);
        assert_eq!(refused(ledger.begin(much_later, &call)), expected);
    }
}

/// Callers send so many keys that the ledger is full. If old keys were dropped to make room,
/// resends of them would run a second time. So new keys have to be refused as `not_run` until old
/// ones expire.
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

/// Two nodes of different versions serve one service. If the slot of a key depended on the version,
/// both nodes would consider themselves the key's owner and run it.
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
    let expected = (RefusalReason::AlreadyRan, RunState::Unknown);
    assert_eq!(refused(again), expected);
}

fn transfer(from: &mut Ledger, id: u64, now: u64) -> LedgerTransfer {
    let slots: Vec<usize> = (0..SLOT_COUNT).collect();
    let to = TransferTarget {
        node: Name::from("receiver"),
        instance: 2,
        transfer: id,
    };
    from.export_slots(TimeMs(now), &slots, &to)
}

fn deliver_updates(from: &mut Ledger, to: &mut Ledger, now: u64) {
    for (_, update) in from.take_key_updates() {
        assert!(to.receive(TimeMs(now), update));
    }
}

#[test]
fn a_key_running_at_the_sender_is_settled_by_its_update() {
    let mut sender = ledger(1, 10, 1_000);
    let mut receiver = ledger(2, 10, 1_000);
    for key in ["ran", "shed"] {
        assert_eq!(begin(&mut sender, 0, key, CONTENT), KeyDecision::Run);
    }
    assert!(receiver.receive(TimeMs(0), transfer(&mut sender, 1, 0)));
    let meanwhile = begin(&mut receiver, 1, "ran", CONTENT);
    let expected = (RefusalReason::AlreadyRan, RunState::Unknown);
    assert_eq!(refused(meanwhile), expected);
    finish(&mut sender, 2, "ran", 10);
    sender.not_started(&Name::from("shed"));
    deliver_updates(&mut sender, &mut receiver, 3);
    let settled = begin(&mut receiver, 4, "ran", CONTENT);
    assert!(matches!(settled, KeyDecision::Answer(_)));
    assert_eq!(begin(&mut receiver, 4, "shed", CONTENT), KeyDecision::Run);
}

/// A hand-over fails half way and the sender keeps the slot. A call that it had queued is shed,
/// sent again and run there. Then the slot is handed over for good. Only now the old update
/// arrives, which says that the call was shed. If the receiver applied it, it would run the call a
/// second time.
#[test]
fn an_old_update_of_a_shed_call_does_not_override_a_later_transfer() {
    let mut sender = ledger(1, 10, 1_000);
    let mut receiver = ledger(2, 10, 1_000);
    assert_eq!(begin(&mut sender, 0, "a", CONTENT), KeyDecision::Run);
    assert!(receiver.receive(TimeMs(0), transfer(&mut sender, 1, 0)));
    sender.not_started(&Name::from("a"));
    let old_updates = sender.take_key_updates();
    assert_eq!(begin(&mut sender, 1, "a", CONTENT), KeyDecision::Run);
    assert!(receiver.receive(TimeMs(2), transfer(&mut sender, 2, 2)));
    for (_, update) in old_updates {
        assert!(receiver.receive(TimeMs(3), update));
    }
    let again = begin(&mut receiver, 4, "a", CONTENT);
    let expected = (RefusalReason::AlreadyRan, RunState::Unknown);
    assert_eq!(refused(again), expected);
}
