//! A simulation in virtual time: many entries respect the rate limit of one backend server.

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
use sassafrasgap::traffic::AdvertisementCache;
use sassafrasgap::traffic::LocalServer;
use sassafrasgap::traffic::ReportedState;
use sassafrasgap::traffic::ServerReport;
use sassafrasgap::wire::Advertisement;

const WINDOW_MS: u64 = 4_000;
/// This long after an entry relayed an advertisement, its calls count against the limit.
const ADVERTISED_FOR_MS: u64 = 500;
const HOP_MS: u64 = 2;
const RUN_MS: u64 = 60;
/// Requests per second to this backend server, normally and during a surge.
const USUAL_PER_S: f64 = 75.0;
const SURGE_PER_S: f64 = 225.0;
/// When the backend server starts to advertise its rate limit, and when the limit is enforced.
const ADVERTISED_MS: u64 = 4_000;
const ENFORCED_MS: u64 = ADVERTISED_MS + 3_000;
const ENDS_MS: u64 = 60_000;

#[derive(Clone, Debug)]
enum Event {
    /// A call of this entry reaches the guard, with the advertisement that the entry has cached.
    Reaches(usize, Option<Advertisement>),
    /// The backend server answers the call with this ticket, of this entry.
    Answers(u64, usize),
    /// The guard's answer reaches its entry; the flag says whether the call ran.
    Returns(usize, Option<Advertisement>, bool),
}

/// The process of the guard.
struct Guard {
    local: LocalServer,
    admission: Admission,
    /// The entry of each waiting or running call, and when a running one was sent.
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
        local.apply_report(now, &ready());
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

struct Simulation {
    random: Rng,
    now: TimeMs,
    events: BTreeMap<(TimeMs, u64), Event>,
    order: u64,
    guard: Guard,
    entries: Vec<AdvertisementCache>,
    /// When each entry first relayed an answer with the rate limit since its start.
    advertised_at: Vec<Option<TimeMs>>,
    is_cut_off: Vec<bool>,
    /// Arrivals at the backend server, and whether their entries were bound by the limit.
    arrived: Vec<(TimeMs, bool)>,
    next_ticket: u64,
    node: Name,
    /// The rate limit of the backend server.
    per_s: f64,
}

impl Simulation {
    fn new(entries: usize, per_s: f64, seed: u64) -> Self {
        Self {
            random: Rng::with_seed(seed),
            now: TimeMs(0),
            events: BTreeMap::new(),
            order: 0,
            guard: Guard::started(TimeMs(0), seed),
            entries: vec![AdvertisementCache::default(); entries],
            advertised_at: vec![None; entries],
            is_cut_off: vec![false; entries],
            arrived: Vec::new(),
            next_ticket: 0,
            node: Name::from("n"),
            per_s,
        }
    }

    fn schedule(&mut self, in_ms: u64, event: Event) {
        self.order += 1;
        self.events.insert((self.now + in_ms, self.order), event);
    }

    fn advertises_rate(&self) -> bool {
        self.now >= TimeMs(ADVERTISED_MS)
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
            self.handle(event);
        }
        let mut expected = per_s / 1_000.0;
        while self.random.f64() < expected {
            expected -= 1.0;
            let entry = self.random.usize(..self.entries.len());
            if !self.is_cut_off[entry] {
                let advertisement = self.entries[entry].get(&self.node).cloned();
                self.schedule(HOP_MS, Event::Reaches(entry, advertisement));
            }
        }
        if self.now.0.is_multiple_of(20) {
            self.poll();
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Reaches(entry, advertisement) => self.reaches(entry, advertisement),
            Event::Answers(ticket, entry) => self.answers(ticket, entry),
            Event::Returns(entry, advertisement, has_run) => {
                if self.is_cut_off[entry] {
                    return;
                }
                if has_run && advertisement.is_some() && self.advertised_at[entry].is_none() {
                    self.advertised_at[entry] = Some(self.now);
                }
                self.entries[entry].update(self.now, &self.node, advertisement, has_run);
            }
        }
    }

    fn reaches(&mut self, entry: usize, advertisement: Option<Advertisement>) {
        let now = self.now;
        if let Some(advertisement) = advertisement {
            self.guard.local.apply_advertisement(now, &advertisement);
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
                let advertisement = self.guard.local.advertisement();
                self.schedule(HOP_MS, Event::Returns(entry, advertisement, false));
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
                    let advertisement = self.guard.local.advertisement();
                    self.schedule(HOP_MS, Event::Returns(entry, advertisement, false));
                }
            }
        }
    }

    fn start(&mut self, ticket: u64) {
        let now = self.now;
        let call = self.guard.calls.get_mut(&ticket).unwrap();
        call.1 = Some(now);
        let entry = call.0;
        let is_bound =
            self.advertised_at[entry].is_some_and(|at| now.since(at) >= ADVERTISED_FOR_MS);
        self.arrived.push((now, is_bound));
        self.schedule(RUN_MS, Event::Answers(ticket, entry));
    }

    fn answers(&mut self, ticket: u64, entry: usize) {
        let now = self.now;
        // A guard that was restarted in between has no record of the call.
        let Some((_, Some(sent_at))) = self.guard.calls.remove(&ticket) else {
            return;
        };
        let advertisement = if self.advertises_rate() {
            AdvertisedRate::PerSecond(self.per_s)
        } else {
            AdvertisedRate::Absent
        };
        let incarnation = Name::from("i-1");
        self.guard
            .local
            .apply_rate(now, &incarnation, sent_at, advertisement);
        let admission = &mut self.guard.admission;
        admission.set_rate(now, self.guard.local.rate_per_s());
        let completion = Completion {
            service_us: RUN_MS * 1_000,
            child_us: 0,
            outcome: CallOutcome::Ok,
        };
        admission.complete(now, ticket, completion);
        let advertisement = self.guard.local.advertisement();
        self.schedule(HOP_MS, Event::Returns(entry, advertisement, true));
        self.poll();
    }

    fn restart_guard(&mut self) {
        self.guard = Guard::started(self.now, self.random.u64(..));
    }

    fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = AdvertisementCache::default();
        self.advertised_at[entry] = None;
    }

    /// The maximum number of arrivals of bound entries in a window that ends after the limit is
    /// enforced.
    fn max_arrivals_in_window(&self) -> usize {
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
            (0..bound.len()).filter(|first| bound[*first] + WINDOW_MS >= TimeMs(ENFORCED_MS));
        windows.map(within).max().unwrap_or(0)
    }
}

