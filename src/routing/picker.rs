//! The choice of a target: the best of a few, own failure domain first.

use std::sync::Arc;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::Target;
use crate::core::TimeMs;
use crate::placement::DomainSplit;
use crate::placement::ServicePlacement;
use crate::placement::WHOLE_PERMILLE;
use crate::routing::PlacementReason;
use crate::routing::TargetStats;

/// A target with this failure rate or more is avoided if others fail less, in thousandths. Some
/// failures are ordinary, and a few more cost less than the traffic to another target.
const AVOID_FROM_PERMILLE: u32 = 250;
/// An avoided target must also have this many times the failure rate of the best target.
const AVOID_RATIO: u32 = 3;
/// One call in this is sent to a failing target all the same, to find out whether it has recovered.
const PROBE_PART: usize = 24;
/// Another target has room for a failing target's calls below this load per slot, in thousandths.
const ROOM_PERMILLE: u64 = 800;

/// From this load per slot on, in thousandths, a target's speed is ignored.
const FULL_PERMILLE: u64 = 900;

/// When a call goes to another failure domain although a target in its own accepts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpillPolicy {
    /// From this load per slot on, in thousandths, if the other target is less loaded.
    ByLoad { permille: u64 },
    /// From this expected wait on, if it is less than half as long at the other target. For
    /// deployments in which bytes between failure domains are expensive. A large body has a
    /// threshold of its own.
    ByWait { wait_ms: u64, large_wait_ms: u64 },
}

/// Configuration of target selection.
#[derive(Clone, Debug)]
pub struct PickerConf {
    pub spill: SpillPolicy,
    /// How long a new target counts as more loaded than it is. The surcharge falls linearly to
    /// nothing.
    pub slow_start_ms: u64,
    /// The largest share of a service's targets that may be ejected at a time, in percent.
    pub eject_percent: usize,
    /// Of two targets with room, the one is chosen at which the call is likely to end sooner.
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
    /// The number of targets that are compared. Speeds differ by more than loads do, and two random
    /// targets may both be slow.
    fn draws(&self) -> usize {
        if self.by_completion_time { 3 } else { 2 }
    }
}

/// The target to use, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    Take(Arc<Target>),
    /// Targets exist, but none accepts calls now.
    NoneAvailable,
    /// The service is not known.
    Unknown,
}

/// The inputs of a choice.
pub struct PickContext<'a> {
    pub targets: &'a [Arc<Target>],
    pub stats: &'a FastMap<Name, TargetStats>,
    pub own_domain: &'a str,
    /// Unreachable domains, to which no calls are sent now.
    pub cut_off_domains: &'a [Name],
    /// Nodes already tried by this call.
    pub tried: &'a [Name],
    /// The call has a large body.
    pub is_large: bool,
    /// The service's current placement across failure domains, if any.
    pub placement: Option<&'a ServicePlacement>,
}

/// Chooses a target. `random` supplies the draws, so that tests can fix them.
pub fn pick(
    context: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    random: impl FnMut(usize) -> usize,
) -> Pick {
    place(context, conf, now, random).0
}

/// Chooses a target like [`pick`], and states why it is in its failure domain.
pub fn place(
    context: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    mut random: impl FnMut(usize) -> usize,
) -> (Pick, Option<PlacementReason>) {
    if context.targets.is_empty() {
        return (Pick::Unknown, None);
    }
    let available = available_targets(context, conf, now);
    let healthy = healthy_targets(&available, context, now);
    if let Some(target) = balanced_target(&healthy, context, conf, now, &mut random) {
        return (Pick::Take(target), Some(PlacementReason::Balanced));
    }
    let Some(target) = usual_target(&available, &healthy, context, conf, now, &mut random) else {
        return (Pick::NoneAvailable, None);
    };
    let is_local = |target: &Arc<Target>| &*target.domain == context.own_domain;
    let reason = if is_local(&target) {
        PlacementReason::Kept
    } else if healthy.iter().any(is_local) {
        PlacementReason::Waited
    } else {
        PlacementReason::NoLocalTarget
    };
    (Pick::Take(target), Some(reason))
}

