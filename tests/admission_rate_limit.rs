//! The rate limit that a backend server advertises, as enforced by its guard: the bound on every
//! sliding window, and which calls are refused.

use std::collections::VecDeque;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use sassafrasgap::admission::Action;
use sassafrasgap::admission::Admission;
use sassafrasgap::admission::AdmissionConf;
use sassafrasgap::admission::CallOutcome;
use sassafrasgap::admission::Completion;
use sassafrasgap::admission::OfferDecision;
use sassafrasgap::admission::OfferedCall;
use sassafrasgap::core::Priority;
use sassafrasgap::core::Refusal;
use sassafrasgap::core::RefusalReason;
use sassafrasgap::core::TimeMs;

const WINDOW_MS: u64 = 4_000;
const START: TimeMs = TimeMs(1_000_000);

/// The most calls that a backend server may get in a window at a rate.
fn allowed(per_s: f64) -> f64 {
    1.5 * WINDOW_MS as f64 / 1_000.0 * per_s + 5.0
}

fn admission() -> Admission {
    let conf = AdmissionConf {
        adapts_limit: false,
        queue_percent: 1_000,
        min_queue: 128,
        ..AdmissionConf::default()
    };
    let mut admission = Admission::new(conf, 7);
    admission.set_slots(100);
    admission
}

fn call(ticket: u64, class: u8, now: TimeMs) -> OfferedCall {
    OfferedCall {
        ticket,
        priority: Priority::new(class, 0),
        depth: 0,
        wait_ms: 3_000,
        due: now + 1_000,
        deadline: now + 3_000,
    }
}

const RAN: Completion = Completion {
    service_us: 20_000,
    child_us: 0,
    outcome: CallOutcome::Ok,
};

/// A guard whose calls take 20 ms, and the times at which it sent them.
struct Simulation {
    admission: Admission,
    running: VecDeque<(TimeMs, u64)>,
    sent: Vec<TimeMs>,
    refused: Vec<Refusal>,
    next_ticket: u64,
}

impl Simulation {
    fn new() -> Self {
        Self {
            admission: admission(),
            running: VecDeque::new(),
            sent: Vec::new(),
            refused: Vec::new(),
            next_ticket: 0,
        }
    }

    fn arrive(&mut self, now: TimeMs) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        match self.admission.offer(now, call(ticket, 1, now)) {
            OfferDecision::Run => self.start(now, ticket),
            OfferDecision::Refuse(refusal) => self.refused.push(refusal),
            OfferDecision::Wait => {}
        }
    }

    fn start(&mut self, now: TimeMs, ticket: u64) {
        self.sent.push(now);
        self.running.push_back((now + 20, ticket));
    }

    fn advance(&mut self, now: TimeMs) {
        while self.running.front().is_some_and(|(ends, _)| *ends <= now) {
            let (_, ticket) = self.running.pop_front().unwrap();
            self.admission.complete(now, ticket, RAN);
        }
        for action in self.admission.poll(now) {
            match action {
                Action::Start(ticket) => self.start(now, ticket),
                Action::Refuse(_, refusal) => self.refused.push(refusal),
            }
        }
    }

    /// The most calls sent in any window that began at `since` or later.
    fn most_in_a_window(&self, since: TimeMs) -> usize {
        let sent: Vec<_> = self.sent.iter().filter(|at| **at >= since).collect();
        let within = |first: usize| {
            let last = *sent[first] + WINDOW_MS;
            sent[first..].iter().take_while(|at| ***at < last).count()
        };
        (0..sent.len()).map(within).max().unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against arrival patterns that exceed the bound in some window, at rates from a tenth
    /// of a request to thousands a second.
    #[test]
    fn no_window_is_beyond_the_bound(
        log_rate in -1.0f64..3.6,
        bursts in prop::collection::vec((0u64..1_500, 1usize..400), 1..40),
    ) {
        let per_s = 10f64.powf(log_rate);
        let mut simulation = Simulation::new();
        simulation.admission.set_rate(START, Some(per_s));
        let mut now = START;
        for (gap_ms, count) in bursts {
            for _ in 0..gap_ms / 10 {
                now = now + 10;
                simulation.advance(now);
            }
            for _ in 0..count {
                simulation.arrive(now);
            }
            simulation.advance(now);
        }
        let most = simulation.most_in_a_window(START) as f64;
        prop_assert!(most <= allowed(per_s), "{most} of {}", allowed(per_s));
    }

    /// Guards against a change of the rate that grants again the tokens already taken.
    #[test]
    fn no_window_is_beyond_the_bound_of_its_highest_rate(
        changes in prop::collection::vec((200u64..6_000, -1.0f64..2.5), 2..8),
    ) {
        let mut simulation = Simulation::new();
        let mut now = START;
        let mut highest = Vec::new();
        for (lasts_ms, log_rate) in changes {
            let per_s = 10f64.powf(log_rate);
            simulation.admission.set_rate(now, Some(per_s));
            highest.push((now, per_s));
            for _ in 0..lasts_ms / 10 {
                now = now + 10;
                for _ in 0..5 {
                    simulation.arrive(now);
                }
                simulation.advance(now);
            }
        }
        for first in &simulation.sent {
            let last = *first + WINDOW_MS;
            let in_force = highest.iter().enumerate().filter(|(order, (since, _))| {
                let until = highest.get(order + 1).map_or(now, |next| next.0);
                *since < last && until > *first
            });
            let most = in_force.map(|(_, (_, per_s))| *per_s).fold(0.0, f64::max);
            let sent = simulation.sent.iter().filter(|at| **at >= *first && **at < last).count();
            prop_assert!(sent as f64 <= allowed(most), "{sent} of {}", allowed(most));
        }
    }
}

