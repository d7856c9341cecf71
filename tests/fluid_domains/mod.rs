//! A fluid model of failure domains in virtual time, for tests of placement.
//!
//! Calls are rates, and each domain is one queue in front of one capacity. Admission is not modelled:
//! the pressure that entries record is reported instead.

use std::ops::Range;

use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;
use sassafrasgap::placement::DomainLoad;
use sassafrasgap::placement::DomainSplit;
use sassafrasgap::placement::PlacementConf;
use sassafrasgap::placement::ServicePlacement;
use sassafrasgap::placement::demand_change;
use sassafrasgap::placement::split;
use sassafrasgap::routing::TargetPressure;

pub const STEP_MS: u64 = 50;
const RUN_TIME_S: f64 = 0.063;
/// A call that would wait longer than this is refused: a look-up with an objective of 1.5 s makes
/// four calls one after another, and 4 * (0.3 + 0.063) s is 1.45 s.
const MAX_WAIT_S: f64 = 0.3;
/// The wait from which calls spill by wait, as in `traffic`.
pub const SPILL_WAIT_MS: f64 = 25.0;
/// From this pressure on, root requests are refused.
const PRESSED_PERMILLE: u32 = 950;
/// Entries learn of waits by responses, at different times: the ages by groups of equal size. With
/// one common age of 100 ms all entries switch at once, and the choice by wait keeps oscillating,
/// with a split as well as without.
const WAIT_AGES_MS: [u64; 4] = [50, 100, 150, 200];
/// The entries of each domain. All of them offer the same.
const ENTRIES: f64 = 20.0;
/// The age of what an entry knows of its own calls: the delay of a mean over 1 s, and a tick.
const OWN_CALLS_AGE_MS: u64 = 600;
/// Coordinators leave out domains not heard from for this time.
pub const UNHEARD_MS: u64 = 4_000;

/// The circumstances of a run.
pub struct Replay {
    capacity: Vec<f64>,
    /// The age of the figures of which splits are computed.
    figures_age_ms: u64,
    pub cut: Option<(usize, Range<u64>)>,
}

impl Replay {
    pub fn new(capacity: &[f64], figures_age_ms: u64) -> Self {
        let (capacity, cut) = (capacity.to_vec(), None);
        Self {
            capacity,
            figures_age_ms,
            cut,
        }
    }

    fn domains(&self) -> Range<usize> {
        0..self.capacity.len()
    }

    /// The time of the cut between two domains, if they are cut off from each other.
    fn cut_between(&self, one: usize, two: usize, at_ms: u64) -> Option<&Range<u64>> {
        let (domain, span) = self.cut.as_ref()?;
        let is_cut = one != two && (*domain == one || *domain == two) && span.contains(&at_ms);
        is_cut.then_some(span)
    }

    fn unreachable(&self, own: usize, at_ms: u64) -> Vec<Name> {
        let domains = self.domains();
        let unreachable = domains.filter(|other| self.cut_between(own, *other, at_ms).is_some());
        unreachable.map(domain_name).collect()
    }
}

/// One step of a run. All lists are by domain.
#[derive(Default)]
pub struct Step {
    pub at_ms: u64,
    pub demand: Vec<f64>,
    /// Calls per second from each domain to each.
    pub sent: Vec<Vec<f64>>,
    /// Calls that arrive, as a share of the capacity.
    pub load: Vec<f64>,
    wait_ms: Vec<f64>,
    refused: f64,
    /// The pressure that entries record for the service.
    recorded_permille: Vec<u32>,
    figures: Vec<DomainLoad>,
}

pub struct Run(Vec<Step>);

impl Run {
    pub fn after(&self, from_ms: u64) -> impl Iterator<Item = &Step> {
        self.0.iter().filter(move |step| step.at_ms >= from_ms)
    }

