//! Target selection with a split of the service's calls over failure domains.

mod fake_targets;

use std::sync::Arc;

use fake_targets::pick_context;
use fake_targets::target;
use sassafrasgap::core::FastMap;
use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::TargetState;
use sassafrasgap::core::TimeMs;
use sassafrasgap::placement::DomainShare;
use sassafrasgap::placement::DomainSplit;
use sassafrasgap::placement::PlacementConf;
use sassafrasgap::placement::ServicePlacement;
use sassafrasgap::routing::Pick;
use sassafrasgap::routing::PickContext;
use sassafrasgap::routing::PickerConf;
use sassafrasgap::routing::PlacementReason;
use sassafrasgap::routing::SpillPolicy;
use sassafrasgap::routing::TargetStats;
use sassafrasgap::routing::pick;
use sassafrasgap::routing::place;
use sassafrasgap::wire::LoadReport;

const NOW: TimeMs = TimeMs(60_000);
const CALLS: usize = 10_000;

fn conf() -> PickerConf {
    PickerConf {
        spill: SpillPolicy::ByWait {
            wait_ms: 25,
            large_wait_ms: 100,
        },
        by_completion_time: true,
        ..PickerConf::default()
    }
}

/// Two targets in each of the domains `a`, `b` and `c`.
fn targets() -> Vec<Arc<Target>> {
    let names = ["a1", "a2", "b1", "b2", "c1", "c2"];
    let targets = names.iter().map(|name| target(name, &name[..1]));
    targets.map(Arc::new).collect()
}

fn placement(shares: &[(&str, u16)]) -> ServicePlacement {
    let sent: u16 = shares.iter().map(|(_, permille)| permille).sum();
    let shares = shares.iter().map(|&(domain, permille)| DomainShare {
        domain: Name::from(domain),
        permille,
    });
    let split = DomainSplit {
        kept_permille: 1_000 - sent,
        shares: shares.collect(),
    };
    ServicePlacement::new(NOW, split, Vec::new(), PlacementConf::default())
}

/// The share of calls in thousandths by domain and reason, of 10,000 calls.
fn placed(context: &PickContext<'_>) -> FastMap<(String, PlacementReason), usize> {
    let mut random = fastrand::Rng::with_seed(7);
    let mut placed = FastMap::default();
    for _ in 0..CALLS {
        if let (Pick::Take(target), Some(reason)) =
            place(context, &conf(), NOW, |n| random.usize(..n))
        {
            *placed
                .entry((target.domain.to_string(), reason))
                .or_default() += 1;
        }
    }
    placed
        .values_mut()
        .for_each(|count| *count /= CALLS / 1_000);
    placed
}

fn share(
    placed: &FastMap<(String, PlacementReason), usize>,
    domain: &str,
    reason: PlacementReason,
) -> usize {
    let key = (domain.to_owned(), reason);
    placed.get(&key).copied().unwrap_or(0)
}

/// Guards against first attempts that do not follow the split.
#[test]
fn first_attempts_are_drawn_by_the_split() {
    let (targets, stats) = (targets(), FastMap::default());
    let placement = placement(&[("b", 300), ("c", 100)]);
    let context = PickContext {
        placement: Some(&placement),
        ..pick_context(&targets, &stats)
    };
    let placed = placed(&context);
    let kept = share(&placed, "a", PlacementReason::Kept);
    let to_b = share(&placed, "b", PlacementReason::Balanced);
    let to_c = share(&placed, "c", PlacementReason::Balanced);
    assert!(kept.abs_diff(600) < 20, "{placed:?}");
    assert!(to_b.abs_diff(300) < 20, "{placed:?}");
    assert!(to_c.abs_diff(100) < 20, "{placed:?}");
}

/// Guards against a change of placement where no split sends calls away: the same draws give the
/// same targets as without a placement, and a further attempt ignores the split.
#[test]
fn without_a_sending_split_calls_are_placed_as_before() {
    let (targets, stats) = (targets(), FastMap::default());
    let tried = [Name::from("a1")];
    let all_kept = placement(&[]);
    let sending = placement(&[("b", 900)]);
    let cut_off = [Name::from("b")];
    let base = || pick_context(&targets, &stats);
    let pairs = [
        (
            base(),
            PickContext {
                placement: Some(&all_kept),
                ..base()
            },
        ),
        (
            PickContext {
                tried: &tried,
                ..base()
            },
            PickContext {
                tried: &tried,
                placement: Some(&sending),
                ..base()
            },
        ),
        (
            PickContext {
                cut_off_domains: &cut_off,
                ..base()
            },
            PickContext {
                cut_off_domains: &cut_off,
                placement: Some(&sending),
                ..base()
            },
        ),
    ];
    for (before, with_placement) in &pairs {
        let mut one = fastrand::Rng::with_seed(11);
        let mut two = fastrand::Rng::with_seed(11);
        for _ in 0..1_000 {
            let expected = pick(before, &conf(), NOW, |n| one.usize(..n));
            let found = pick(with_placement, &conf(), NOW, |n| two.usize(..n));
            assert_eq!(found, expected);
        }
    }
}

