//! The guard's decisions about single calls when there is no room.

use sassafrasgap::admission::Action;
use sassafrasgap::admission::Admission;
use sassafrasgap::admission::AdmissionConf;
use sassafrasgap::admission::OfferDecision;
use sassafrasgap::admission::OfferedCall;
use sassafrasgap::core::Priority;
use sassafrasgap::core::RefusalReason;
use sassafrasgap::core::TimeMs;

const NOW: TimeMs = TimeMs(10_000);
const WAIT_MS: u32 = 200;

fn call(ticket: u64, class: u8) -> OfferedCall {
    OfferedCall {
        ticket,
        priority: Priority::new(class, ticket as u16),
        depth: 0,
        wait_ms: WAIT_MS,
        due: TimeMs(0),
        deadline: NOW + 5_000,
    }
}

/// A guard whose one slot runs ticket 0 and whose queue of two holds tickets 1 and 2 of class 2.
fn full_guard() -> Admission {
    let conf = AdmissionConf {
        initial_limit: 1,
        min_limit: 1,
        queue_percent: 0,
        min_queue: 2,
        ..AdmissionConf::default()
    };
    let mut guard = Admission::new(conf, 7);
    guard.set_slots(1);
    assert_eq!(guard.offer(NOW, call(0, 2)), OfferDecision::Run);
    assert_eq!(guard.offer(NOW, call(1, 2)), OfferDecision::Wait);
    assert_eq!(guard.offer(NOW, call(2, 2)), OfferDecision::Wait);
    guard
}

// Lookups fill the queue of a saturated guard, then a charge arrives. Guards against a full queue
// that refuses the newest call, so that the charge is refused while lookups wait.
#[test]
fn a_more_important_call_takes_the_place_of_the_least_important() {
    let mut guard = full_guard();
    assert_eq!(guard.offer(NOW, call(3, 0)), OfferDecision::Wait);
    let actions = guard.poll(NOW);
    let [Action::Refuse(2, refusal)] = actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
}

#[test]
fn a_less_important_call_is_refused_at_once_when_the_queue_is_full() {
    let mut guard = full_guard();
    assert!(matches!(
        guard.offer(NOW, call(3, 3)),
        OfferDecision::Refuse(_)
    ));
    assert!(guard.poll(NOW).is_empty());
}

// A call's wait ends while the backend server is stuck. Guards against waiting calls that are
// checked only when another call ends: the caller would learn too late that it should try another
// target.
#[test]
fn a_call_is_refused_when_its_wait_ends() {
    let mut guard = full_guard();
    let wait_ms = u64::from(WAIT_MS);
    assert!(guard.poll(NOW + (wait_ms - 1)).is_empty());
    let actions = guard.poll(NOW + wait_ms);
    assert_eq!(actions.len(), 2);
    for action in actions {
        let Action::Refuse(_, refusal) = action else {
            panic!("{action:?}");
        };
        assert_eq!(refusal.reason, RefusalReason::WaitExceeded);
    }
}

// The announced slots rise while calls wait, and a less important call arrives before the next
// poll. Guards against admitting it because there is room, which would let it overtake those that
// wait.
#[test]
fn a_call_that_arrives_does_not_overtake_more_important_ones_that_wait() {
    let conf = AdmissionConf {
        initial_limit: 4,
        ..AdmissionConf::default()
    };
    let mut guard = Admission::new(conf, 7);
    guard.set_slots(1);
    assert_eq!(guard.offer(NOW, call(0, 2)), OfferDecision::Run);
    assert_eq!(guard.offer(NOW, call(1, 0)), OfferDecision::Wait);
    guard.set_slots(8);
    assert_eq!(guard.offer(NOW, call(2, 3)), OfferDecision::Wait);
    assert_eq!(guard.poll(NOW)[0], Action::Start(1));
}
