//! A simulation of `claims` in virtual time: processes with clocks of different speed, a store and
//! networks that lose and delay messages, and callers that resend. At every step it asserts that no
//! key runs twice, that no refusal says `not_run` about a key that ran, that epochs increase, and
//! that no two processes could start keys of the same slot.

#![allow(dead_code, reason = "each test file uses a part of the simulation")]

mod calls;
mod faults;
mod hand_overs;
mod keys;
mod process;
mod store;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sassafrasgap::claims::Action;
use sassafrasgap::claims::LeaseConf;
use sassafrasgap::claims::LedgerTransfer;
use sassafrasgap::claims::NodeConditions;
use sassafrasgap::claims::ReadResult;
use sassafrasgap::claims::ResendLimits;
use sassafrasgap::claims::SLOT_COUNT;
use sassafrasgap::claims::SlotMap;
use sassafrasgap::claims::WriteResult;
use sassafrasgap::control::Promise;
use sassafrasgap::control::PromiseRequest;
use sassafrasgap::core::Name;

pub use calls::GroundTruth;
pub use calls::KeyedRequest;
pub use faults::Fault;
pub use process::Process;
pub use store::Store;

pub const WINDOW_MS: u64 = 16_000;
pub const LEASE_MS: u64 = 3_000;
const TICK_MS: u64 = 100;
const STORE_TIMEOUT_MS: u64 = 500;
const PEER_TIMEOUT_MS: u64 = 500;
const ATTEMPTS: u32 = 4;

pub enum Event {
    Tick,
    StoreRead {
        op: u64,
    },
    StoreWrite {
        op: u64,
        expected: Option<u64>,
        map: SlotMap,
    },
    ReadDone {
        op: u64,
        result: ReadResult,
    },
    WriteDone {
        op: u64,
        result: WriteResult,
    },
    PromiseRequest {
        from: usize,
        round: u64,
        ask: PromiseRequest,
    },
    PromiseAnswer {
        round: u64,
        member: u64,
        promise: Promise,
    },
    TransferArrived {
        from: usize,
        transfer: LedgerTransfer,
    },
    HandOverDone {
        transfer: u64,
        confirmed: bool,
    },
    Attempt {
        request: KeyedRequest,
        stamp: u64,
    },
    Dispatch {
        key: Name,
    },
    Finish {
        key: Name,
    },
    /// An entry sends the next attempt. This event belongs to no process.
    Send {
        request: KeyedRequest,
    },
    Fault(Fault),
}

struct QueuedEvent {
    process: Option<(usize, u64)>,
    event: Event,
}

/// Probabilities of the faults that happen throughout a run, in thousandths.
#[derive(Clone, Copy)]
pub struct FaultRates {
    /// A message is lost.
    pub lost_permille: u64,
    /// A message is delayed by up to `late_ms`, an entry is paused before it sends, or a dispatch
    /// waits for up to 5 s. An attempt is held in a buffer with half of this probability, and sent
    /// to any process instead of the owner with five times this probability.
    pub late_permille: u64,
    /// The longest delay of a late message.
    pub late_ms: u64,
    /// A call that was accepted is refused before it starts.
    pub shed_permille: u64,
    /// At a tick, a process considers all other nodes gone.
    pub false_alarm_permille: u64,
}

impl FaultRates {
    pub const NONE: Self = Self {
        lost_permille: 0,
        late_permille: 0,
        late_ms: 0,
        shed_permille: 0,
        false_alarm_permille: 0,
    };
    pub const HEAVY: Self = Self {
        lost_permille: 30,
        late_permille: 40,
        late_ms: 12_000,
        shed_permille: 100,
        false_alarm_permille: 3,
    };
}

pub struct Simulation {
    pub now: u64,
    pub rng: fastrand::Rng,
    pub processes: Vec<Process>,
    pub store: Store,
    pub truth: GroundTruth,
    pub fault_rates: FaultRates,
    pub conf: LeaseConf,
    cut: Option<(usize, bool)>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<QueuedEvent>>,
    keys: u64,
}

impl Simulation {
    /// Starts `nodes` processes and assigns them to `domains` domains in turn.
    pub fn new(seed: u64, nodes: usize, domains: usize, fault_rates: FaultRates) -> Self {
        let mut conf = LeaseConf::for_lease(LEASE_MS);
        // With odd seeds, the time in which promises replace the table ends within a run.
        if seed % 2 == 1 {
            conf.terms.outage_ms = 10 * LEASE_MS;
        }
        let mut simulation = Self {
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            processes: Vec::new(),
            store: Store::default(),
            truth: GroundTruth::default(),
            fault_rates,
            conf,
            cut: None,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            keys: 0,
        };
        for node in 0..nodes {
            let boot = simulation.rng.u64(1..);
            simulation.start(Name::from(format!("node-{node}")), node % domains, boot);
        }
        simulation
    }