/// A fault in addition to the surge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    GuardKilled,
    GuardKilledOften,
    EntryCutOff,
    DomainCutOff,
    AllRestarted,
}

/// All entries together must not exceed the rate limit. They could because of their number, a
/// surge, a network partition, or restarted processes that lost the advertisement.
#[rstest]
fn no_window_exceeds_the_limit_across_entries(
    #[values(13, 81, 986, 1_972)] entries: usize,
    #[values(
        Fault::None,
        Fault::GuardKilled,
        Fault::GuardKilledOften,
        Fault::EntryCutOff,
        Fault::DomainCutOff,
        Fault::AllRestarted
    )]
    fault: Fault,
    #[values(25.0, 1.0)] per_s: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut simulation = Simulation::new(entries, per_s, seed);
    for ms in 1..ENDS_MS {
        let is_surge = (20_000..32_000).contains(&ms) || ms < ADVERTISED_MS;
        match (fault, ms) {
            (Fault::GuardKilled, 24_000) => simulation.restart_guard(),
            (Fault::GuardKilledOften, ms) if ms > 20_000 && ms.is_multiple_of(1_700) => {
                simulation.restart_guard()
            }
            (Fault::EntryCutOff, 22_000 | 30_000) => simulation.is_cut_off[0] = ms == 22_000,
            (Fault::DomainCutOff, 22_000 | 34_000) => {
                let third = entries / 3;
                simulation.is_cut_off[..third].fill(ms == 22_000);
            }
            (Fault::AllRestarted, 26_000) => {
                simulation.restart_guard();
                (0..entries).for_each(|entry| simulation.restart_entry(entry));
            }
            _ => {}
        }
        simulation.step(if is_surge { SURGE_PER_S } else { USUAL_PER_S });
    }
    let most = simulation.max_arrivals_in_window() as f64;
    let allowed = 1.5 * WINDOW_MS as f64 / 1_000.0 * per_s + 5.0;
    assert!(most <= allowed, "{most} of {allowed}");
    let after_surge = simulation
        .arrived
        .iter()
        .filter(|(at, _)| at.0 >= 40_000)
        .count() as f64;
    let at_limit = per_s * (ENDS_MS - 40_000) as f64 / 1_000.0;
    if fault != Fault::GuardKilledOften {
        assert!(
            after_surge >= at_limit * 0.9 - 1.0,
            "{after_surge} of {at_limit}"
        );
    }
}

fn advertisement(incarnation: &str, is_leaving: bool, rate_milli: Option<u64>) -> Advertisement {
    Advertisement {
        incarnation: Name::from(incarnation),
        started_unix_ms: None,
        is_leaving,
        rate_milli,
    }
}

/// A refusal of a restarted guard, which has no advertisement, must not remove the cached one.
#[test]
fn a_refusal_without_an_advertisement_keeps_the_cached_one() {
    let node = Name::from("n");
    let mut cache = AdvertisementCache::default();
    cache.update(
        TimeMs(1),
        &node,
        Some(advertisement("i-1", false, Some(2_000))),
        true,
    );
    cache.update(TimeMs(2), &node, None, false);
    assert_eq!(
        cache.get(&node),
        Some(&advertisement("i-1", false, Some(2_000)))
    );
    cache.update(TimeMs(3), &node, None, true);
    assert_eq!(cache.get(&node), None);
}

/// An answer without the departure must not revoke it within the same incarnation.
#[test]
fn a_departure_is_kept_within_its_incarnation() {
    let node = Name::from("n");
    let mut cache = AdvertisementCache::default();
    cache.update(
        TimeMs(1),
        &node,
        Some(advertisement("i-1", true, Some(2_000))),
        true,
    );
    cache.update(TimeMs(2), &node, None, true);
    assert_eq!(cache.get(&node), Some(&advertisement("i-1", true, None)));
    cache.update(
        TimeMs(3),
        &node,
        Some(advertisement("i-1", false, Some(1))),
        true,
    );
    assert_eq!(cache.get(&node), Some(&advertisement("i-1", true, Some(1))));
    cache.update(
        TimeMs(4),
        &node,
        Some(advertisement("i-2", false, Some(1))),
        true,
    );
    assert_eq!(
        cache.get(&node),
        Some(&advertisement("i-2", false, Some(1)))
    );
}

/// The cache must not grow with every backend server that ever advertised a rate limit.
#[test]
fn the_oldest_entry_is_evicted_when_the_cache_is_full() {
    let mut cache = AdvertisementCache::default();
    for order in 0..3_000 {
        let node = Name::from(format!("n-{order}"));
        cache.update(
            TimeMs(order),
            &node,
            Some(advertisement("i", false, Some(1))),
            true,
        );
    }
    let held = (0..3_000).filter(|order| cache.get(&format!("n-{order}").into()).is_some());
    let held: Vec<u64> = held.collect();
    assert_eq!((held.len(), held[0]), (2_048, 952));
}
