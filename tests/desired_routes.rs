//! Routes by host and longest prefix, and the exact distribution among weighted services.

use rstest::rstest;
use sassafrasgap::core::Name;
use sassafrasgap::desired::ClientLimits;
use sassafrasgap::desired::DesiredState;
use sassafrasgap::desired::Repeatability;
use sassafrasgap::desired::Route;
use sassafrasgap::desired::RouteTable;
use sassafrasgap::desired::Split;
use sassafrasgap::desired::WeightedService;

fn weighted(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: Name::from(service),
        weight,
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: Name::from(name),
        host: Name::from(host),
        prefix: Name::from(prefix),
        repeatability: Repeatability::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        rank: 0,
        max_attempts: 2,
        is_public: false,
        destinations: vec![weighted("s", 1)],
    }
}

#[rstest]
#[case("one.example", "/a/b", Some("short"))]
#[case("one.example", "/a/b/", Some("long"))]
#[case("one.example", "/a/b/c/d", Some("long"))]
#[case("ONE.example:8300", "/a/b/c", Some("long"))]
#[case("one.example", "/ab/", None)]
#[case("one.example", "/a", None)]
#[case("one.example", "a/b/", None)]
#[case("two.example", "/x", Some("root"))]
#[case("three.example", "/a/b/", None)]
fn the_longest_prefix_of_the_host_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] found: Option<&str>,
) {
    let state = DesiredState {
        version: 1,
        routes: vec![
            route("short", "one.example", "/a/"),
            route("long", "one.example", "/a/b/"),
            route("root", "two.example", "/"),
        ],
        services: Vec::new(),
        limits: ClientLimits::default(),
        accounts: None,
    };
    let table = RouteTable::new(&state);
    let name = table.find(host, path).map(|found| found.route.name.clone());
    assert_eq!(name.as_deref(), found);
}

/// Over any number of requests, the counts are within one request of the weighted shares.
#[rstest]
#[case(&[90, 10])]
#[case(&[1, 1, 1])]
#[case(&[7, 0, 3])]
#[case(&[5])]
fn shares_are_exact(#[case] weights: &[u32]) {
    let services = ["s0", "s1", "s2"];
    let destinations: Vec<WeightedService> = weights
        .iter()
        .zip(services)
        .map(|(weight, service)| weighted(service, *weight))
        .collect();
    let total: u32 = weights.iter().sum();
    let split = Split::new(destinations);
    let mut counts = [0_u32; 3];
    for sent in 1..=500_u32 {
        let service = split.next_service();
        let place = services.iter().position(|each| **each == *service).unwrap();
        counts[place] += 1;
        for (count, weight) in counts.iter().zip(weights) {
            let exact = f64::from(sent) * f64::from(*weight) / f64::from(total);
            assert!(
                (f64::from(*count) - exact).abs() <= 1.0,
                "{counts:?} of {sent}"
            );
        }
    }
}
