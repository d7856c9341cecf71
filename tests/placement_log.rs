//! Which splits are logged, and which series the metrics have.

use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;
use sassafrasgap::metrics::Metrics;
use sassafrasgap::placement::DomainLoad;
use sassafrasgap::placement::DomainShare;
use sassafrasgap::placement::DomainSplit;
use sassafrasgap::placement::SplitLog;
use sassafrasgap::routing::PlacementReason;

fn to(domain: &str, permille: u16) -> DomainSplit {
    DomainSplit {
        kept_permille: 1_000 - permille,
        shares: vec![DomainShare {
            domain: Name::from(domain),
            permille,
        }],
    }
}

/// Guards against a log that is filled by small changes, or by a split that changes with each
/// reply.
#[test]
fn a_split_is_logged_after_a_large_change_and_once_a_second() {
    let mut log = SplitLog::default();
    let service = Name::from("s");
    let mut is_due = |at_ms, split: &DomainSplit| log.is_due(TimeMs(at_ms), &service, split);
    assert!(!is_due(0, &DomainSplit::all_kept()));
    assert!(!is_due(100, &to("b", 99)));
    assert!(is_due(200, &to("b", 100)));
    assert!(!is_due(1_199, &to("b", 400)));
    assert!(is_due(1_200, &to("b", 400)));
    assert!(is_due(2_200, &to("c", 400)), "the receiving domain changed");
    assert!(!is_due(9_000, &to("c", 450)));
    assert!(is_due(9_000, &DomainSplit::all_kept()));
}

/// The log line names all shares.
#[test]
fn a_split_is_written_with_its_shares() {
    assert_eq!(to("b", 300).to_string(), "kept_permille=700 shares=b:300");
    assert_eq!(
        DomainSplit::all_kept().to_string(),
        "kept_permille=1000 shares="
    );
}

/// Guards against series without bound: domains beyond the first 32 share one label.
#[test]
fn further_domains_share_one_label() {
    let metrics = Metrics::new();
    let domains: Vec<Name> = (0..40)
        .map(|index| Name::from(format!("d{index}")))
        .collect();
    let count_all = || {
        for domain in &domains {
            metrics
                .placement
                .count_call(domain, PlacementReason::Balanced);
        }
    };
    count_all();
    count_all();
    let calls = |domain| metrics.placement.calls(domain, PlacementReason::Balanced);
    assert_eq!((calls("d0"), calls("d31"), calls("(others)")), (2, 2, 16));
    let loads: Vec<DomainLoad> = domains
        .iter()
        .map(|domain| DomainLoad {
            domain: domain.clone(),
            demand_per_s: 95.0,
            capacity_per_s: 100.0,
            slots: 10,
            pressure_permille: 0,
        })
        .collect();
    metrics.placement.set_loads([("s", &*loads)].into_iter());
    let text = String::from_utf8(metrics.render()).expect("the metrics are text");
    let series = text
        .lines()
        .filter(|line| line.starts_with("sassafrasgap_domain_load_permille{"));
    assert_eq!(series.count(), 32);
    assert!(text.contains("{domain=\"d0\",service=\"s\"} 950"), "{text}");
}
