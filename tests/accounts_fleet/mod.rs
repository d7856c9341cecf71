//! A fleet in virtual time that shares allowances: entries, keepers, and what goes wrong between them.

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
pub use window::Sent;

/// Requests come and messages arrive in steps of this length.
const STEP_MS: u64 = 10;
/// Keepers and entries look at the time this often.
const TICK_MS: u64 = 100;
/// The soonest that a node's death is known, after it was last heard.
const DEATH_KNOWN_MS: u64 = 4_000;
/// How long a restarted node takes to know who is there.
const JOIN_MS: u64 = 700;
/// Every so many messages one is lost.
const LOST_ONE_IN: usize = 20;

/// One account: what it may and what it asks for, in requests a second of the whole fleet.
#[derive(Clone, Debug)]
pub struct Demanding {
    pub name: Name,
    pub allowance: Allowance,
    pub per_s: f32,
    /// The failure domain in which it asks; all if `None`.
    pub only_in: Option<usize>,
}

pub struct World {
    pub now: TimeMs,
    pub accounts: Vec<Demanding>,
    pub sent: BTreeMap<Name, Sent>,
    nodes: Vec<Node>,
    domains: usize,
    bound: AllowanceBound,
    /// Failure domains that cannot be reached from others.
    cut_domains: Vec<usize>,
    /// Nodes that nobody can be reached from.
    cut_nodes: Vec<usize>,
    /// When others count those no longer.
    cut_nodes_gone: TimeMs,
    on_the_way: Vec<(TimeMs, usize, usize, AllowanceMessage)>,
    messages: u64,
    rng: Rng,
}

