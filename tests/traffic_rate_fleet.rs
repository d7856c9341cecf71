//! A rate that one backend server names, kept over a fleet of entries, in virtual time.

use std::collections::BTreeMap;

use fastrand::Rng;
use rstest::rstest;
use sassafrasgap::admission::Action;
use sassafrasgap::admission::Admission;
use sassafrasgap::admission::AdmissionConf;
use sassafrasgap::admission::AdvertisedRate;
use sassafrasgap::admission::CallOutcome;
use sassafrasgap::admission::Completion;
use sassafrasgap::admission::OfferDecision;
use sassafrasgap::admission::OfferedCall;
use sassafrasgap::core::Name;
use sassafrasgap::core::Priority;
use sassafrasgap::core::TimeMs;
use sassafrasgap::traffic::LocalServer;
use sassafrasgap::traffic::ReportedState;
use sassafrasgap::traffic::ServerReport;
use sassafrasgap::traffic::ToldWords;
use sassafrasgap::wire::ServerWord;

const WINDOW_MS: u64 = 4_000;
/// An entry is bound by what it passed on this long before.
const TOLD_FOR_MS: u64 = 500;
const WAY_MS: u64 = 2;
const RUN_MS: u64 = 60;
/// Requests a second that choose this backend server, and during a surge.
const USUAL_PER_S: f64 = 75.0;
const SURGE_PER_S: f64 = 225.0;
/// When the backend server begins to name its rate, and when the rule binds.
const NAMED_MS: u64 = 4_000;
const BINDS_MS: u64 = NAMED_MS + 3_000;
const ENDS_MS: u64 = 60_000;

#[derive(Clone, Debug)]
enum Event {
    /// A call of this entry reaches the guard.
    Reaches(usize, Option<ServerWord>),
    /// The backend server answers the call with this ticket, of this entry.
    Answers(u64, usize),
    /// The guard's answer reaches its entry.
    Returns(usize, Option<ServerWord>, bool),
}

/// The guard's process.
struct Guard {
    local: LocalServer,
    admission: Admission,
    /// Entries of calls that wait or run, and when those that run were sent.
    calls: BTreeMap<u64, (usize, Option<TimeMs>)>,
}

impl Guard {
    fn started(now: TimeMs, seed: u64) -> Self {
        let conf = AdmissionConf {
            adapts_limit: false,
            ..AdmissionConf::default()
        };
        let mut admission = Admission::new(conf, seed);
        admission.set_slots(100);
        let mut local = LocalServer::new(1_500);
        local.take(now, &ready());
        Self {
            local,
            admission,
            calls: BTreeMap::new(),
        }
    }
}

fn ready() -> ServerReport {
    ServerReport {
        incarnation: Name::from("i-1"),
        started_unix_ms: Some(1),
        state: ReportedState::Ready,
        sequence: Some(1),
        service: Some(Name::from("s")),
        slots: Some(100),
    }
}

struct World {
    random: Rng,
    now: TimeMs,
    events: BTreeMap<(TimeMs, u64), Event>,
    order: u64,
    guard: Guard,
    entries: Vec<ToldWords>,
    /// When each entry passed on an answer with the rate first, since it was started.
    told_at: Vec<Option<TimeMs>>,
    is_cut: Vec<bool>,
    /// Arrivals at the backend server, and whether their entries were bound.
    arrived: Vec<(TimeMs, bool)>,
    next_ticket: u64,
    node: Name,
    /// What the backend server names.
    per_s: f64,
}

impl World {
    fn new(entries: usize, per_s: f64, seed: u64) -> Self {
        Self {
            random: Rng::with_seed(seed),
            now: TimeMs(0),
            events: BTreeMap::new(),
            order: 0,
            guard: Guard::started(TimeMs(0), seed),
            entries: vec![ToldWords::default(); entries],
            told_at: vec![None; entries],
            is_cut: vec![false; entries],
            arrived: Vec::new(),
            next_ticket: 0,
            node: Name::from("n"),
            per_s,
        }
    }

    fn at(&mut self, in_ms: u64, event: Event) {
        self.order += 1;
        self.events.insert((self.now + in_ms, self.order), event);
    }

    fn names_rate(&self) -> bool {
        self.now >= TimeMs(NAMED_MS)
    }

