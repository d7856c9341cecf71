//! Simulates in virtual time a fleet that shares allowances: entries, coordinators, and failures
//! between them.

#![allow(dead_code)]

mod node;
mod window;

use std::collections::BTreeMap;

use fastrand::Rng;
use sassafrasgap::accounts::AccountId;
use sassafrasgap::accounts::Allowance;
use sassafrasgap::accounts::AllowanceBound;
use sassafrasgap::accounts::AllowanceMessage;
use sassafrasgap::accounts::EntryAllowances;
use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;

use node::Node;
pub use window::RequestLog;

/// Step of the simulation, in which requests and messages arrive.
const STEP_MS: u64 = 10;
/// Interval at which entries and coordinators run their timers.
const TICK_MS: u64 = 100;
/// Earliest time after the last contact with a node at which it is declared dead.
const DEATH_DETECTED_MS: u64 = 4_000;
/// Time that a restarted node takes to discover the others.
const JOIN_MS: u64 = 700;
/// One in this many messages is lost.
const LOST_ONE_IN: usize = 20;

/// One account: its allowance and its demand, in requests per second over the whole fleet.
#[derive(Clone, Debug)]
pub struct AccountLoad {
    pub name: Name,
    pub allowance: Allowance,
    pub per_s: f32,
    /// The only failure domain that receives its requests; all if `None`.
    pub only_in: Option<usize>,
}

/// The simulated fleet and the accounts that send requests to it.
pub struct World {
    pub now: TimeMs,
    pub accounts: Vec<AccountLoad>,
    pub requests: BTreeMap<Name, RequestLog>,
    nodes: Vec<Node>,
    domains: usize,
    bound: AllowanceBound,
    /// Failure domains that are partitioned from the others.
    cut_domains: Vec<usize>,
    /// Nodes that are cut off from all others.
    cut_nodes: Vec<usize>,
    /// When other nodes remove the nodes in `cut_nodes` from the fleet.
    cut_nodes_removed_at: TimeMs,
    in_flight: Vec<(TimeMs, usize, usize, AllowanceMessage)>,
    messages: u64,
    rng: Rng,
}

impl World {
    /// Creates a fleet that starts for the first time.
    pub fn new(nodes: usize, domains: usize, seed: u64) -> Self {
        let bound = AllowanceBound::default();
        let mut rng = Rng::with_seed(seed);
        let now = TimeMs(10_000);
        let nodes = (0..nodes)
            .map(|at| Node::new(at, at % domains, bound, true, now, rng.u32(..)))
            .collect();
        Self {
            now,
            accounts: Vec::new(),
            requests: BTreeMap::new(),
            nodes,
            domains,
            bound,
            cut_domains: Vec::new(),
            cut_nodes: Vec::new(),
            cut_nodes_removed_at: TimeMs(u64::MAX),
            in_flight: Vec::new(),
            messages: 0,
            rng,
        }
    }

    pub fn add_account(&mut self, name: &str, rate_per_s: f32, per_s: f32) {
        let allowance = Allowance {
            rate_per_s,
            burst: rate_per_s,
        };
        self.accounts.push(AccountLoad {
            name: Name::from(name),
            allowance,
            per_s,
            only_in: None,
        });
    }

    /// Adds the accounts of the measured deployment: many small ones and a few large ones.
    pub fn add_deployment_accounts(&mut self, usual: f32) {
        for at in 0..83 {
            let rate_per_s = match at {
                0..=3 => 186.0 / (at + 1) as f32,
                _ => 13.0,
            };
            self.add_account(&format!("a{at}"), rate_per_s, rate_per_s * usual);
        }
    }

    pub fn account(&mut self, name: &str) -> &mut AccountLoad {
        let account = self.accounts.iter_mut();
        account
            .into_iter()
            .find(|each| &*each.name == name)
            .unwrap()
    }

    /// Partitions failure domains from all others.
    pub fn cut_domains(&mut self, domains: &[usize]) {
        self.cut_domains = domains.to_vec();
    }

    /// Cuts one node in every `part` nodes off from all others.
    pub fn cut_nodes(&mut self, part: usize) {
        self.cut_nodes = (0..self.nodes.len()).filter(|at| at % part == 0).collect();
    }

    /// Cuts half of each failure domain except its coordinators off from all others, until these
    /// have declared the nodes dead and redistributed their shares.
    pub fn cut_half_until_dead(&mut self) {
        let coordinators = 2 * self.domains;
        let all = coordinators..self.nodes.len();
        self.cut_nodes = all.filter(|at| at / self.domains % 2 == 1).collect();
        self.cut_nodes_removed_at = self.now + DEATH_DETECTED_MS + EntryAllowances::SHARE_VALID_MS;
    }

    /// Isolates every node, so that each has its equal share.
    pub fn cut_all_nodes(&mut self) {
        self.cut_nodes = (0..self.nodes.len()).collect();
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.cut_domains.clear();
        self.cut_nodes.clear();
        self.cut_nodes_removed_at = TimeMs(u64::MAX);
    }

    /// Stops all processes and restarts them after `down_ms`, spread over 300 ms.
    pub fn restart_all(&mut self, down_ms: u64) {
        self.restart(|_| true, down_ms);
    }

    /// Stops the chosen processes and restarts them after `down_ms`, spread over 300 ms.
    pub fn restart(&mut self, which: impl Fn(usize) -> bool, down_ms: u64) {
        for at in 0..self.nodes.len() {
            if !which(at) {
                continue;
            }
            let starts_at = self.now + down_ms + self.rng.u64(..300);
            let process = self.rng.u32(..);
            let domain = at % self.domains;
            self.nodes[at] = Node::new(at, domain, self.bound, false, starts_at, process);
        }
    }