    fn start(&mut self, node: Name, domain: usize, boot: u64) {
        let limits = ResendLimits::new(WINDOW_MS);
        let (now, conf) = (self.now, self.conf);
        let process = Process::new(node, domain, boot, conf, limits, now, &mut self.rng);
        self.processes.push(process);
        let index = self.processes.len() - 1;
        let after_ms = self.rng.u64(0..TICK_MS);
        self.post(index, after_ms, Event::Tick);
    }

    fn chance(&mut self, permille: u64) -> bool {
        self.rng.u64(0..1_000) < permille
    }

    /// Schedules an event at a process. It is dropped if the process has ended by then.
    pub fn post(&mut self, process: usize, after_ms: u64, event: Event) {
        let instance = self.processes[process].instance;
        self.push(after_ms, Some((process, instance)), event);
    }

    pub fn post_fault(&mut self, at: u64, fault: Fault) {
        self.push(at - self.now, None, Event::Fault(fault));
    }

    fn push(&mut self, after_ms: u64, process: Option<(usize, u64)>, event: Event) {
        self.events.push(Some(QueuedEvent { process, event }));
        let index = self.events.len() - 1;
        self.queue.push(Reverse((self.now + after_ms, index)));
    }

    /// Delay of a message: usually short, sometimes long, or `None` if the message is lost.
    fn delay(&mut self) -> Option<u64> {
        if self.chance(self.fault_rates.lost_permille) {
            return None;
        }
        if self.chance(self.fault_rates.late_permille) {
            return Some(self.rng.u64(0..=self.fault_rates.late_ms));
        }
        Some(self.rng.u64(1..=15))
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.processes[from], &self.processes[to]);
        let is_cut = |domain: usize| self.cut.is_some_and(|(cut, _)| cut == domain);
        let crosses = from.domain != to.domain && (is_cut(from.domain) || is_cut(to.domain));
        !crosses && !from.is_isolated && !to.is_isolated
    }

    fn reaches_store(&self, process: usize) -> bool {
        let process = &self.processes[process];
        let cut_off = (process.domain, true);
        !process.is_isolated && self.cut != Some(cut_off)
    }

    /// The process that answers at a node's address.
    fn process_of(&self, node: &str) -> Option<usize> {
        let runs = |index: &usize| {
            let process = &self.processes[*index];
            &*process.node == node && !process.is_dead && !process.is_isolated
        };
        (0..self.processes.len()).rev().find(runs)
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, index))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let Some(queued) = self.events[index].take() else {
                continue;
            };
            self.handle(queued);
        }
        self.now = end;
    }

    fn handle(&mut self, queued: QueuedEvent) {
        let Some((process, instance)) = queued.process else {
            match queued.event {
                Event::Send { request } => self.send(request),
                Event::Fault(fault) => self.apply(fault),
                Event::StoreRead { .. } | Event::StoreWrite { .. } => {}
                _ => unreachable!("an event of a process"),
            }
            return;
        };
        // A request on its way to the store arrives even if its sender has ended.
        match queued.event {
            Event::StoreRead { op } => return self.at_store_read(process, op),
            Event::StoreWrite { op, expected, map } => {
                return self.at_store_write(process, op, expected, map);
            }
            _ => {}
        }
        let target = &self.processes[process];
        if target.is_dead || target.instance != instance {
            return;
        }
        if target.paused_until > self.now {
            let wait_ms = target.paused_until - self.now;
            self.push(wait_ms, Some((process, instance)), queued.event);
            return;
        }
        self.at_process(process, queued.event);
        self.check_owners();
    }

    fn check_owners(&self) {
        for slot in 0..SLOT_COUNT {
            let open = |process: &&Process| process.could_start(slot, self.now);
            let owners = self.processes.iter().filter(open).count();
            assert!(
                owners <= 1,
                "slot {slot} has {owners} owners at {}",
                self.now
            );
        }
    }

    fn at_store_read(&mut self, process: usize, op: u64) {
        if !self.reaches_store(process) {
            return;
        }
        let result = self.store.read();
        if let Some(delay) = self.store_delay() {
            self.post(process, delay, Event::ReadDone { op, result });
        }
    }

    fn at_store_write(&mut self, process: usize, op: u64, expected: Option<u64>, map: SlotMap) {
        let result = self.store.write(expected, map);
        if let Some(delay) = self.store_delay() {
            self.post(process, delay, Event::WriteDone { op, result });
        }
    }

    fn store_delay(&mut self) -> Option<u64> {
        let delay = self.delay()?;
        Some(delay + self.rng.u64(0..=self.store.slow_ms))
    }

    fn at_process(&mut self, index: usize, event: Event) {
        let now = self.processes[index].clock(self.now);
        let process = &mut self.processes[index];
        let actions = match event {
            Event::Tick => return self.tick(index),
            Event::ReadDone { op, result } => {
                process.with_manager(|manager| manager.on_read(now, op, result))
            }
            Event::WriteDone { op, result } => {
                process.with_manager(|manager| manager.on_write(now, op, result))
            }
            Event::PromiseAnswer {
                round,
                member,
                promise,
            } => process.with_manager(|manager| {
                manager.on_promise(now, round, member, &promise);
                Vec::new()
            }),
            Event::HandOverDone {
                transfer,
                confirmed,
            } => process.with_manager(|manager| manager.on_handed_over(now, transfer, confirmed)),
            Event::PromiseRequest { from, round, ask } => {
                return self.answer_promise_request(index, from, round, &ask);
            }
            Event::TransferArrived { from, transfer } => {
                return self.on_transfer(index, from, transfer);
            }
            Event::Attempt { request, stamp } => return self.attempt(index, request, stamp),
            Event::Dispatch { key } => return self.dispatch(index, key),
            Event::Finish { key } => return self.finish(index, &key),
            _ => unreachable!("not an event of a process"),
        };
        self.execute(index, actions);
    }

    fn tick(&mut self, index: usize) {
        self.refresh_alive(index);
        let now = self.processes[index].clock(self.now);
        let process = &mut self.processes[index];
        let conditions = NodeConditions {
            serving: process.serving,
            draining: false,
            stopping: process.stopping,
            alive: process.alive.clone(),
        };
        let actions = process.with_manager(|manager| manager.tick(now, conditions));
        process.ledger.sweep(now);
        let updates = process.ledger.take_key_updates();
        let has_left = process.stopping && process.manager.has_left();
        process.is_dead |= has_left;
        self.execute(index, actions);
        for (node, transfer) in updates {
            self.send_transfer(index, &node, transfer);
        }
        self.post(index, TICK_MS, Event::Tick);
    }

    /// Updates the membership view of a process: the processes that run and are reachable,
    /// sometimes with a false alarm.
    fn refresh_alive(&mut self, index: usize) {
        let runs = |process: &Process| !process.is_dead && process.paused_until <= self.now;
        let alive: Vec<Name> = (0..self.processes.len())
            .filter(|other| runs(&self.processes[*other]))
            .filter(|other| *other == index || self.reaches(index, *other))
            .map(|other| self.processes[other].node.clone())
            .collect();
        self.processes[index].alive = alive.into_iter().collect();
        if self.chance(self.fault_rates.false_alarm_permille) {
            self.processes[index].alive.clear();
        }
    }

    fn execute(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::ReadRow { op } => {
                    self.post_to_store(index, Event::StoreRead { op });
                    let result = ReadResult::Failed;
                    self.post(index, STORE_TIMEOUT_MS, Event::ReadDone { op, result });
                }
                Action::WriteRow { op, expected, map } => {
                    self.post_to_store(index, Event::StoreWrite { op, expected, map });
                    let result = WriteResult::Unknown;
                    self.post(index, STORE_TIMEOUT_MS, Event::WriteDone { op, result });
                }
                Action::AskPromise {
                    round,
                    node,
                    member,
                } => {
                    self.send_promise_request(index, round, &node, member);
                }
                Action::HandOver {
                    transfer,
                    node,
                    member,
                    slots,
                } => {
                    self.hand_over(index, transfer, node, member, &slots);
                }
            }
        }
    }

    fn post_to_store(&mut self, index: usize, event: Event) {
        if !self.reaches_store(index) {
            return;
        }
        if let Some(delay) = self.store_delay() {
            self.post(index, delay, event);
        }
    }

    /// Indices of the processes that have not ended.
    pub fn live_processes(&self) -> Vec<usize> {
        let lives = |index: &usize| !self.processes[*index].is_dead;
        (0..self.processes.len()).filter(lives).collect()
    }

    /// The number of slots in which an unseen key can start, summed over all processes.
    pub fn open_slots(&self) -> usize {
        let open = |process: &Process| match process.is_dead {
            true => 0,
            false => process.ledger.open_slots(process.clock(self.now)),
        };
        self.processes.iter().map(open).sum()
    }
}