/// A domain is cut off while half of the calls leave, most of them to that domain. Guards against
/// calls sent into it, and against its whole share going to one domain.
#[test]
fn the_share_of_a_domain_that_is_cut_off_is_spread() {
    let (targets, stats) = (targets(), FastMap::default());
    let placement = placement(&[("b", 300), ("c", 200)]);
    let cut_off = [Name::from("b")];
    let context = PickContext {
        placement: Some(&placement),
        cut_off_domains: &cut_off,
        ..pick_context(&targets, &stats)
    };
    let placed = placed(&context);
    let kept = share(&placed, "a", PlacementReason::Kept);
    let to_c = share(&placed, "c", PlacementReason::Balanced);
    assert!(kept.abs_diff(714) < 20, "{placed:?}");
    assert!(to_c.abs_diff(286) < 20, "{placed:?}");
}

/// The drawn domain's targets are draining. Guards against calls that get no target although others
/// accept calls.
#[test]
fn a_call_to_a_domain_without_an_available_target_is_placed_as_before() {
    let mut targets = targets();
    for target in &mut targets {
        if &*target.domain == "b" {
            Arc::make_mut(target).state = TargetState::Draining;
        }
    }
    let stats = FastMap::default();
    let placement = placement(&[("b", 500)]);
    let context = PickContext {
        placement: Some(&placement),
        ..pick_context(&targets, &stats)
    };
    let placed = placed(&context);
    assert_eq!(
        share(&placed, "a", PlacementReason::Kept),
        1_000,
        "{placed:?}"
    );
}

/// A target that fails half of its calls gets no share of other domains, as it gets none of its own
/// while others have room.
#[test]
fn a_failing_target_gets_no_calls_of_other_domains() {
    let targets = targets();
    let mut stats = FastMap::default();
    for target in &targets {
        let mut known = TargetStats::new(TimeMs(0));
        if &*target.domain == "b" {
            known.record_failing(550, NOW);
        }
        stats.insert(target.node.clone(), known);
    }
    let placement = placement(&[("b", 500)]);
    let context = PickContext {
        placement: Some(&placement),
        ..pick_context(&targets, &stats)
    };
    let placed = placed(&context);
    assert_eq!(
        share(&placed, "b", PlacementReason::Balanced),
        0,
        "{placed:?}"
    );
}

/// The targets of the other domains are ejected, and they are so many that ejection is ignored.
/// Guards against a split that sends calls to them although the own domain's targets work.
#[test]
fn an_ejected_target_gets_no_calls_of_other_domains() {
    let targets = targets();
    let mut stats = FastMap::default();
    for target in targets.iter().filter(|target| &*target.domain != "a") {
        let mut known = TargetStats::new(TimeMs(0));
        known.record_failure(NOW);
        while !known.is_ejected(NOW) {
            known.record_failure(NOW);
        }
        stats.insert(target.node.clone(), known);
    }
    let placement = placement(&[("b", 500), ("c", 300)]);
    let context = PickContext {
        placement: Some(&placement),
        ..pick_context(&targets, &stats)
    };
    let placed = placed(&context);
    assert_eq!(
        share(&placed, "a", PlacementReason::Kept),
        1_000,
        "{placed:?}"
    );
}

/// Guards against reasons that mislead the operator: a domain without a target is told apart from
/// one whose targets make calls wait.
#[test]
fn the_reason_says_why_a_call_left_its_domain() {
    let all = targets();
    let remote: Vec<_> = all.iter().filter(|t| &*t.domain != "a").cloned().collect();
    let stats = FastMap::default();
    let without_local = placed(&pick_context(&remote, &stats));
    assert!(
        without_local
            .keys()
            .all(|(_, reason)| *reason == PlacementReason::NoLocalTarget),
        "{without_local:?}"
    );
    let mut stats = FastMap::default();
    for target in all.iter().filter(|target| &*target.domain == "a") {
        let mut known = TargetStats::new(TimeMs(0));
        known.record_success(100);
        let full = LoadReport {
            in_flight: 10,
            queued: 10,
            limit: 10,
        };
        known.record_report(full, NOW);
        stats.insert(target.node.clone(), known);
    }
    let waiting = placed(&pick_context(&all, &stats));
    assert!(
        waiting
            .keys()
            .all(|(domain, reason)| domain != "a" && *reason == PlacementReason::Waited),
        "{waiting:?}"
    );
}
