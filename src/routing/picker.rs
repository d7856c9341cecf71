//! The choice of a target: the best of a few, own failure domain first.

use std::sync::Arc;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::Target;
use crate::core::TimeMs;
use crate::routing::TargetStats;

/// A target at which this share of calls fails is spared, in thousandths, if others fail less. Some
/// failures are ordinary, and a few more do no harm that would be worth the bytes of going elsewhere.
const SPARE_FROM_PERMILLE: u32 = 250;
/// How often it must fail for each failure of the best other one.
const SPARE_RATIO: u32 = 3;
/// One call in this goes there all the same, to find out whether it is well again.
const TRIAL_PART: usize = 24;
/// Below this load per slot, in thousandths, another target has room for a failing one's calls.
const ROOM_PERMILLE: u64 = 800;

/// From this load per slot on, in thousandths, a target's speed does not make up for it.
const FULL_PERMILLE: u64 = 900;

/// When a call goes to another failure domain though a target of its own takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpillPolicy {
    /// From this load per slot on, in thousandths, if the other one is less loaded.
    ByLoad { permille: u64 },
    /// From this expected wait on, if it is less than half as long there: for deployments in which
    /// bytes between failure domains are dear. A large body has a time of its own.
    ByWait { wait_ms: u64, large_wait_ms: u64 },
}

/// How targets are chosen.
#[derive(Clone, Debug)]
pub struct PickerConf {
    pub spill: SpillPolicy,
    /// How long a new target counts as more loaded than it is, falling linearly to nothing.
    pub slow_start_ms: u64,
    /// The largest share of a service's targets that may be ejected at a time, in percent.
    pub eject_percent: usize,
    /// Of two targets with room the one is chosen at which the call is likely to end sooner.
    pub by_completion_time: bool,
}

impl Default for PickerConf {
    fn default() -> Self {
        Self {
            spill: SpillPolicy::ByLoad { permille: 700 },
            slow_start_ms: 5_000,
            eject_percent: 50,
            by_completion_time: false,
        }
    }
}

impl PickerConf {
    /// How many targets are compared. Speeds differ by more than loads do, and of two both may be slow.
    fn draws(&self) -> usize {
        if self.by_completion_time { 3 } else { 2 }
    }
}

/// What is decided about a target: take it, or there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    Take(Arc<Target>),
    /// Targets exist, but none takes work now.
    NoneAvailable,
    /// The service has never been heard of.
    Unknown,
}

/// What the choice is made from.
pub struct PickContext<'a> {
    pub targets: &'a [Arc<Target>],
    pub stats: &'a FastMap<Name, TargetStats>,
    pub own_domain: &'a str,
    pub cut_off_domains: &'a [Name],
    /// Nodes already tried by this call.
    pub tried: &'a [Name],
    /// The call has a large body.
    pub is_large: bool,
}

/// Chooses a target. `random` supplies the two draws, so that tests can fix them.
pub fn pick(
    choice: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    mut random: impl FnMut(usize) -> usize,
) -> Pick {
    if choice.targets.is_empty() {
        return Pick::Unknown;
    }
    let open = open_targets(choice, conf, now);
    let Some(usual) = least_loaded(&open, choice, conf, now, &mut random) else {
        return Pick::NoneAvailable;
    };
    let sound = sound_targets(&open, choice, now);
    if sound.len() == open.len() || sound.contains(&usual) || random(TRIAL_PART) == 0 {
        return Pick::Take(usual);
    }
    match least_loaded(&sound, choice, conf, now, &mut random) {
        Some(other) if has_room(&other, choice, now) => Pick::Take(other),
        _ => Pick::Take(usual),
    }
}

/// The targets at which not far more calls fail than at the best one.
///
/// Guards against a backend server that takes calls and fails many of them, by refusals, errors or
/// silence, while its health check is good. It is answered fast and so looks least loaded; a request
/// of many calls hardly ever comes through. Targets are compared with each other, for when all fail
/// alike, as with a service behind them, there is nowhere better to go. Others are only preferred
/// while they have room: with none to spare, what a failing one still does is worth more than its
/// failures cost.
fn sound_targets(open: &[Arc<Target>], choice: &PickContext<'_>, now: TimeMs) -> Vec<Arc<Target>> {
    let failing = |target: &Arc<Target>| {
        let stats = choice.stats.get(&target.node);
        stats.map_or(0, |stats| stats.failing_permille(now))
    };
    let best = open.iter().map(&failing).min().unwrap_or(0);
    let spared_from = (best * SPARE_RATIO).max(SPARE_FROM_PERMILLE);
    let sound = open.iter().filter(|target| failing(target) < spared_from);
    sound.cloned().collect()
}

fn has_room(target: &Target, choice: &PickContext<'_>, now: TimeMs) -> bool {
    let stats = choice.stats.get(&target.node);
    let load = stats.map_or(0, |stats| stats.load_permille(target.slots, now));
    load < ROOM_PERMILLE
}

