//! Invariants of admission control, checked on random sequences of events.

use std::collections::HashMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use sassafrasgap::admission::Action;
use sassafrasgap::admission::Admission;
use sassafrasgap::admission::AdmissionConf;
use sassafrasgap::admission::CallOutcome;
use sassafrasgap::admission::Completion;
use sassafrasgap::admission::OfferDecision;
use sassafrasgap::admission::OfferedCall;
use sassafrasgap::core::Priority;
use sassafrasgap::core::TimeMs;

#[derive(Clone, Debug)]
enum Event {
    Offer {
        class: u8,
        rank: u16,
        depth: u8,
        wait_ms: u32,
        deadline_ms: u64,
    },
    Complete {
        which: usize,
        service_us: u64,
        outcome: CallOutcome,
    },
    Cancel {
        which: usize,
    },
    Slots(u32),
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let outcome = prop_oneof![
        6 => Just(CallOutcome::Ok),
        1 => Just(CallOutcome::Failed),
        1 => Just(CallOutcome::Shed),
        1 => Just(CallOutcome::Cancelled),
    ];
    prop_oneof![
        6 => (0u8..4, any::<u16>(), 0u8..8, 0u32..200, 0u64..400).prop_map(
            |(class, rank, depth, wait_ms, deadline_ms)| Event::Offer {
                class, rank, depth, wait_ms, deadline_ms
            }
        ),
        4 => (any::<usize>(), 100u64..200_000, outcome).prop_map(
            |(which, service_us, outcome)| Event::Complete { which, service_us, outcome }
        ),
        1 => any::<usize>().prop_map(|which| Event::Cancel { which }),
        1 => (0u32..40).prop_map(Event::Slots),
        2 => (0u64..150).prop_map(Event::Advance),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting(OfferedCall, TimeMs),
    Running,
    Refused,
    Ended,
    Cancelled,
}

/// The model beside the code under test: the state of each ticket ever offered.
#[derive(Default)]
struct Model {
    states: HashMap<u64, State>,
}

impl Model {
    fn count(&self, wanted: fn(&State) -> bool) -> usize {
        self.states.values().filter(|state| wanted(state)).count()
    }

    fn pick(&self, which: usize, wanted: fn(&State) -> bool) -> Option<u64> {
        let mut tickets: Vec<u64> = self
            .states
            .iter()
            .filter(|(_, state)| wanted(state))
            .map(|(&ticket, _)| ticket)
            .collect();
        tickets.sort_unstable();
        (!tickets.is_empty()).then(|| tickets[which % tickets.len()])
    }

    fn apply(&mut self, now: TimeMs, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Start(ticket) => {
                    let before = self.states.insert(ticket, State::Running);
                    let Some(State::Waiting(call, since)) = before else {
                        panic!("ticket {ticket} was started from {before:?}");
                    };
                    assert!(now < call.deadline, "started after its deadline");
                    let waited_ms = now.since(since);
                    assert!(
                        waited_ms < u64::from(call.wait_ms).max(1),
                        "started after its wait"
                    );
                }
                Action::Refuse(ticket, refusal) => {
                    let before = self.states.insert(ticket, State::Refused);
                    assert!(matches!(before, Some(State::Waiting(..))), "{before:?}");
                    assert!(refusal.retry_after_ms > 0);
                }
            }
        }
    }

    /// A started call must not be less important than one that still waits.
    fn assert_order(&self, actions: &[Action], calls: &HashMap<u64, OfferedCall>) {
        let started = actions.iter().filter_map(|action| match action {
            Action::Start(ticket) => Some(calls[ticket].priority.class()),
            Action::Refuse(..) => None,
        });
        let Some(worst_started) = started.max() else {
            return;
        };
        for state in self.states.values() {
            if let State::Waiting(call, _) = state {
                assert!(
                    call.priority.class() >= worst_started,
                    "a more important call waits on"
                );
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_ticket_has_one_outcome_and_the_limit_holds(
        events in prop::collection::vec(event(), 1..300),
    ) {
        let mut admission = Admission::new(AdmissionConf::default(), 7);
        let mut model = Model::default();
        let mut calls = HashMap::new();
        let mut now = TimeMs(1_000);
        for (ticket, event) in events.into_iter().enumerate() {
            let ticket = ticket as u64;
            let limit_before = admission.load().limit as usize;
            let running_before = model.count(|state| *state == State::Running);
            match event {
                Event::Offer { class, rank, depth, wait_ms, deadline_ms } => {
                    let call = OfferedCall {
                        ticket,
                        priority: Priority::new(class, rank),
                        depth,
                        wait_ms,
                        due: TimeMs(0),
                        deadline: now + deadline_ms,
                    };
                    calls.insert(ticket, call);
                    let state = match admission.offer(now, call) {
                        OfferDecision::Run => {
                            prop_assert!(running_before < limit_before);
                            State::Running
                        }
                        OfferDecision::Wait => State::Waiting(call, now),
                        OfferDecision::Refuse(_) => State::Refused,
                    };
                    model.states.insert(ticket, state);
                }
                Event::Complete { which, service_us, outcome } => {
                    if let Some(ticket) = model.pick(which, |state| *state == State::Running) {
                        let completion = Completion { service_us, child_us: 0, outcome };
                        admission.complete(now, ticket, completion);
                        model.states.insert(ticket, State::Ended);
                    }
                }
                Event::Cancel { which } => {
                    if let Some(ticket) = model.pick(which, |state| matches!(state, State::Waiting(..))) {
                        // A call that has been evicted since is refused by the next poll instead.
                        if admission.cancel(ticket) {
                            model.states.insert(ticket, State::Cancelled);
                        }
                    }
                }
                Event::Slots(slots) => admission.set_slots(slots),
                Event::Advance(ms) => now = now + ms,
            }
            let running = model.count(|state| *state == State::Running);
            let actions = admission.poll(now);
            model.apply(now, &actions);
            model.assert_order(&actions, &calls);
            let load = admission.load();
            let running_now = model.count(|state| *state == State::Running);
            prop_assert_eq!(load.in_flight as usize, running_now);
            prop_assert!(running_now <= running.max(load.limit as usize));
            let waiting = model.count(|state| matches!(state, State::Waiting(..)));
            prop_assert_eq!(load.queued as usize, waiting);
        }
        model.apply(now, &admission.poll(now + 1_000_000));
        prop_assert_eq!(model.count(|state| matches!(state, State::Waiting(..))), 0);
    }
}
