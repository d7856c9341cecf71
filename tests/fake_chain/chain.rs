//! The simulation: an event queue over callers, entries, guards and backend servers.

mod backend_servers;
mod callers;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use fastrand::Rng;

use sassafrasgap::admission::Action;
use sassafrasgap::admission::Admission;
use sassafrasgap::admission::AdmissionConf;
use sassafrasgap::admission::CallOutcome;
use sassafrasgap::admission::Dependencies;
use sassafrasgap::admission::Levels;
use sassafrasgap::admission::OfferDecision;
use sassafrasgap::admission::OfferedCall;
use sassafrasgap::core::Name;
use sassafrasgap::core::Priority;
use sassafrasgap::core::TimeMs;

use super::report::Report;
use super::scenario::Control;
use super::scenario::DEADLINE_MS;
use super::scenario::Scenario;
use super::scenario::WAIT_MS;

const HOP_US: u64 = 1_000;
const CALLER_US: u64 = 3_000;
const POLL_US: u64 = 5_000;
const BASELINE_TIMEOUT_US: u64 = 1_000_000;
const BASELINE_RETRIES: u32 = 3;
const BASELINE_CONNECTIONS: usize = 700;
const ENTRIES: usize = 3;
/// Each class has its own route, so that a class that is shed reports no level for its route.
const ROUTES: [&str; 4] = ["jobs", "charges", "notebooks", "lookups"];
const SHALLOW: &str = "shallow";

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// An attempt of a root request reaches its entry.
    Send(usize),
    /// The caller's time-out for an attempt expires.
    CallerTimeout(usize, u32),
    Reach(usize),
    OwnWorkDone(usize),
    Answer(usize),
    HopTimeout(usize),
    Poll(usize, usize),
}

struct Root {
    id: u128,
    class: usize,
    shallow: bool,
    first_sent_us: u64,
    attempt: u32,
    sent_us: u64,
    ended: bool,
    /// Work done for the current attempt.
    work_us: u64,
    /// Work done for the attempts before it.
    spent_us: u64,
}

struct Call {
    root: usize,
    attempt: u32,
    service: usize,
    target: usize,
    parent: Option<usize>,
    deadline_us: u64,
    started_us: u64,
    child_from_us: u64,
    child_us: u64,
    retries: u32,
    ok: bool,
    shed: bool,
    answered: bool,
    admit: Priority,
    retry_after_ms: u64,
}

struct Node {
    guard: Admission,
    levels: Levels,
    dependencies: Dependencies,
    slots: usize,
    busy: usize,
    /// Calls beyond the slots, which wait in the backend server.
    backend_queue: VecDeque<usize>,
}

struct Chain<'a> {
    scenario: &'a Scenario,
    rng: Rng,
    now_us: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    roots: Vec<Root>,
    calls: Vec<Call>,
    services: Vec<Vec<Node>>,
    names: Vec<Name>,
    entries: Vec<Levels>,
    report: Report,
}

/// Runs a scenario and reports its outcome.
pub fn run(scenario: &Scenario) -> Report {
    let mut chain = Chain::new(scenario);
    chain.after(0, Event::Arrival);
    for service in 0..scenario.depth {
        for target in 0..scenario.targets {
            chain.after(POLL_US, Event::Poll(service, target));
        }
    }
    let end_us = scenario.end_ms * 1_000;
    while let Some(Reverse((at_us, _, event))) = chain.queue.pop() {
        if at_us > end_us {
            break;
        }
        chain.now_us = at_us;
        chain.report.events += 1;
        chain.handle(event);
    }
    chain.report
}