    fn step(&mut self, per_s: f64) {
        self.now = self.now + 1;
        let due = self.now;
        while self
            .events
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= due)
        {
            let (_, event) = self.events.pop_first().unwrap();
            self.take(event);
        }
        let mut expected = per_s / 1_000.0;
        while self.random.f64() < expected {
            expected -= 1.0;
            let entry = self.random.usize(..self.entries.len());
            if !self.is_cut[entry] {
                let word = self.entries[entry].of(&self.node).cloned();
                self.at(WAY_MS, Event::Reaches(entry, word));
            }
        }
        if self.now.0.is_multiple_of(20) {
            self.poll();
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Reaches(entry, word) => self.reaches(entry, word),
            Event::Answers(ticket, entry) => self.answers(ticket, entry),
            Event::Returns(entry, word, has_run) => {
                if self.is_cut[entry] {
                    return;
                }
                if has_run && word.is_some() && self.told_at[entry].is_none() {
                    self.told_at[entry] = Some(self.now);
                }
                self.entries[entry].note(self.now, &self.node, word, has_run);
            }
        }
    }

    fn reaches(&mut self, entry: usize, word: Option<ServerWord>) {
        let now = self.now;
        if let Some(word) = word {
            self.guard.local.take_word(now, &word);
            self.guard
                .admission
                .set_rate(now, self.guard.local.rate_per_s());
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let call = OfferedCall {
            ticket,
            priority: Priority::new(1, 0),
            depth: 0,
            wait_ms: 3_000,
            due: now + 1_000,
            deadline: now + 3_000,
        };
        match self.guard.admission.offer(now, call) {
            OfferDecision::Run => {
                self.guard.calls.insert(ticket, (entry, None));
                self.start(ticket);
            }
            OfferDecision::Wait => {
                self.guard.calls.insert(ticket, (entry, None));
            }
            OfferDecision::Refuse(_) => {
                let word = self.guard.local.word();
                self.at(WAY_MS, Event::Returns(entry, word, false));
            }
        }
        self.poll();
    }

    fn poll(&mut self) {
        for action in self.guard.admission.poll(self.now) {
            match action {
                Action::Start(ticket) => self.start(ticket),
                Action::Refuse(ticket, _) => {
                    let (entry, _) = self.guard.calls.remove(&ticket).unwrap();
                    let word = self.guard.local.word();
                    self.at(WAY_MS, Event::Returns(entry, word, false));
                }
            }
        }
    }

    fn start(&mut self, ticket: u64) {
        let now = self.now;
        let call = self.guard.calls.get_mut(&ticket).unwrap();
        call.1 = Some(now);
        let entry = call.0;
        let is_bound = self.told_at[entry].is_some_and(|at| now.since(at) >= TOLD_FOR_MS);
        self.arrived.push((now, is_bound));
        self.at(RUN_MS, Event::Answers(ticket, entry));
    }

    fn answers(&mut self, ticket: u64, entry: usize) {
        let now = self.now;
        // A guard that was restarted meanwhile has forgotten the call, and its entry lost it.
        let Some((_, Some(sent_at))) = self.guard.calls.remove(&ticket) else {
            return;
        };
        let word = if self.names_rate() {
            AdvertisedRate::PerSecond(self.per_s)
        } else {
            AdvertisedRate::Absent
        };
        let incarnation = Name::from("i-1");
        self.guard.local.note_rate(now, &incarnation, sent_at, word);
        let admission = &mut self.guard.admission;
        admission.set_rate(now, self.guard.local.rate_per_s());
        let completion = Completion {
            service_us: RUN_MS * 1_000,
            child_us: 0,
            outcome: CallOutcome::Ok,
        };
        admission.complete(now, ticket, completion);
        let word = self.guard.local.word();
        self.at(WAY_MS, Event::Returns(entry, word, true));
        self.poll();
    }

    fn restart_guard(&mut self) {
        self.guard = Guard::started(self.now, self.random.u64(..));
    }

    fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = ToldWords::default();
        self.told_at[entry] = None;
    }

    /// The most arrivals of bound entries in a window that ends after the rule binds.
    fn most_in_a_window(&self) -> usize {
        let bound: Vec<TimeMs> = self
            .arrived
            .iter()
            .filter(|(_, is_bound)| *is_bound)
            .map(|(at, _)| *at)
            .collect();
        let within = |first: usize| {
            let last = bound[first] + WINDOW_MS;
            bound[first..].iter().take_while(|at| **at < last).count()
        };
        let windows =
            (0..bound.len()).filter(|first| bound[*first] + WINDOW_MS >= TimeMs(BINDS_MS));
        windows.map(within).max().unwrap_or(0)
    }
}

