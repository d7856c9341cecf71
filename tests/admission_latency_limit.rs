//! The limit that keeps run times within the latency objective, in virtual time.

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

const SLOTS: u32 = 64;
const OBJECTIVE_MS: u64 = 800;
/// How long the downstream service has room before it is reported as overloaded.
const CALM_MS: u64 = 3_000;
const END_MS: u64 = 9_000;

/// A guard whose backend server spends its run time on a call to a downstream service.
struct Replay {
    guard: Admission,
    /// When each running call ends, and when it started.
    running: Vec<(TimeMs, TimeMs, u64)>,
    run_ms: fn(usize) -> u64,
    /// The run times of the calls that ended in the second half of the overload.
    late_runs_ms: Vec<u64>,
}

impl Replay {
    fn new(run_ms: fn(usize) -> u64) -> Self {
        let conf = AdmissionConf {
            adapts_limit: false,
            min_queue: 128,
            ..AdmissionConf::default()
        };
        let mut guard = Admission::new(conf, 7);
        guard.set_slots(SLOTS);
        Self {
            guard,
            running: Vec::new(),
            run_ms,
            late_runs_ms: Vec::new(),
        }
    }

    fn start(&mut self, now: TimeMs, ticket: u64) {
        let run_ms = (self.run_ms)(self.running.len() + 1);
        self.running.push((now + run_ms, now, ticket));
    }

    fn step(&mut self, now: TimeMs) {
        let ended: Vec<_> = self
            .running
            .extract_if(.., |(end, ..)| *end <= now)
            .collect();
        for (_, started, ticket) in ended {
            if now.0 >= (CALM_MS + END_MS) / 2 {
                self.late_runs_ms.push(now.since(started));
            }
            let completion = Completion {
                service_us: now.since(started) * 1_000,
                child_us: 0,
                outcome: CallOutcome::Ok,
            };
            self.guard.complete(now, ticket, completion);
        }
        for action in self.guard.poll(now) {
            if let Action::Start(ticket) = action {
                self.start(now, ticket);
            }
        }
    }

    fn arrive(&mut self, now: TimeMs, ticket: u64) {
        let call = OfferedCall {
            ticket,
            priority: Priority::new(1, ticket as u16),
            depth: 0,
            wait_ms: 2_000,
            due: now + OBJECTIVE_MS,
            deadline: now + 2_000,
        };
        if self.guard.offer(now, call) == OfferDecision::Run {
            self.start(now, ticket);
        }
    }

    /// Offers calls at two rates, one before and one while the downstream service is reported as
    /// overloaded.
    fn play(&mut self, calm_per_s: u64, overload_per_s: u64) {
        let mut ticket = 0;
        let mut due = 0;
        for ms in 1..END_MS {
            let now = TimeMs(ms);
            let is_overloaded = ms >= CALM_MS;
            self.guard.set_downstream_overloaded(is_overloaded);
            self.step(now);
            due += if is_overloaded {
                overload_per_s
            } else {
                calm_per_s
            };
            while due >= 1_000 {
                due -= 1_000;
                ticket += 1;
                self.arrive(now, ticket);
            }
        }
    }
}

// The only deep target of a failure domain is slow and busy, but calls do not queue there. Guards
// against a limit that falls to its lower bound, so that calls queue in front of a backend server
// with free slots and the entries refuse requests that it could run.
#[rstest]
#[case::longer_than_the_part_of_the_objective(500, 110)]
#[case::as_long_as_the_objective(800, 70)]
fn a_slow_downstream_service_without_a_queue_does_not_lower_the_limit(
    #[case] run_ms: u64,
    #[case] calls_per_s: u64,
) {
    let run: fn(usize) -> u64 = if run_ms == 500 { |_| 500 } else { |_| 800 };
    let mut replay = Replay::new(run);
    replay.play(calls_per_s, calls_per_s);
    assert_eq!(replay.guard.load().limit, SLOTS);
    assert_eq!(replay.guard.load().queued, 0);
}

// A downstream service that takes 50 calls a second gets 120. Guards against congestion that
// spreads: without the limit all slots are held, and each call takes 1.3 s of its 0.8 s objective.
#[test]
fn a_queue_in_a_downstream_service_lowers_the_limit() {
    let mut replay = Replay::new(|in_flight| (in_flight as u64 * 20).max(200));
    replay.play(20, 120);
    let runs_ms = &replay.late_runs_ms;
    let longest_ms = runs_ms.iter().max().copied().unwrap_or_default();
    assert!(longest_ms <= OBJECTIVE_MS, "a run takes {longest_ms} ms");
    // The bottleneck is kept busy.
    let per_s = runs_ms.len() as u64 * 2_000 / (END_MS - CALM_MS);
    assert!(per_s >= 45, "{per_s} calls a second");
}
