//! Calls of backend servers and requests of callers reach a node over the same listener. Taken for
//! callers' requests, deep calls would be refused after work was done for them; taken for deep
//! calls, callers' requests would be let in without bound.

use rstest::rstest;
use sassafrasgap::admission::RouteOrigin;
use sassafrasgap::admission::RouteOrigins;
use sassafrasgap::core::Name;

/// Draws the service beside which a call begins, by the share of nodes.
fn learn(
    shares: &[(Name, f32)],
    callers: &[usize],
    calls: usize,
    seed: u64,
) -> Option<RouteOrigin> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut origins = RouteOrigins::default();
    let route = Name::from("r");
    let total: f32 = callers.iter().map(|place| shares[*place].1).sum();
    let mut verdict = None;
    for _ in 0..calls {
        let mut draw = random.f32() * total;
        let mut place = callers[0];
        for each in callers {
            place = *each;
            draw -= shares[*each].1;
            if draw <= 0.0 {
                break;
            }
        }
        verdict = origins.note(&route, &shares[place].0, || {
            shares.iter().map(|(name, share)| (name, *share)).collect()
        });
    }
    verdict
}

fn shares() -> Vec<(Name, f32)> {
    let named = |name: &str, share| (Name::from(name), share);
    vec![
        named("front", 0.5),
        named("middle", 0.3),
        named("back", 0.15),
        named("leaf", 0.05),
    ]
}

#[rstest]
fn callers_are_beside_every_service(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let verdict = learn(&shares(), &[0, 1, 2, 3], 400, seed);
    assert_eq!(verdict, Some(RouteOrigin::Callers));
}

#[rstest]
#[case(&[1])]
#[case(&[0, 1])]
#[case(&[0, 1, 2])]
fn backend_servers_call_from_some_services(
    #[case] callers: &[usize],
    #[values(1, 2, 3)] seed: u64,
) {
    let verdict = learn(&shares(), callers, 400, seed);
    assert_eq!(verdict, Some(RouteOrigin::Backends));
}

/// Before enough has come nothing is concluded, either way.
#[rstest]
fn little_proves_nothing(#[values(1, 2, 3)] seed: u64) {
    assert_eq!(learn(&shares(), &[0], 6, seed), None);
}
