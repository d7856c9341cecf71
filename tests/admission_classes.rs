//! Important calls under an overload caused by less important calls.

use rstest::rstest;

use sassafrasgap::admission::Action;
use sassafrasgap::admission::Admission;
use sassafrasgap::admission::AdmissionConf;
use sassafrasgap::admission::CallOutcome;
use sassafrasgap::admission::Completion;
use sassafrasgap::admission::OfferDecision;
use sassafrasgap::admission::OfferedCall;
use sassafrasgap::core::Priority;
use sassafrasgap::core::TimeMs;

const SLOTS: u32 = 4;
const MEAN_SERVICE_MS: f64 = 40.0;
/// Less important calls per millisecond: four times as many as the slots can run.
const OTHER_PER_MS: f64 = 0.4;
const DURATION_MS: u64 = 30_000;

/// A backend server with few slots behind the code under test, and the refusals of important calls.
struct Overload {
    admission: Admission,
    rng: fastrand::Rng,
    running: Vec<(u64, u64, u64)>,
    important_per_ms: f64,
    important: Vec<u64>,
    next_ticket: u64,
    important_refused: usize,
    level_cuts: usize,
}

impl Overload {
    fn new(seed: u64, important_per_ms: f64) -> Self {
        let mut admission = Admission::new(AdmissionConf::default(), seed);
        admission.set_slots(SLOTS);
        admission.set_classes(2);
        Self {
            admission,
            rng: fastrand::Rng::with_seed(seed),
            running: Vec::new(),
            important_per_ms,
            important: Vec::new(),
            next_ticket: 1,
            important_refused: 0,
            level_cuts: 0,
        }
    }

    fn step(&mut self, now: u64) {
        let ended: Vec<_> = self.running.extract_if(.., |run| run.1 <= now).collect();
        for (ticket, _, service_ms) in ended {
            let completion = Completion {
                service_us: service_ms * 1_000,
                child_us: 0,
                outcome: CallOutcome::Ok,
            };
            self.admission.complete(TimeMs(now), ticket, completion);
            self.poll(now);
        }
        for (class, per_ms) in [(0, self.important_per_ms), (1, OTHER_PER_MS)] {
            if self.rng.f64() < per_ms {
                self.offer(now, class);
            }
        }
        self.poll(now);
        let level = self.admission.level();
        self.level_cuts += usize::from(level < Priority::new(0, u16::MAX));
    }

    fn offer(&mut self, now: u64, class: u8) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        if class == 0 {
            self.important.push(ticket);
        }
        let call = OfferedCall {
            ticket,
            priority: Priority::new(class, self.rng.u16(..)),
            depth: 1,
            wait_ms: 500,
            due: TimeMs(0),
            deadline: TimeMs(now + 5_000),
        };
        match self.admission.offer(TimeMs(now), call) {
            OfferDecision::Run => self.start(now, ticket),
            OfferDecision::Wait => {}
            OfferDecision::Refuse(_) => self.refused(ticket),
        }
    }

    fn poll(&mut self, now: u64) {
        for action in self.admission.poll(TimeMs(now)) {
            match action {
                Action::Start(ticket) => self.start(now, ticket),
                Action::Refuse(ticket, _) => self.refused(ticket),
            }
        }
    }

    fn start(&mut self, now: u64, ticket: u64) {
        let service_ms = (-MEAN_SERVICE_MS * (1.0 - self.rng.f64()).ln()) as u64 + 1;
        self.running.push((ticket, now + service_ms, service_ms));
    }

    fn refused(&mut self, ticket: u64) {
        self.important_refused += usize::from(self.important.contains(&ticket));
    }
}

/// Notebooks flood a slow deep service with 4 slots, and jobs of a more important class are refused
/// while notebooks still run. A trial lowers the limit for a moment. Rounded down, it takes half of
/// the slots, and jobs wait too long.
#[rstest]
fn a_trial_with_few_slots_leaves_room_for_important_calls(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut overload = Overload::new(seed, 0.05);
    for now in 1..=DURATION_MS {
        overload.step(now);
    }
    assert!(overload.important.len() > 1_000);
    assert_eq!(overload.important_refused, 0);
    assert_eq!(
        overload.level_cuts, 0,
        "milliseconds in which the level shed important work"
    );
}

/// The same with so many jobs that three of the four slots are hardly enough. A trial may delay
/// only notebooks. Here it makes jobs wait for each other, so it has to end as soon as jobs wait
/// for long. A few refusals remain by chance, because a slot becomes free only when its call ends.
#[test]
fn important_calls_are_not_delayed_by_trials() {
    let mut refused = 0;
    for seed in 1..=6 {
        let mut overload = Overload::new(seed, 0.07);
        for now in 1..=DURATION_MS {
            overload.step(now);
        }
        refused += overload.important_refused;
    }
    assert!(refused <= 60, "{refused} important calls were refused");
}