/// The target of a first attempt that the service's split sends to another domain. `None` if the
/// call stays, if it is not a first attempt, or if the drawn domain has no healthy target. Ejected
/// targets take no calls of other domains, also while ejection is ignored because of their number:
/// the own domain's targets may be the ones that work.
///
/// Guards against calls that queue or are refused in a domain whose targets are full, while targets
/// in other domains have room.
fn balanced_target(
    healthy: &[Arc<Target>],
    context: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    mut random: &mut impl FnMut(usize) -> usize,
) -> Option<Arc<Target>> {
    if !context.tried.is_empty() {
        return None;
    }
    let split = context.placement?.sending_split(context.cut_off_domains)?;
    let domain = drawn_domain(&split, random)?;
    let in_domain = healthy
        .iter()
        .filter(|target| target.domain == *domain && !is_ejected(target, context, now));
    let in_domain: Vec<_> = in_domain.cloned().collect();
    best_of_sample(&in_domain, context, conf, now, &mut random).map(|(target, _)| target)
}

/// Draws a domain by the split; `None` if the call stays.
fn drawn_domain<'a>(
    split: &'a DomainSplit,
    random: &mut impl FnMut(usize) -> usize,
) -> Option<&'a Name> {
    let mut left = random(usize::from(WHOLE_PERMILLE));
    for share in &split.shares {
        let permille = usize::from(share.permille);
        if left < permille {
            return Some(&share.domain);
        }
        left -= permille;
    }
    None
}

/// The target of a call as it is placed without a split.
fn usual_target(
    available: &[Arc<Target>],
    healthy: &[Arc<Target>],
    context: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    random: &mut impl FnMut(usize) -> usize,
) -> Option<Arc<Target>> {
    let usual = best_target(available, context, conf, now, random)?;
    if healthy.len() == available.len() || healthy.contains(&usual) || random(PROBE_PART) == 0 {
        return Some(usual);
    }
    match best_target(healthy, context, conf, now, random) {
        Some(other) if has_room(&other, context, now) => Some(other),
        _ => Some(usual),
    }
}

/// The targets whose failure rate is not far above that of the best one.
///
/// Guards against a backend server that accepts calls and fails many of them, by refusals, errors
/// or silence, while its health check is good. It answers fast and so looks least loaded, and a
/// request with many calls hardly ever succeeds. Targets are compared with each other. When all
/// fail alike, as with a failing service downstream, there is nowhere better to go. Others are
/// preferred only while they have room. Without spare capacity, the successful calls of a failing
/// target are worth more than its failures cost.
fn healthy_targets(
    available: &[Arc<Target>],
    context: &PickContext<'_>,
    now: TimeMs,
) -> Vec<Arc<Target>> {
    let failing = |target: &Arc<Target>| {
        let stats = context.stats.get(&target.node);
        stats.map_or(0, |stats| stats.failing_permille(now))
    };
    let best = available.iter().map(&failing).min().unwrap_or(0);
    let avoided_from = (best * AVOID_RATIO).max(AVOID_FROM_PERMILLE);
    let healthy = available
        .iter()
        .filter(|target| failing(target) < avoided_from);
    healthy.cloned().collect()
}

fn has_room(target: &Target, context: &PickContext<'_>, now: TimeMs) -> bool {
    let stats = context.stats.get(&target.node);
    let load = stats.map_or(0, |stats| stats.load_permille(target.slots, now));
    load < ROOM_PERMILLE
}

/// The best of a few targets. It is in the own failure domain unless that has none, or the spill
/// policy prefers one in another domain.
fn best_target(
    available: &[Arc<Target>],
    context: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    mut random: &mut impl FnMut(usize) -> usize,
) -> Option<Arc<Target>> {
    let (local, remote): (Vec<_>, Vec<_>) = available
        .iter()
        .cloned()
        .partition(|target| &*target.domain == context.own_domain);
    let best_local = best_of_sample(&local, context, conf, now, &mut random);
    let mut best_remote = || best_of_sample(&remote, context, conf, now, &mut random);
    match best_local {
        None => best_remote().map(|(target, _)| target),
        Some((target, load)) if !may_spill(context, conf, now, &target, load) => Some(target),
        Some((target, load)) => match best_remote() {
            Some((other, other_load))
                if is_worth_spilling(context, conf, now, (&other, other_load), (&target, load)) =>
            {
                Some(other)
            }
            _ => Some(target),
        },
    }
}

fn may_spill(
    context: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    local: &Target,
    load: u64,
) -> bool {
    match conf.spill {
        SpillPolicy::ByLoad { permille } => load >= permille,
        SpillPolicy::ByWait { large_wait_ms, .. } if context.is_large => {
            wait_ms(context, local, now) >= large_wait_ms
        }
        SpillPolicy::ByWait {
            wait_ms: max_ms, ..
        } => wait_ms(context, local, now) >= max_ms,
    }
}

