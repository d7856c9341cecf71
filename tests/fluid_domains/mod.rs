//! A fluid model of failure domains in virtual time, for tests of placement.
//!
//! Calls are rates, and each domain is one queue in front of one capacity. The queue limit and the
//! run time are those of a service with 63 ms a call. Admission is not modelled: the pressure that
//! entries record is reported instead.
//!
//! Entries of a domain learn of waits by responses, at different times. Four equal groups know them
//! 50 to 200 ms late. With one common age of 100 ms all entries switch at once, and the choice by
//! wait keeps oscillating, with a split as well as without.

use std::ops::Range;

use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;
use sassafrasgap::placement::DomainLoad;
use sassafrasgap::placement::DomainSplit;
use sassafrasgap::placement::PlacementConf;
use sassafrasgap::placement::ServicePlacement;
use sassafrasgap::placement::split;
use sassafrasgap::routing::TargetPressure;

const STEP_MS: u64 = 50;
const RUN_TIME_S: f64 = 0.063;
/// A call that would wait longer than this is refused.
const MAX_WAIT_S: f64 = 0.3;
/// The wait from which calls spill by wait, as in `traffic`.
pub const SPILL_WAIT_MS: f64 = 25.0;
/// From this pressure on, root requests are refused.
const PRESSED_PERMILLE: u32 = 950;
/// The ages of the waits known to the entries of a domain, by groups of equal size.
const WAIT_AGES_MS: [u64; 4] = [50, 100, 150, 200];
/// Coordinators leave out domains not heard from for this time.
pub const UNHEARD_MS: u64 = 4_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// As without a placement.
    ByWait,
    /// By the split, and by wait for the kept share.
    Split,
    /// By the split, without a reaction to waits.
    SplitAlone,
}

/// The circumstances of a run.
#[derive(Clone)]
pub struct Replay {
    pub capacity: Vec<f64>,
    /// The age of the figures of which splits are computed.
    pub figures_age_ms: u64,
    /// The figures differ from the truth by up to this share.
    pub noise: f64,
    pub cut: Option<(usize, Range<u64>)>,
}

impl Replay {
    pub fn new(capacity: &[f64]) -> Self {
        Self {
            capacity: capacity.to_vec(),
            figures_age_ms: 1_000,
            noise: 0.0,
            cut: None,
        }
    }

    fn unreachable(&self, own: usize, at_ms: u64) -> Vec<Name> {
        let others = 0..self.capacity.len();
        let unreachable = others.filter(|other| self.is_cut(own, *other, at_ms));
        unreachable.map(domain_name).collect()
    }

    fn is_cut(&self, one: usize, two: usize, at_ms: u64) -> bool {
        one != two
            && self.cut.as_ref().is_some_and(|(domain, span)| {
                (*domain == one || *domain == two) && span.contains(&at_ms)
            })
    }
}

/// One step of a run.
pub struct Step {
    pub at_ms: u64,
    demand: Vec<f64>,
    /// Calls per second from each domain to each.
    pub sent: Vec<Vec<f64>>,
    /// Calls that arrive in each domain, as a share of its capacity.
    pub load: Vec<f64>,
    queue: Vec<f64>,
    refused: f64,
    /// The pressure that the entries of each domain record for the service.
    recorded_permille: Vec<u32>,
    figures: Vec<DomainLoad>,
}

pub struct Run {
    steps: Vec<Step>,
    capacity: Vec<f64>,
}

impl Run {
    pub fn after(&self, from_ms: u64) -> impl Iterator<Item = &Step> {
        self.steps.iter().filter(move |step| step.at_ms >= from_ms)
    }

    /// The share of calls for which `part` counts, from `from_ms` on.
    fn share(&self, from_ms: u64, part: impl Fn(&Step) -> f64) -> f64 {
        let offered: f64 = self.after(from_ms).flat_map(|step| &step.demand).sum();
        self.after(from_ms)
            .map(part)
            .fold(0.0, |sum, part| sum + part)
            / offered
    }

    pub fn crossed(&self, from_ms: u64) -> f64 {
        self.share(from_ms, crossed)
    }

    pub fn refused(&self, from_ms: u64) -> f64 {
        self.share(from_ms, |step| step.refused)
    }

    /// The share of calls offered while their entry records a pressure that refuses root requests.
    pub fn pressed(&self, from_ms: u64) -> f64 {
        self.share(from_ms, |step| {
            let pairs = step.demand.iter().zip(&step.recorded_permille);
            let pressed = pairs.filter(|(_, permille)| **permille >= PRESSED_PERMILLE);
            pressed.fold(0.0, |sum, (demand, _)| sum + demand)
        })
    }