/// The best of a few, of the own failure domain unless the way to another one pays.
fn least_loaded(
    open: &[Arc<Target>],
    choice: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    mut random: &mut impl FnMut(usize) -> usize,
) -> Option<Arc<Target>> {
    let (near, far): (Vec<_>, Vec<_>) = open
        .iter()
        .cloned()
        .partition(|target| &*target.domain == choice.own_domain);
    let best_near = least_of_few(&near, choice, conf, now, &mut random);
    let mut best_far = || least_of_few(&far, choice, conf, now, &mut random);
    match best_near {
        None => best_far().map(|(target, _)| target),
        Some((target, load)) if !may_spill(choice, conf, now, &target, load) => Some(target),
        Some((target, load)) => match best_far() {
            Some((other, other_load))
                if is_better(choice, conf, now, (&other, other_load), (&target, load)) =>
            {
                Some(other)
            }
            _ => Some(target),
        },
    }
}

fn may_spill(
    choice: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    near: &Target,
    load: u64,
) -> bool {
    match conf.spill {
        SpillPolicy::ByLoad { permille } => load >= permille,
        SpillPolicy::ByWait { large_wait_ms, .. } if choice.is_large => {
            wait_ms(choice, near, now) >= large_wait_ms
        }
        SpillPolicy::ByWait {
            wait_ms: most_ms, ..
        } => wait_ms(choice, near, now) >= most_ms,
    }
}

/// Whether the first one, in another failure domain, is worth the way.
fn is_better(
    choice: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    far: (&Target, u64),
    near: (&Target, u64),
) -> bool {
    match conf.spill {
        SpillPolicy::ByLoad { .. } => far.1 < near.1,
        SpillPolicy::ByWait { .. } => wait_ms(choice, far.0, now) * 2 < wait_ms(choice, near.0, now),
    }
}

fn wait_ms(choice: &PickContext<'_>, target: &Target, now: TimeMs) -> u64 {
    let stats = choice.stats.get(&target.node);
    stats.map_or(0, |stats| stats.wait_ms(target.slots, now))
}

/// Targets that take work, less those ejected, unless too many are: then ejection says more about
/// this node than about them, and it is ignored.
fn open_targets(choice: &PickContext<'_>, conf: &PickerConf, now: TimeMs) -> Vec<Arc<Target>> {
    let candidates: Vec<Arc<Target>> = choice
        .targets
        .iter()
        .filter(|target| target.state.takes_work())
        .filter(|target| !choice.tried.contains(&target.node))
        .filter(|target| !choice.cut_off_domains.contains(&target.domain))
        .cloned()
        .collect();
    let is_ejected = |target: &Arc<Target>| {
        let stats = choice.stats.get(&target.node);
        stats.is_some_and(|stats| stats.is_ejected(now))
    };
    let ejected = candidates
        .iter()
        .filter(|target| is_ejected(target))
        .count();
    if ejected * 100 > candidates.len() * conf.eject_percent {
        return candidates;
    }
    candidates
        .into_iter()
        .filter(|target| !is_ejected(target))
        .collect()
}

fn least_of_few(
    targets: &[Arc<Target>],
    choice: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    random: &mut impl FnMut(usize) -> usize,
) -> Option<(Arc<Target>, u64)> {
    let drawn = drawn(targets.len(), conf.draws(), random);
    let weighed = drawn.into_iter().map(|index| {
        let target = &targets[index];
        let stats = choice.stats.get(&target.node);
        let slowness = stats.and_then(TargetStats::slowness_permille);
        let load = effective_load(target, choice, conf, now);
        (target, slowness.filter(|_| conf.by_completion_time), load)
    });
    let best = weighed.reduce(|best, other| {
        let is_other = match (best.1, other.1) {
            (Some(one), Some(two)) => is_sooner((two, other.2), (one, best.2)),
            _ => other.2 < best.2,
        };
        if is_other { other } else { best }
    });
    best.map(|(target, _, load)| (target.clone(), load))
}

/// Up to `count` different indexes below `below`.
fn drawn(below: usize, count: usize, random: &mut impl FnMut(usize) -> usize) -> Vec<usize> {
    let mut drawn: Vec<usize> = Vec::with_capacity(count);
    for _ in 0..count.min(below) {
        let mut index = random(below);
        while drawn.contains(&index) {
            index = (index + 1) % below;
        }
        drawn.push(index);
    }
    drawn
}

/// Whether a call is likely to end sooner at the first one; each is given by its slowness and its load per
/// slot, in thousandths.
///
/// Guards against calls that miss their objective at a slow backend server while a fast one beside it
/// idles: targets of one service differ in speed by up to three times. What comes on top grows as a target
/// fills, and from [`FULL_PERMILLE`] on only load counts.
fn is_sooner(one: (u64, u64), other: (u64, u64)) -> bool {
    if one.1.max(other.1) >= FULL_PERMILLE {
        return one.1 < other.1;
    }
    let finish = |(slowness, load): (u64, u64)| slowness * 1_000 / (1_000 - load);
    finish(one) < finish(other)
}

/// The load of a target, plus a handicap while it is new: a cold backend server that gets its full
/// share at once answers late, and its callers retry.
fn effective_load(target: &Target, choice: &PickContext<'_>, conf: &PickerConf, now: TimeMs) -> u64 {
    let Some(stats) = choice.stats.get(&target.node) else {
        return 0;
    };
    let load = stats.load_permille(target.slots, now);
    let age_ms = now.since(stats.first_seen);
    if age_ms >= conf.slow_start_ms || stats.first_seen == TimeMs(0) {
        return load;
    }
    let handicap = (conf.slow_start_ms - age_ms) * 1_000 / conf.slow_start_ms;
    load + load * handicap / 1_000 + handicap / 4
}