/// Whether the remote target is enough better than the local one. Each is given with its load.
fn is_worth_spilling(
    context: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    remote: (&Target, u64),
    local: (&Target, u64),
) -> bool {
    match conf.spill {
        SpillPolicy::ByLoad { .. } => remote.1 < local.1,
        SpillPolicy::ByWait { .. } => {
            wait_ms(context, remote.0, now) * 2 < wait_ms(context, local.0, now)
        }
    }
}

fn wait_ms(context: &PickContext<'_>, target: &Target, now: TimeMs) -> u64 {
    let stats = context.stats.get(&target.node);
    stats.map_or(0, |stats| stats.wait_ms(target.slots, now))
}

/// Targets that accept calls, without the ejected ones. If too many are ejected, the cause is more
/// likely at this node than at them, and ejection is ignored.
fn available_targets(
    context: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
) -> Vec<Arc<Target>> {
    let candidates: Vec<Arc<Target>> = context
        .targets
        .iter()
        .filter(|target| target.state.accepts_calls())
        .filter(|target| !context.tried.contains(&target.node))
        .filter(|target| !context.cut_off_domains.contains(&target.domain))
        .cloned()
        .collect();
    let ejected = candidates
        .iter()
        .filter(|target| is_ejected(target, context, now))
        .count();
    if ejected * 100 > candidates.len() * conf.eject_percent {
        return candidates;
    }
    candidates
        .into_iter()
        .filter(|target| !is_ejected(target, context, now))
        .collect()
}

fn is_ejected(target: &Target, context: &PickContext<'_>, now: TimeMs) -> bool {
    let stats = context.stats.get(&target.node);
    stats.is_some_and(|stats| stats.is_ejected(now))
}

fn best_of_sample(
    targets: &[Arc<Target>],
    context: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
    random: &mut impl FnMut(usize) -> usize,
) -> Option<(Arc<Target>, u64)> {
    let sample = sample(targets.len(), conf.draws(), random);
    let scored = sample.into_iter().map(|index| {
        let target = &targets[index];
        let stats = context.stats.get(&target.node);
        let slowness = stats.and_then(TargetStats::slowness_permille);
        let load = effective_load(target, context, conf, now);
        (target, slowness.filter(|_| conf.by_completion_time), load)
    });
    let best = scored.reduce(|best, other| {
        let is_other = match (best.1, other.1) {
            (Some(one), Some(two)) => ends_sooner((two, other.2), (one, best.2)),
            _ => other.2 < best.2,
        };
        if is_other { other } else { best }
    });
    best.map(|(target, _, load)| (target.clone(), load))
}

/// Up to `count` different indexes less than `below`.
fn sample(below: usize, count: usize, random: &mut impl FnMut(usize) -> usize) -> Vec<usize> {
    let mut sample: Vec<usize> = Vec::with_capacity(count);
    for _ in 0..count.min(below) {
        let mut index = random(below);
        while sample.contains(&index) {
            index = (index + 1) % below;
        }
        sample.push(index);
    }
    sample
}

/// Whether a call is likely to end sooner at the first target. Each target is given by its slowness
/// and its load per slot, in thousandths.
///
/// Guards against calls that miss their objective at a slow backend server while a fast one beside
/// it idles: targets of one service differ in speed by up to three times. The expected time grows
/// as a target fills, and from [`FULL_PERMILLE`] on only the load counts.
fn ends_sooner(one: (u64, u64), other: (u64, u64)) -> bool {
    if one.1.max(other.1) >= FULL_PERMILLE {
        return one.1 < other.1;
    }
    let completion_time = |(slowness, load): (u64, u64)| slowness * 1_000 / (1_000 - load);
    completion_time(one) < completion_time(other)
}

/// The load of a target, plus a surcharge while it is new. A cold backend server that gets its full
/// share at once answers late, and its callers retry. Without a time in `first_seen` a target is
/// not new.
fn effective_load(
    target: &Target,
    context: &PickContext<'_>,
    conf: &PickerConf,
    now: TimeMs,
) -> u64 {
    let Some(stats) = context.stats.get(&target.node) else {
        return 0;
    };
    let load = stats.load_permille(target.slots, now);
    let age_ms = now.since(stats.first_seen);
    if age_ms >= conf.slow_start_ms || stats.first_seen == TimeMs(0) {
        return load;
    }
    let surcharge = (conf.slow_start_ms - age_ms) * 1_000 / conf.slow_start_ms;
    load + load * surcharge / 1_000 + surcharge / 4
}