    pub fn max_wait_ms(&self, from_ms: u64) -> f64 {
        let waits = self.after(from_ms).flat_map(|step| {
            let pairs = step.queue.iter().zip(&self.capacity);
            pairs.map(|(queue, capacity)| wait_ms(*queue, *capacity))
        });
        waits.fold(0.0, f64::max)
    }

    /// How often the share of calls that crosses turned by more than a hundredth of the demand.
    pub fn turns(&self, from_ms: u64) -> usize {
        let shares = self.after(from_ms);
        let shares = shares.map(|step| crossed(step) / step.demand.iter().sum::<f64>());
        let (mut turns, mut rises, mut last) = (0, None, None);
        for share in shares {
            let change = share - *last.get_or_insert(share);
            let is_rise = change > 0.0;
            if change.abs() > 0.01 {
                turns += usize::from(rises.is_some_and(|rises| rises != is_rise));
                rises = Some(is_rise);
                last = Some(share);
            } else if rises == Some(is_rise) {
                last = Some(share);
            }
        }
        turns
    }

    pub fn report(&self, name: &str, from_ms: u64) {
        println!(
            "{name}: crossed={:.4} refused={:.4} pressed={:.4} max_wait_ms={:.0} turns={}",
            self.crossed(from_ms),
            self.refused(from_ms),
            self.pressed(from_ms),
            self.max_wait_ms(from_ms),
            self.turns(from_ms)
        );
    }
}

fn crossed(step: &Step) -> f64 {
    let all: f64 = step.sent.iter().flatten().sum();
    all - (0..step.sent.len())
        .map(|own| step.sent[own][own])
        .sum::<f64>()
}

fn wait_ms(queue: f64, capacity: f64) -> f64 {
    if capacity > 0.0 {
        queue / capacity * 1_000.0
    } else {
        0.0
    }
}

fn domain_name(index: usize) -> Name {
    Name::from(format!("d{index}"))
}

/// The state before `age_ms`.
fn step_before(steps: &[Step], age_ms: u64) -> Option<&Step> {
    let back = (age_ms / STEP_MS).max(1) as usize;
    steps.get(steps.len().saturating_sub(back))
}

/// What the coordinator of `own` knows of all domains.
fn known_loads(replay: &Replay, steps: &[Step], own: usize, now_ms: u64) -> Vec<DomainLoad> {
    let heard_ms = now_ms.saturating_sub(replay.figures_age_ms);
    let domains = 0..replay.capacity.len();
    let loads = domains.filter_map(|other| {
        let mut age_ms = replay.figures_age_ms;
        if replay.is_cut(own, other, heard_ms) {
            let (_, span) = replay.cut.as_ref()?;
            age_ms = now_ms - span.start;
        }
        let is_heard = age_ms <= replay.figures_age_ms + UNHEARD_MS;
        let step = step_before(steps, age_ms).filter(|_| is_heard)?;
        Some(step.figures[other].clone())
    });
    loads.collect()
}

/// The shares of the calls of `own` by waits of this age: its own domain, unless the wait there is long and less
/// than half as long elsewhere.
fn shares_by_wait(
    replay: &Replay,
    steps: &[Step],
    own: usize,
    now_ms: u64,
    age_ms: u64,
) -> Vec<f64> {
    let capacity = &replay.capacity;
    let wait = |domain: usize| {
        let step = step_before(steps, age_ms);
        step.map_or(0.0, |step| wait_ms(step.queue[domain], capacity[domain]))
    };
    let own_wait = wait(own);
    let is_candidate = |other: usize| {
        let is_shorter = capacity[own] <= 0.0 || wait(other) * 2.0 < own_wait;
        other != own && capacity[other] > 0.0 && is_shorter && !replay.is_cut(own, other, now_ms)
    };
    let others: Vec<usize> = (0..capacity.len())
        .filter(|other| is_candidate(*other))
        .collect();
    let mut shares = vec![0.0; capacity.len()];
    if others.is_empty() || (capacity[own] > 0.0 && own_wait < SPILL_WAIT_MS) {
        shares[own] = 1.0;
        return shares;
    }
    for other in &others {
        shares[*other] = 1.0 / others.len() as f64;
    }
    shares
}