    /// The share of calls for which `part` counts, from `from_ms` on.
    fn share(&self, from_ms: u64, part: impl Fn(&Step) -> f64) -> f64 {
        let offered: f64 = self.after(from_ms).flat_map(|step| &step.demand).sum();
        let counted = self.after(from_ms).map(part);
        counted.fold(0.0, |sum, part| sum + part) / offered
    }

    pub fn crossed(&self, from_ms: u64) -> f64 {
        self.share(from_ms, |step| {
            let rows = step.sent.iter().enumerate();
            rows.map(|(own, rates)| rates.iter().sum::<f64>() - rates[own])
                .sum()
        })
    }

    pub fn refused(&self, from_ms: u64) -> f64 {
        self.share(from_ms, |step| step.refused)
    }

    /// The share of calls offered while their entry records a pressure that refuses root requests,
    /// except in domains and at times that are excused.
    pub fn pressed(&self, from_ms: u64, is_excused: impl Fn(usize, u64) -> bool) -> f64 {
        self.share(from_ms, |step| {
            let is_pressed = |own: &usize| step.recorded_permille[*own] >= PRESSED_PERMILLE;
            let pressed = (0..step.demand.len()).filter(is_pressed);
            let pressed = pressed.filter(|own| !is_excused(*own, step.at_ms));
            pressed.fold(0.0, |sum, own| sum + step.demand[own])
        })
    }