/// Guards against a bucket so shallow that a backend server gets far less than the rate that it
/// advertises.
#[rstest]
#[case(0.5)]
#[case(25.0)]
#[case(300.0)]
fn steady_demand_gets_the_advertised_rate(#[case] per_s: f64) {
    let mut simulation = Simulation::new();
    simulation.admission.set_rate(START, Some(per_s));
    let mut now = START;
    for _ in 0..1_000 {
        now = now + 20;
        for _ in 0..20 {
            simulation.arrive(now);
        }
        simulation.advance(now);
    }
    let per_20_s = per_s * 20.0;
    assert!(
        simulation.sent.len() as f64 >= per_20_s * 0.95 - 1.0,
        "{}",
        simulation.sent.len()
    );
    let is_rate_limited = |refusal: &Refusal| refusal.reason == RefusalReason::RateLimited;
    assert!(simulation.refused.iter().all(is_rate_limited));
}

/// Guards against a Retry-After that ends before there is room.
#[test]
fn a_call_retried_after_the_given_time_finds_a_token() {
    let mut admission = admission();
    admission.set_rate(START, Some(2.0));
    let OfferDecision::Refuse(refusal) = admission.offer(START, call(1, 1, START)) else {
        panic!("an empty bucket let a call through");
    };
    assert_eq!(refusal.reason, RefusalReason::RateLimited);
    let later = START + refusal.retry_after_ms;
    assert_eq!(
        admission.offer(later, call(2, 1, later)),
        OfferDecision::Run
    );
}

/// Guards against calls that were queued for slots when the rate was first advertised, and then
/// wait for tokens that come too late.
#[test]
fn queued_calls_beyond_a_new_rate_are_refused() {
    let mut admission = admission();
    admission.set_slots(1);
    assert_eq!(
        admission.offer(START, call(1, 1, START)),
        OfferDecision::Run
    );
    for ticket in 2..20 {
        assert_eq!(
            admission.offer(START, call(ticket, 1, START)),
            OfferDecision::Wait
        );
    }
    admission.set_rate(START, Some(10.0));
    let refused = admission.poll(START).len();
    assert_eq!(refused, 16, "a rate of 10 a second leaves two to wait");
}

/// Guards against a limit that continues after the rate is no longer advertised.
#[test]
fn calls_are_not_limited_after_the_rate_ends() {
    let mut admission = admission();
    admission.set_rate(START, Some(1.0));
    assert!(matches!(
        admission.offer(START, call(1, 1, START)),
        OfferDecision::Refuse(_)
    ));
    assert_eq!(admission.rate_limited_calls(), 1);
    admission.set_rate(START, None);
    for ticket in 2..50 {
        assert_eq!(
            admission.offer(START, call(ticket, 1, START)),
            OfferDecision::Run
        );
    }
}

/// Guards against entries and root requests that load the backend server as if all its slots could
/// be used.
#[test]
fn pressure_and_limit_follow_the_rate() {
    let mut simulation = Simulation::new();
    let mut now = START;
    for _ in 0..500 {
        now = now + 10;
        simulation.arrive(now);
        simulation.advance(now);
    }
    assert!(simulation.admission.pressure_permille() < 200);
    simulation.admission.set_rate(now, Some(25.0));
    for _ in 0..200 {
        now = now + 10;
        simulation.arrive(now);
        simulation.advance(now);
    }
    assert_eq!(simulation.admission.load().limit, 1);
    assert!(simulation.admission.pressure_permille() >= 1_000);
}

/// Guards against a refusal for a rate that is not advertised.
#[test]
fn without_a_rate_no_call_is_refused_for_it() {
    let mut admission = admission();
    admission.set_slots(1);
    assert_eq!(
        admission.offer(START, call(1, 1, START)),
        OfferDecision::Run
    );
    assert_eq!(
        admission.offer(START, call(2, 1, START)),
        OfferDecision::Wait
    );
    admission.complete(START, 1, RAN);
    // A slot is free, and the first queued call waits for the next poll.
    let without_wait = OfferedCall {
        wait_ms: 0,
        ..call(3, 2, START + 1)
    };
    assert_eq!(admission.offer(START, without_wait), OfferDecision::Wait);
    assert_eq!(admission.rate_limited_calls(), 0);
}