impl World {
    /// A fleet that has run for a while, or starts for the first time.
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
            sent: BTreeMap::new(),
            nodes,
            domains,
            bound,
            cut_domains: Vec::new(),
            cut_nodes: Vec::new(),
            cut_nodes_gone: TimeMs(u64::MAX),
            on_the_way: Vec::new(),
            messages: 0,
            rng,
        }
    }

    /// Adds an account.
    pub fn account(&mut self, name: &str, rate_per_s: f32, per_s: f32) {
        let allowance = Allowance {
            rate_per_s,
            burst: rate_per_s,
        };
        self.accounts.push(Demanding {
            name: Name::from(name),
            allowance,
            per_s,
            only_in: None,
        });
    }

    /// Adds the accounts of the deployment that is measured: many small ones, a few large.
    pub fn many_accounts(&mut self, usual: f32) {
        for at in 0..83 {
            let rate_per_s = match at {
                0..=3 => 186.0 / (at + 1) as f32,
                _ => 13.0,
            };
            self.account(&format!("a{at}"), rate_per_s, rate_per_s * usual);
        }
    }

    /// The account of this name.
    pub fn of(&mut self, name: &str) -> &mut Demanding {
        let account = self.accounts.iter_mut();
        account
            .into_iter()
            .find(|each| &*each.name == name)
            .unwrap()
    }

    /// Cuts failure domains off from all others.
    pub fn cut_domains(&mut self, domains: &[usize]) {
        self.cut_domains = domains.to_vec();
    }

    /// Cuts one node in `part` off from everybody.
    pub fn cut_nodes(&mut self, part: usize) {
        self.cut_nodes = (0..self.nodes.len()).filter(|at| at % part == 0).collect();
    }

    /// Cuts half of each failure domain off from everybody, its keepers not among them, until others take
    /// them for dead and divide what they had.
    pub fn cut_half_for_good(&mut self) {
        let keepers = 2 * self.domains;
        let all = keepers..self.nodes.len();
        self.cut_nodes = all.filter(|at| at / self.domains % 2 == 1).collect();
        self.cut_nodes_gone = self.now + DEATH_KNOWN_MS + EntryAllowances::SHARE_VALID_MS;
    }

    /// No node hears any other one, so each has its equal share.
    pub fn cut_all_nodes(&mut self) {
        self.cut_nodes = (0..self.nodes.len()).collect();
    }

    /// Everything is reached again.
    pub fn heal(&mut self) {
        self.cut_domains.clear();
        self.cut_nodes.clear();
        self.cut_nodes_gone = TimeMs(u64::MAX);
    }

    /// All processes end and begin anew after `down_ms`, within 300 ms.
    pub fn restart_all(&mut self, down_ms: u64) {
        self.restart(|_| true, down_ms);
    }

    /// Processes end and begin anew.
    pub fn restart(&mut self, which: impl Fn(usize) -> bool, down_ms: u64) {
        for at in 0..self.nodes.len() {
            if !which(at) {
                continue;
            }
            let starts = self.now + down_ms + self.rng.u64(..300);
            let process = self.rng.u32(..);
            let domain = at % self.domains;
            self.nodes[at] = Node::new(at, domain, self.bound, false, starts, process);
        }
    }

    /// Plays some time.
    pub fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now = self.now + STEP_MS;
            self.arrive();
            self.request();
            if self.now.0.is_multiple_of(TICK_MS) {
                self.tick();
            }
        }
    }

    /// Messages a node and second, so far.
    pub fn messages_per_node_s(&self) -> f32 {
        let seconds = self.now.since(TimeMs(10_000)) as f32 / 1_000.0;
        self.messages as f32 / self.nodes.len() as f32 / seconds
    }

    /// By how much the worst window of an account goes beyond the bound; 1 is the bound.
    pub fn worst_window(&self, name: &str, allowance: Allowance) -> f32 {
        self.sent
            .get(name)
            .map_or(0.0, |sent| sent.worst_window(allowance, self.bound))
    }

    /// The worst window of all accounts.
    pub fn worst(&self) -> f32 {
        let worst = self
            .accounts
            .iter()
            .map(|each| self.worst_window(&each.name, each.allowance));
        worst.fold(0.0, f32::max)
    }

    fn request(&mut self) {
        for at in 0..self.accounts.len() {
            let mut expected = self.accounts[at].per_s * STEP_MS as f32 / 1_000.0;
            while expected > 0.0 {
                if self.rng.f32() < expected {
                    self.one_request(at);
                }
                expected -= 1.0;
            }
        }
    }

    fn one_request(&mut self, account: usize) {
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
        if self.nodes[node].starts > self.now {
            return;
        }
        let known = match self.knows_all(node) {
            true => self.nodes.len(),
            false => 1,
        };
        let id = AccountId::of(&account.name);
        let random = self.rng.f32();
        let asked = self.nodes[node]
            .entry
            .admit(self.now, id, account.allowance, known, random);
        let sent = self.sent.entry(account.name.clone()).or_default();
        sent.note(self.now, asked.is_ok());
    }

    fn knows_all(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.is_first || self.now.since(node.starts) >= JOIN_MS
    }

    fn tick(&mut self) {
        for at in 0..self.nodes.len() {
            if self.nodes[at].starts > self.now || !self.knows_all(at) {
                continue;
            }
            self.report(at);
            if self.keepers(at % self.domains).contains(&at) {
                self.keep(at);
            }
        }
    }

    fn report(&mut self, at: usize) {
        let Some(mut report) = self.nodes[at].entry.report(self.now) else {
            return;
        };
        for (order, keeper) in self.keepers(at % self.domains).into_iter().enumerate() {
            report.wants_reply = order == 0;
            self.send(at, keeper, AllowanceMessage::Report(report.clone()));
        }
    }

    fn keep(&mut self, at: usize) {
        let allowances = self.accounts.iter();
        let allowances = allowances
            .map(|each| (AccountId::of(&each.name), each.allowance))
            .collect();
        let gone = self.now >= self.cut_nodes_gone;
        let gone: &[usize] = if gone { &self.cut_nodes } else { &[] };
        let fleet = node::fleet(at % self.domains, self.domains, self.nodes.len(), gone);
        let keeper = &mut self.nodes[at].keeper;
        keeper.set_allowances(allowances);
        keeper.set_fleet(self.now, fleet);
        let domain = at % self.domains;
        if at != domain || !self.now.0.is_multiple_of(300) {
            return;
        }
        let news = self.nodes[at].keeper.domain_demands(self.now);
        for other in (0..self.domains).filter(|other| *other != domain) {
            for keeper in self.keepers(other) {
                self.send(at, keeper, AllowanceMessage::Domain(news.clone()));
            }
        }
    }

    /// The first two nodes of a failure domain.
    fn keepers(&self, domain: usize) -> [usize; 2] {
        [domain, domain + self.domains]
    }

    fn send(&mut self, from: usize, to: usize, message: AllowanceMessage) {
        self.messages += 1;
        let is_lost = self.rng.usize(..LOST_ONE_IN) == 0;
        if is_lost || !self.reaches(from, to) {
            return;
        }
        let arrives = self.now + 1 + self.rng.u64(..10);
        self.on_the_way.push((arrives, from, to, message));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_alone = |node: &usize| self.cut_nodes.contains(node);
        if from != to && (is_alone(&from) || is_alone(&to)) {
            return false;
        }
        let (from, to) = (from % self.domains, to % self.domains);
        let is_cut = |domain: &usize| self.cut_domains.contains(domain);
        from == to || !(is_cut(&from) || is_cut(&to))
    }

    fn arrive(&mut self) {
        let now = self.now;
        let (here, later) = std::mem::take(&mut self.on_the_way)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.on_the_way = later;
        let here: Vec<_> = here;
        for (_, from, to, message) in here {
            if self.nodes[to].starts > now {
                continue;
            }
            match message {
                AllowanceMessage::Report(report) => {
                    let name = node::name(from);
                    let word = self.nodes[to].keeper.apply_report(now, &name, &report);
                    if let Some(word) = word {
                        self.send(to, from, AllowanceMessage::Reply(word));
                    }
                }
                AllowanceMessage::Reply(word) => self.nodes[to].entry.apply_reply(now, &word),
                AllowanceMessage::Domain(news) => {
                    let domain = node::domain(from % self.domains);
                    self.nodes[to]
                        .keeper
                        .apply_domain_demands(now, &domain, &news);
                }
            }
        }
    }
}