    pub fn max_wait_ms(&self, from_ms: u64) -> f64 {
        let waits = self.after(from_ms).flat_map(|step| &step.wait_ms);
        waits.copied().fold(0.0, f64::max)
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
    let loads = replay.domains().filter_map(|other| {
        let cut = replay.cut_between(own, other, heard_ms);
        let age_ms = cut.map_or(replay.figures_age_ms, |span| now_ms - span.start);
        let is_heard = age_ms <= replay.figures_age_ms + UNHEARD_MS;
        let step = step_before(steps, age_ms).filter(|_| is_heard)?;
        Some(step.figures[other].clone())
    });
    loads.collect()
}

/// The estimate, by an entry of `own`, of how much the domain's demand has changed since the figures.
fn known_change(replay: &Replay, steps: &[Step], own: usize) -> f32 {
    let own_calls_at = |age_ms| {
        let step = step_before(steps, age_ms);
        step.map_or(0.0, |step| step.demand[own] / ENTRIES) as f32
    };
    let age_ms = OWN_CALLS_AGE_MS.min(replay.figures_age_ms);
    demand_change(own_calls_at(replay.figures_age_ms), own_calls_at(age_ms))
}

/// The domains that receive the calls of `own` alike by the waits of `known`: its own one, unless
/// the wait there is long and less than half as long elsewhere.
fn receivers(replay: &Replay, known: Option<&Step>, own: usize, now_ms: u64) -> Vec<usize> {
    let capacity = &replay.capacity;
    let wait_ms = |domain: usize| known.map_or(0.0, |step| step.wait_ms[domain]);
    if capacity[own] > 0.0 && wait_ms(own) < SPILL_WAIT_MS {
        return vec![own];
    }
    let is_receiver = |other: &usize| {
        let is_shorter = capacity[own] <= 0.0 || wait_ms(*other) * 2.0 < wait_ms(own);
        let is_reachable = *other != own && replay.cut_between(own, *other, now_ms).is_none();
        is_reachable && capacity[*other] > 0.0 && is_shorter
    };
    let receivers: Vec<usize> = replay.domains().filter(is_receiver).collect();
    if receivers.is_empty() {
        vec![own]
    } else {
        receivers
    }
}

/// The shares of the calls of `own` by domain: what the split keeps is placed by wait.
fn shares(
    replay: &Replay,
    steps: &[Step],
    split: &DomainSplit,
    own: usize,
    now_ms: u64,
) -> Vec<f64> {
    let split = split.without(&replay.unreachable(own, now_ms));
    let part = f64::from(split.kept_permille) / 1_000.0 / WAIT_AGES_MS.len() as f64;
    let mut shares = vec![0.0; replay.capacity.len()];
    for age_ms in WAIT_AGES_MS {
        let receivers = receivers(replay, step_before(steps, age_ms), own, now_ms);
        for other in &receivers {
            shares[*other] += part / receivers.len() as f64;
        }
    }
    for share in &split.shares {
        let other = replay
            .domains()
            .find(|other| domain_name(*other) == share.domain);
        shares[other.unwrap()] += f64::from(share.permille) / 1_000.0;
    }
    shares
}

/// Runs a demand, given by domain and second, for a minute, by split or by wait alone.
fn run(replay: &Replay, is_split: bool, demand: impl Fn(usize, f64) -> f64) -> Run {
    let mut queue = vec![0.0; replay.capacity.len()];
    let mut steps: Vec<Step> = Vec::new();
    let step_s = STEP_MS as f64 / 1_000.0;
    for at_ms in (0..60_000).step_by(STEP_MS as usize) {
        let mut step = Step {
            at_ms,
            ..Step::default()
        };
        let mut placements = Vec::new();
        for own in replay.domains() {
            step.demand.push(demand(own, at_ms as f64 / 1_000.0));
            let known = is_split.then(|| known_loads(replay, &steps, own, at_ms));
            let loads = known.unwrap_or_default();
            let (name, conf) = (domain_name(own), PlacementConf::default());
            let split = split(&name, &loads, conf);
            let change = known_change(replay, &steps, own);
            let placement = ServicePlacement::new(TimeMs(at_ms), split, loads, conf);
            let placement = placement.at_changed_demand(&name, change, conf);
            let shares = shares(replay, &steps, &placement.split, own, at_ms);
            let rates = shares.iter().map(|share| share * step.demand[own]);
            step.sent.push(rates.collect());
            placements.push(placement);
        }
        for (domain, &capacity) in replay.capacity.iter().enumerate() {
            let arriving: f64 = step.sent.iter().map(|rates| rates[domain]).sum();
            let load = arriving / capacity.max(1.0);
            let next: f64 = queue[domain] + (arriving - capacity) * step_s;
            queue[domain] = next.clamp(0.0, capacity * MAX_WAIT_S);
            step.refused += (next - queue[domain]).max(0.0) / step_s;
            let slots = capacity * RUN_TIME_S;
            let pressure = load.min(1.0) + queue[domain] / slots.max(1.0);
            step.figures.push(DomainLoad {
                domain: domain_name(domain),
                demand_per_s: step.demand[domain] as f32,
                capacity_per_s: capacity as f32,
                slots: slots as u32,
                pressure_permille: (pressure * 1_000.0) as u32,
            });
            step.load.push(load);
            let wait_s: f64 = queue[domain] / capacity.max(1.0);
            step.wait_ms.push(wait_s * 1_000.0);
        }
        for (own, placement) in placements.iter().enumerate() {
            let unreachable = replay.unreachable(own, at_ms);
            let load = &step.figures[own];
            let reported = (load.slots > 0).then_some(load.pressure_permille);
            let mean = TargetPressure::of_domains(&load.domain, reported, placement, &unreachable);
            let recorded = mean.or(reported).unwrap_or(0);
            step.recorded_permille.push(recorded);
        }
        steps.push(step);
    }
    Run(steps)
}

/// Runs a demand by wait alone and by split. Without a split, calls leave only from the wait on that
/// makes them spill, and entries are pressed meanwhile; else the replay does not show the problem.
pub fn both(replay: &Replay, demand: impl Fn(usize, f64) -> f64) -> (Run, Run) {
    let [by_wait, by_split] = [false, true].map(|is_split| run(replay, is_split, &demand));
    assert!(by_wait.max_wait_ms(0) >= SPILL_WAIT_MS);
    assert!(by_wait.pressed(0, |_, _| false) > 0.0);
    (by_wait, by_split)
}