    /// Runs the simulation.
    pub fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now = self.now + STEP_MS;
            self.deliver();
            self.send_requests();
            if self.now.0.is_multiple_of(TICK_MS) {
                self.tick();
            }
        }
    }

    /// Messages per node and second so far.
    pub fn messages_per_node_s(&self) -> f32 {
        let seconds = self.now.since(TimeMs(10_000)) as f32 / 1_000.0;
        self.messages as f32 / self.nodes.len() as f32 / seconds
    }

    /// The worst window of an account, as a fraction of the bound.
    pub fn worst_window_of(&self, name: &str, allowance: Allowance) -> f32 {
        self.requests
            .get(name)
            .map_or(0.0, |log| log.worst_window(allowance, self.bound))
    }

    /// The worst window of all accounts, as a fraction of the bound.
    pub fn worst_window(&self) -> f32 {
        let worst = self
            .accounts
            .iter()
            .map(|each| self.worst_window_of(&each.name, each.allowance));
        worst.fold(0.0, f32::max)
    }

    fn send_requests(&mut self) {
        for at in 0..self.accounts.len() {
            let mut expected = self.accounts[at].per_s * STEP_MS as f32 / 1_000.0;
            while expected > 0.0 {
                if self.rng.f32() < expected {
                    self.send_request(at);
                }
                expected -= 1.0;
            }
        }
    }

    fn send_request(&mut self, account: usize) {
        let account = &self.accounts[account];
        let node = loop {
            let node = self.rng.usize(..self.nodes.len());
            if account
                .only_in
                .is_none_or(|domain| node % self.domains == domain)
            {
                break node;
            }
        };
        if self.nodes[node].starts_at > self.now {
            return;
        }
        let known = match self.has_discovered_all(node) {
            true => self.nodes.len(),
            false => 1,
        };
        let id = AccountId::of(&account.name);
        let random = self.rng.f32();
        let admitted = self.nodes[node]
            .entry
            .admit(self.now, id, account.allowance, known, random);
        let log = self.requests.entry(account.name.clone()).or_default();
        log.record(self.now, admitted.is_ok());
    }

    fn has_discovered_all(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.is_first || self.now.since(node.starts_at) >= JOIN_MS
    }

    fn tick(&mut self) {
        for at in 0..self.nodes.len() {
            if self.nodes[at].starts_at > self.now || !self.has_discovered_all(at) {
                continue;
            }
            self.report(at);
            if self.coordinators(at % self.domains).contains(&at) {
                self.run_coordinator(at);
            }
        }
    }

    fn report(&mut self, at: usize) {
        let Some(mut report) = self.nodes[at].entry.report(self.now) else {
            return;
        };
        for (order, coordinator) in self.coordinators(at % self.domains).into_iter().enumerate() {
            report.wants_reply = order == 0;
            self.send(at, coordinator, AllowanceMessage::Report(report.clone()));
        }
    }

    fn run_coordinator(&mut self, at: usize) {
        let allowances = self.accounts.iter();
        let allowances = allowances
            .map(|each| (AccountId::of(&each.name), each.allowance))
            .collect();
        let gone = self.now >= self.cut_nodes_removed_at;
        let gone: &[usize] = if gone { &self.cut_nodes } else { &[] };
        let fleet = node::fleet(at % self.domains, self.domains, self.nodes.len(), gone);
        let coordinator = &mut self.nodes[at].coordinator;
        coordinator.set_allowances(allowances);
        coordinator.set_fleet(self.now, fleet);
        let domain = at % self.domains;
        if at != domain || !self.now.0.is_multiple_of(300) {
            return;
        }
        let demands = self.nodes[at].coordinator.domain_demands(self.now);
        for other in (0..self.domains).filter(|other| *other != domain) {
            for coordinator in self.coordinators(other) {
                self.send(at, coordinator, AllowanceMessage::Domain(demands.clone()));
            }
        }
    }

    /// The coordinators of a failure domain: its first two nodes.
    fn coordinators(&self, domain: usize) -> [usize; 2] {
        [domain, domain + self.domains]
    }

    fn send(&mut self, from: usize, to: usize, message: AllowanceMessage) {
        self.messages += 1;
        let is_lost = self.rng.usize(..LOST_ONE_IN) == 0;
        if is_lost || !self.reaches(from, to) {
            return;
        }
        let arrives = self.now + 1 + self.rng.u64(..10);
        self.in_flight.push((arrives, from, to, message));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_isolated = |node: &usize| self.cut_nodes.contains(node);
        if from != to && (is_isolated(&from) || is_isolated(&to)) {
            return false;
        }
        let (from, to) = (from % self.domains, to % self.domains);
        let is_cut = |domain: &usize| self.cut_domains.contains(domain);
        from == to || !(is_cut(&from) || is_cut(&to))
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (arrived, pending) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_flight = pending;
        let arrived: Vec<_> = arrived;
        for (_, from, to, message) in arrived {
            if self.nodes[to].starts_at > now {
                continue;
            }
            match message {
                AllowanceMessage::Report(report) => {
                    let name = node::name(from);
                    let reply = self.nodes[to].coordinator.apply_report(now, &name, &report);
                    if let Some(reply) = reply {
                        self.send(to, from, AllowanceMessage::Reply(reply));
                    }
                }
                AllowanceMessage::Reply(reply) => self.nodes[to].entry.apply_reply(now, &reply),
                AllowanceMessage::Domain(demands) => {
                    let domain = node::domain(from % self.domains);
                    self.nodes[to]
                        .coordinator
                        .apply_domain_demands(now, &domain, &demands);
                }
            }
        }
    }
}
