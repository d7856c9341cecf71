//! Calls of backend servers and requests of callers reach a node over the same listener. Taken for
//! callers' requests, deep calls would be refused after work was done for them; taken for deep
//! calls, callers' requests would be let in without bound.

use rstest::rstest;
use sassafrasgap::admission::CallingService;
use sassafrasgap::admission::CallingServices;
use sassafrasgap::admission::ObservedCall;
use sassafrasgap::admission::OriginsByDomain;
use sassafrasgap::admission::RouteOrigins;
use sassafrasgap::core::Name;
use sassafrasgap::core::RouteOrigin;

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
    let whole = |(name, share): &(Name, f32)| CallingService {
        service: name.clone(),
        share: *share,
        all_serving: true,
    };
    let services: Vec<CallingService> = shares.iter().map(whole).collect();
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
        verdict = origins.note(&route, &shares[place].0, None, &services);
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

/// The same services, with all their nodes up.
fn whole_services() -> Vec<CallingService> {
    let whole = |(service, share)| CallingService {
        service,
        share,
        all_serving: true,
    };
    shares().into_iter().map(whole).collect()
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

/// One service's only node in the domain restarts, and no caller of it is heard. Its silence proves
/// nothing: the route stays what it was before, or unknown.
#[rstest]
fn the_silence_of_a_missing_node_proves_nothing() {
    let mut origins = RouteOrigins::default();
    let route = Name::from("r");
    let services = |leaf_is_whole: bool| {
        let named = |(name, share): (Name, f32)| CallingService {
            all_serving: leaf_is_whole || &*name != "leaf",
            service: name,
            share,
        };
        shares().into_iter().map(named).collect::<Vec<_>>()
    };
    let heard = ["front", "front", "front", "middle", "middle", "back"];
    for _ in 0..100 {
        for service in heard {
            let verdict = origins.note(&route, &Name::from(service), None, &services(false));
            assert_eq!(verdict, None);
        }
    }
    origins.note(&route, &Name::from("leaf"), None, &services(true));
    for service in heard.iter().cycle().take(40) {
        origins.note(&route, &Name::from(*service), None, &services(true));
    }
    assert_eq!(origins.of(&route), Some(RouteOrigin::Callers));
}

/// In an overload some entries refuse nearly all requests of a route, and a guard that has just
/// started does not hear from them. Its senders know whose the route is, and that holds.
#[rstest]
#[case(RouteOrigin::Callers)]
#[case(RouteOrigin::Backends)]
fn what_is_known_is_not_given_up_lightly(#[case] known: RouteOrigin) {
    let services = whole_services();
    let mut origins = RouteOrigins::default();
    let route = Name::from("r");
    let heard = match known {
        RouteOrigin::Callers => vec!["front", "middle"],
        RouteOrigin::Backends => vec!["front", "middle", "back", "leaf"],
    };
    for service in heard.iter().cycle().take(190) {
        let verdict = origins.note(&route, &Name::from(*service), Some(known), &services);
        assert_eq!(verdict, Some(known));
    }
    for service in heard.iter().cycle().take(8_000) {
        origins.note(&route, &Name::from(*service), Some(known), &services);
    }
    assert_ne!(origins.of(&route), Some(known));
}

/// The only target of a deep service that is left stands in a domain without a node of the service that
/// calls it. All calls come from other domains, and its guard, which counted those of its own only,
/// never learnt whose they are: callers' requests were not refused for its sake, and failed at depth.
/// Where calls come from the own domain as well, those alone are judged by: in other domains the
/// callers of a service may be gone.
#[rstest]
#[case::from_afar(0, Some(RouteOrigin::Backends))]
#[case::hardly_any_near(20, Some(RouteOrigin::Backends))]
#[case::near_as_well(4, Some(RouteOrigin::Callers))]
fn calls_from_afar_tell_where_none_come_from_near(
    #[case] near_every: usize,
    #[case] expected: Option<RouteOrigin>,
) {
    let services = whole_services();
    let own_domain = &services[..2];
    let mut origins = OriginsByDomain::default();
    let route = Name::from("r");
    let mut verdict = None;
    for step in 0..2_000 {
        let same_domain = near_every > 0 && step % near_every == 0;
        // From afar only one service calls; near, callers beside both services do.
        let place = if same_domain { step / near_every % 2 } else { 1 };
        let call = ObservedCall {
            route: &route,
            caller_service: &services[place].service,
            same_domain,
            reported_origin: None,
        };
        let all = &services;
        verdict = origins.note(call, CallingServices { own_domain, all });
    }
    assert_eq!(verdict, expected);
}