impl<'a> Chain<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let node = |service: usize, target: usize| {
            let deep = service + 1 == scenario.depth;
            let slots = if deep {
                scenario.deep_slots
            } else {
                scenario.slots
            };
            let seed = (service * 100 + target) as u64;
            let mut guard = Admission::new(AdmissionConf::default(), seed);
            guard.set_classes(4);
            guard.set_slots(slots as u32 * scenario.announced_percent / 100);
            Node {
                guard,
                levels: Levels::default(),
                dependencies: Dependencies::default(),
                slots,
                busy: 0,
                backend_queue: VecDeque::new(),
            }
        };
        let service = |service: usize| (0..scenario.targets).map(|t| node(service, t)).collect();
        Self {
            scenario,
            rng: Rng::with_seed(scenario.seed),
            now_us: 0,
            queue: BinaryHeap::new(),
            sequence: 0,
            roots: Vec::new(),
            calls: Vec::new(),
            services: (0..scenario.depth).map(service).collect(),
            names: (0..scenario.depth)
                .map(|i| Name::from(format!("s{i}")))
                .collect(),
            entries: vec![Levels::default(); ENTRIES],
            report: Report::default(),
        }
    }

    fn now(&self) -> TimeMs {
        TimeMs(self.now_us / 1_000)
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrival(),
            Event::Send(root) => self.send(root),
            Event::CallerTimeout(root, attempt) => self.attempt_failed(root, attempt, 0),
            Event::Reach(call) => self.reach(call),
            Event::OwnWorkDone(call) => self.own_work_done(call),
            Event::Answer(call) => self.answer(call),
            Event::HopTimeout(call) => self.hop_failed(call),
            Event::Poll(service, target) => {
                self.poll(service, target);
                self.after(POLL_US, Event::Poll(service, target));
            }
        }
    }

    fn exponential(&mut self, mean_us: f64) -> u64 {
        (-mean_us * (1.0 - self.rng.f64()).ln()) as u64
    }

    fn send(&mut self, index: usize) {
        let now = self.now();
        let now_us = self.now_us;
        let root = &mut self.roots[index];
        root.sent_us = now_us;
        let attempt = root.attempt;
        let timeout_us = DEADLINE_MS[root.class] * 1_000;
        let priority = self.priority(&self.roots[index]);
        let route = self.route(index);
        let entry = &mut self.entries[index % ENTRIES];
        if self.scenario.control == Control::Levels
            && !entry.may_pass(now, &self.names[0], route, priority)
        {
            self.attempt_failed(index, attempt, 200);
            return;
        }
        self.report.entered += 1;
        self.after(timeout_us, Event::CallerTimeout(index, attempt));
        self.forward(index, None, 0, now_us + timeout_us, 0);
    }

    fn forward(
        &mut self,
        root: usize,
        parent: Option<usize>,
        service: usize,
        deadline_us: u64,
        retries: u32,
    ) {
        let target = self.pick(service);
        self.calls.push(Call {
            root,
            attempt: self.roots[root].attempt,
            service,
            target,
            parent,
            deadline_us,
            started_us: 0,
            child_from_us: 0,
            child_us: 0,
            retries,
            ok: false,
            shed: false,
            answered: false,
            admit: Priority::LOWEST,
            retry_after_ms: 0,
        });
        let call = self.calls.len() - 1;
        self.after(HOP_US, Event::Reach(call));
        if self.scenario.control == Control::Baseline {
            self.after(BASELINE_TIMEOUT_US, Event::HopTimeout(call));
        }
    }

    fn pick(&mut self, service: usize) -> usize {
        let first = self.rng.usize(0..self.scenario.targets);
        let second = self.rng.usize(0..self.scenario.targets);
        let baseline = self.scenario.control == Control::Baseline;
        let load = |target: usize| {
            let node = &self.services[service][target];
            let load = node.guard.load();
            let limit = if baseline { 1 } else { load.limit as usize };
            let calls = (load.in_flight + load.queued) as usize;
            let calls = if baseline {
                node.busy + node.backend_queue.len()
            } else {
                calls
            };
            calls * 1_000 / limit.max(1)
        };
        let absent =
            self.now_us / 1_000 < self.scenario.joins_ms && service + 1 == self.scenario.depth;
        if absent {
            return self.rng.usize(1..self.scenario.targets);
        }
        if load(second) < load(first) {
            second
        } else {
            first
        }
    }

    fn reach(&mut self, index: usize) {
        let now = self.now();
        let call = &self.calls[index];
        let (service, target, root) = (call.service, call.target, call.root);
        if self.scenario.control == Control::Baseline {
            let node = &self.services[service][target];
            if node.busy + node.backend_queue.len() >= BASELINE_CONNECTIONS {
                self.refuse(index, 0);
            } else {
                self.start(index);
            }
            return;
        }
        let priority = self.priority(&self.roots[root]);
        let route = self.route(root);
        let node = &mut self.services[service][target];
        let downstream = node
            .dependencies
            .level(now, route, Priority::LOWEST, &node.levels);
        if self.scenario.control == Control::Levels && priority > downstream {
            self.refuse(index, 200);
            return;
        }
        let offer = node.guard.offer(
            now,
            OfferedCall {
                ticket: index as u64,
                priority,
                depth: service as u8,
                wait_ms: WAIT_MS[usize::from(priority.class())],
                due: TimeMs(0),
                deadline: TimeMs(call.deadline_us / 1_000),
            },
        );
        match offer {
            OfferDecision::Run => self.start(index),
            OfferDecision::Wait => self.poll(service, target),
            OfferDecision::Refuse(refusal) => self.refuse(index, refusal.retry_after_ms),
        }
    }

    fn poll(&mut self, service: usize, target: usize) {
        let now = self.now();
        for action in self.services[service][target].guard.poll(now) {
            match action {
                Action::Start(ticket) => self.start(ticket as usize),
                Action::Refuse(ticket, refusal) => {
                    self.refuse(ticket as usize, refusal.retry_after_ms);
                }
            }
        }
    }

    fn refuse(&mut self, index: usize, retry_after_ms: u64) {
        if self.calls[index].started_us > 0 && !self.calls[index].shed {
            self.report.not_run_after_start += 1;
        }
        self.calls[index].retry_after_ms = retry_after_ms;
        self.reply(index);
    }

    fn reply(&mut self, index: usize) {
        let now = self.now();
        let call = &self.calls[index];
        let route = self.route(call.root);
        let node = &self.services[call.service][call.target];
        let own = node.guard.level();
        self.calls[index].admit = node.dependencies.level(now, route, own, &node.levels);
        self.after(HOP_US, Event::Answer(index));
    }

    fn answer(&mut self, index: usize) {
        let now = self.now();
        if self.calls[index].answered {
            return;
        }
        let call = &self.calls[index];
        let (root, service, admit) = (call.root, call.service, call.admit);
        let route = self.route(root);
        let name = self.names[service].clone();
        let levels = match call.parent {
            None => &mut self.entries[root % ENTRIES],
            Some(parent) => {
                let parent = &self.calls[parent];
                &mut self.services[parent.service][parent.target].levels
            }
        };
        levels.record(now, &name, route, admit);
        if self.calls[index].ok {
            self.calls[index].answered = true;
            self.child_ended(index, true);
        } else {
            self.hop_failed(index);
        }
    }

    fn hop_failed(&mut self, index: usize) {
        if self.calls[index].answered {
            return;
        }
        self.calls[index].answered = true;
        let call = &self.calls[index];
        let current = call.attempt == self.roots[call.root].attempt;
        let baseline = self.scenario.control == Control::Baseline;
        if baseline && call.retries < BASELINE_RETRIES && (current || call.parent.is_some()) {
            let (root, parent) = (call.root, call.parent);
            let (service, deadline_us) = (call.service, call.deadline_us);
            let retries = call.retries + 1;
            let attempt = call.attempt;
            self.forward(root, parent, service, deadline_us, retries);
            self.calls.last_mut().unwrap().attempt = attempt;
            return;
        }
        self.child_ended(index, false);
    }

    fn child_ended(&mut self, index: usize, ok: bool) {
        let call = &self.calls[index];
        let (root, attempt) = (call.root, call.attempt);
        let Some(parent) = call.parent else {
            if ok {
                self.root_done(root, attempt);
            } else {
                self.attempt_failed(root, attempt, self.calls[index].retry_after_ms);
            }
            return;
        };
        let now_us = self.now_us;
        let parent_call = &mut self.calls[parent];
        parent_call.child_us += now_us - parent_call.child_from_us;
        parent_call.ok = ok;
        self.release(
            parent,
            if ok {
                CallOutcome::Ok
            } else {
                CallOutcome::Failed
            },
        );
    }
}