/// The calls per second of `own` to each domain, and what its entries know of the placement.
fn place(
    replay: &Replay,
    choice: Choice,
    steps: &[Step],
    own: usize,
    now_ms: u64,
    demand: f64,
) -> (Vec<f64>, ServicePlacement) {
    let count = replay.capacity.len();
    let loads = known_loads(replay, steps, own, now_ms);
    let split = match choice {
        Choice::ByWait => DomainSplit::all_kept(),
        Choice::Split | Choice::SplitAlone => {
            split(&domain_name(own), &loads, PlacementConf::default())
        }
    };
    let reachable = split.without(&replay.unreachable(own, now_ms));
    let mut rates = vec![0.0; count];
    if choice == Choice::SplitAlone && replay.capacity[own] > 0.0 {
        rates[own] = 1.0;
    } else {
        for age_ms in WAIT_AGES_MS {
            let shares = shares_by_wait(replay, steps, own, now_ms, age_ms);
            let groups = WAIT_AGES_MS.len() as f64;
            let parts = rates.iter_mut().zip(shares);
            parts.for_each(|(rate, share)| *rate += share / groups);
        }
    }
    let kept = f64::from(reachable.kept_permille) / 1_000.0;
    rates.iter_mut().for_each(|rate| *rate *= kept * demand);
    for share in &reachable.shares {
        let other = (0..count).find(|other| domain_name(*other) == share.domain);
        rates[other.unwrap()] += f64::from(share.permille) / 1_000.0 * demand;
    }
    let placement = ServicePlacement {
        received_at: TimeMs(now_ms),
        split,
        loads,
    };
    (rates, placement)
}

/// The pressure that the entries of `own` record, given the figures of all domains now.
fn recorded_permille(
    own: usize,
    placement: &ServicePlacement,
    unreachable: &[Name],
    figures: &[DomainLoad],
) -> u32 {
    let with_targets = figures.iter().filter(|load| load.slots > 0);
    let all = TargetPressure::of_service(with_targets.map(|load| TargetPressure {
        permille: load.pressure_permille,
        slots: load.slots,
    }));
    let own_permille = (figures[own].slots > 0).then_some(figures[own].pressure_permille);
    TargetPressure::of_domains(&domain_name(own), own_permille, placement, unreachable)
        .or(own_permille)
        .or(all)
        .unwrap_or(0)
}

/// Runs a demand, given by domain and second.
pub fn run(
    replay: &Replay,
    choice: Choice,
    seconds: u64,
    demand: impl Fn(usize, f64) -> f64,
) -> Run {
    let capacity = &replay.capacity;
    let count = capacity.len();
    let mut random = fastrand::Rng::with_seed(5);
    let mut queue = vec![0.0; count];
    let mut steps: Vec<Step> = Vec::new();
    let step_s = STEP_MS as f64 / 1_000.0;
    for at_ms in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        let demand = (0..count).map(|own| demand(own, at_ms as f64 / 1_000.0));
        let demand: Vec<f64> = demand.collect();
        let placed = (0..count).map(|own| place(replay, choice, &steps, own, at_ms, demand[own]));
        let (sent, placements): (Vec<_>, Vec<_>) = placed.unzip();
        let mut refused = 0.0;
        let mut load = vec![0.0; count];
        let mut figures = Vec::new();
        for domain in 0..count {
            let arriving: f64 = sent.iter().map(|rates: &Vec<f64>| rates[domain]).sum();
            load[domain] = arriving / capacity[domain].max(1.0);
            let next: f64 = queue[domain] + (arriving - capacity[domain]) * step_s;
            queue[domain] = next.clamp(0.0, capacity[domain] * MAX_WAIT_S);
            refused += (next - queue[domain]).max(0.0) / step_s;
            let slots = capacity[domain] * RUN_TIME_S;
            let pressure = load[domain].min(1.0) + queue[domain] / slots.max(1.0);
            let mut noisy = |value: f64| value * (1.0 + replay.noise * (random.f64() * 2.0 - 1.0));
            figures.push(DomainLoad {
                domain: domain_name(domain),
                demand_per_s: noisy(demand[domain]) as f32,
                capacity_per_s: noisy(capacity[domain]) as f32,
                slots: slots as u32,
                pressure_permille: (pressure * 1_000.0) as u32,
            });
        }
        let recorded = placements.iter().enumerate().map(|(own, placement)| {
            let unreachable = replay.unreachable(own, at_ms);
            recorded_permille(own, placement, &unreachable, &figures)
        });
        steps.push(Step {
            at_ms,
            demand,
            sent,
            load,
            queue: queue.clone(),
            refused,
            recorded_permille: recorded.collect(),
            figures,
        });
    }
    Run {
        steps,
        capacity: capacity.clone(),
    }
}

/// Runs a demand for a minute by both choices and prints the result of each from `from_ms` on.
pub fn both(
    name: &str,
    replay: &Replay,
    from_ms: u64,
    demand: impl Fn(usize, f64) -> f64,
) -> (Run, Run) {
    let by_wait = run(replay, Choice::ByWait, 60, &demand);
    let split = run(replay, Choice::Split, 60, &demand);
    by_wait.report(&format!("{name}, by wait"), from_ms);
    split.report(&format!("{name}, split"), from_ms);
    (by_wait, split)
}