/// What happens beside the surge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    GuardKilled,
    GuardKilledOften,
    EntryCut,
    DomainCut,
    AllRestarted,
}

/// Guards against a fleet that brings a backend server more than it named: by its size, a surge, a cut, or
/// processes that were restarted and forgot.
#[rstest]
fn no_window_is_beyond_the_bound_over_a_fleet(
    #[values(13, 81, 986, 1_972)] entries: usize,
    #[values(
        Trouble::None,
        Trouble::GuardKilled,
        Trouble::GuardKilledOften,
        Trouble::EntryCut,
        Trouble::DomainCut,
        Trouble::AllRestarted
    )]
    trouble: Trouble,
    #[values(25.0, 1.0)] per_s: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = World::new(entries, per_s, seed);
    for ms in 1..ENDS_MS {
        let is_surge = (20_000..32_000).contains(&ms) || ms < NAMED_MS;
        match (trouble, ms) {
            (Trouble::GuardKilled, 24_000) => world.restart_guard(),
            (Trouble::GuardKilledOften, ms) if ms > 20_000 && ms.is_multiple_of(1_700) => {
                world.restart_guard()
            }
            (Trouble::EntryCut, 22_000 | 30_000) => world.is_cut[0] = ms == 22_000,
            (Trouble::DomainCut, 22_000 | 34_000) => {
                let third = entries / 3;
                world.is_cut[..third].fill(ms == 22_000);
            }
            (Trouble::AllRestarted, 26_000) => {
                world.restart_guard();
                (0..entries).for_each(|entry| world.restart_entry(entry));
            }
            _ => {}
        }
        world.step(if is_surge { SURGE_PER_S } else { USUAL_PER_S });
    }
    let most = world.most_in_a_window() as f64;
    let allowed = 1.5 * WINDOW_MS as f64 / 1_000.0 * per_s + 5.0;
    assert!(most <= allowed, "{most} of {allowed}");
    let calm = world
        .arrived
        .iter()
        .filter(|(at, _)| at.0 >= 40_000)
        .count() as f64;
    let named = per_s * (ENDS_MS - 40_000) as f64 / 1_000.0;
    if trouble != Trouble::GuardKilledOften {
        assert!(calm >= named * 0.9 - 1.0, "{calm} of {named}");
    }
}

fn word(incarnation: &str, is_leaving: bool, rate_milli: Option<u64>) -> ServerWord {
    ServerWord {
        incarnation: Name::from(incarnation),
        started_unix_ms: None,
        is_leaving,
        rate_milli,
    }
}

/// Guards against an entry that forgets what binds it because a guard that knows nothing refused it.
#[test]
fn a_refusal_without_a_word_takes_nothing_back() {
    let node = Name::from("n");
    let mut told = ToldWords::default();
    told.note(
        TimeMs(1),
        &node,
        Some(word("i-1", false, Some(2_000))),
        true,
    );
    told.note(TimeMs(2), &node, None, false);
    assert_eq!(told.of(&node), Some(&word("i-1", false, Some(2_000))));
    told.note(TimeMs(3), &node, None, true);
    assert_eq!(told.of(&node), None);
}

/// Guards against a departure that is taken back by an answer without it.
#[test]
fn a_departure_is_kept_within_its_incarnation() {
    let node = Name::from("n");
    let mut told = ToldWords::default();
    told.note(TimeMs(1), &node, Some(word("i-1", true, Some(2_000))), true);
    told.note(TimeMs(2), &node, None, true);
    assert_eq!(told.of(&node), Some(&word("i-1", true, None)));
    told.note(TimeMs(3), &node, Some(word("i-1", false, Some(1))), true);
    assert_eq!(told.of(&node), Some(&word("i-1", true, Some(1))));
    told.note(TimeMs(4), &node, Some(word("i-2", false, Some(1))), true);
    assert_eq!(told.of(&node), Some(&word("i-2", false, Some(1))));
}

/// Guards against memory that grows with every backend server that ever named a rate.
#[test]
fn the_oldest_word_is_forgotten_beyond_the_bound() {
    let mut told = ToldWords::default();
    for order in 0..3_000 {
        let node = Name::from(format!("n-{order}"));
        told.note(TimeMs(order), &node, Some(word("i", false, Some(1))), true);
    }
    let held = (0..3_000).filter(|order| told.of(&format!("n-{order}").into()).is_some());
    let held: Vec<u64> = held.collect();
    assert_eq!((held.len(), held[0]), (2_048, 952));
}
