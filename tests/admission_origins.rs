//! Calls of backend servers and requests of callers reach a node over the same listener. Deep calls
//! that are classified as callers' requests are refused after work has been done for them. Callers'
//! requests that are classified as deep calls are admitted without bound.

use rstest::rstest;
use sassafrasgap::admission::CallingService;
use sassafrasgap::admission::CallingServices;
use sassafrasgap::admission::ObservedCall;
use sassafrasgap::admission::OriginsByDomain;
use sassafrasgap::admission::RouteOrigins;
use sassafrasgap::core::Name;
use sassafrasgap::core::RouteOrigin;

/// The origin after `calls` calls. The service that sends each call is drawn from `callers`,
/// weighted by its share of the nodes.
fn learnt_origin(
    shares: &[(Name, f32)],
    callers: &[usize],
    calls: usize,
    seed: u64,
) -> Option<RouteOrigin> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut origins = RouteOrigins::default();
    let route = Name::from("r");
    let total: f32 = callers.iter().map(|index| shares[*index].1).sum();
    let to_service = |(name, share): &(Name, f32)| CallingService {
        service: name.clone(),
        share: *share,
        all_serving: true,
    };
    let services: Vec<CallingService> = shares.iter().map(to_service).collect();
    let mut verdict = None;
    for _ in 0..calls {
        let mut draw = random.f32() * total;
        let mut index = callers[0];
        for each in callers {
            index = *each;
            draw -= shares[*each].1;
            if draw <= 0.0 {
                break;
            }
        }
        verdict = origins.record(&route, &shares[index].0, None, &services);
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
fn all_serving_services() -> Vec<CallingService> {
    let to_service = |(service, share)| CallingService {
        service,
        share,
        all_serving: true,
    };
    shares().into_iter().map(to_service).collect()
}

#[rstest]
fn callers_are_beside_every_service(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let verdict = learnt_origin(&shares(), &[0, 1, 2, 3], 400, seed);
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
    let verdict = learnt_origin(&shares(), callers, 400, seed);
    assert_eq!(verdict, Some(RouteOrigin::Backends));
}

/// A few calls are not enough for a verdict, either way.
#[rstest]
fn few_calls_give_no_verdict(#[values(1, 2, 3)] seed: u64) {
    assert_eq!(learnt_origin(&shares(), &[0], 6, seed), None);
}

/// The only node of a service in the domain restarts, so no calls of its callers are seen. The
/// missing calls are no evidence: the route keeps its verdict, or stays unknown.
#[rstest]
fn a_missing_node_is_no_evidence() {
    let mut origins = RouteOrigins::default();
    let route = Name::from("r");
    let services = |leaf_is_serving: bool| {
        let named = |(name, share): (Name, f32)| CallingService {
            all_serving: leaf_is_serving || &*name != "leaf",
            service: name,
            share,
        };
        shares().into_iter().map(named).collect::<Vec<_>>()
    };
    let calling = ["front", "front", "front", "middle", "middle", "back"];
    for _ in 0..100 {
        for service in calling {
            let verdict = origins.record(&route, &Name::from(service), None, &services(false));
            assert_eq!(verdict, None);
        }
    }
    origins.record(&route, &Name::from("leaf"), None, &services(true));
    for service in calling.iter().cycle().take(40) {
        origins.record(&route, &Name::from(*service), None, &services(true));
    }
    assert_eq!(origins.of(&route), Some(RouteOrigin::Callers));
}

/// In an overload some entries refuse nearly all requests of a route, and a guard that has just
/// started does not see their calls. The origin that senders report has to hold.
#[rstest]
#[case(RouteOrigin::Callers)]
#[case(RouteOrigin::Backends)]
fn a_known_origin_takes_strong_evidence_to_change(#[case] known: RouteOrigin) {
    let services = all_serving_services();
    let mut origins = RouteOrigins::default();
    let route = Name::from("r");
    let calling = match known {
        RouteOrigin::Callers => vec!["front", "middle"],
        RouteOrigin::Backends => vec!["front", "middle", "back", "leaf"],
    };
    for service in calling.iter().cycle().take(190) {
        let verdict = origins.record(&route, &Name::from(*service), Some(known), &services);
        assert_eq!(verdict, Some(known));
    }
    for service in calling.iter().cycle().take(8_000) {
        origins.record(&route, &Name::from(*service), Some(known), &services);
    }
    assert_ne!(origins.of(&route), Some(known));
}

/// The only remaining target of a deep service is in a domain without a node of the service that
/// calls it, so all calls come from other domains. A guard that counted only the calls of its own
/// domain never learnt their origin: callers' requests were not refused on behalf of the service,
/// and failed deep in the chain. If calls come from the own domain as well, only those count,
/// because in other domains the callers of a service may be gone.
#[rstest]
#[case::remote_only(0, Some(RouteOrigin::Backends))]
#[case::hardly_any_local(20, Some(RouteOrigin::Backends))]
#[case::local_as_well(4, Some(RouteOrigin::Callers))]
fn remote_calls_count_where_no_local_calls_come(
    #[case] local_every: usize,
    #[case] expected: Option<RouteOrigin>,
) {
    let services = all_serving_services();
    let own_domain = &services[..2];
    let mut origins = OriginsByDomain::default();
    let route = Name::from("r");
    let mut verdict = None;
    for step in 0..2_000 {
        let same_domain = local_every > 0 && step % local_every == 0;
        // From other domains only one service calls. In the own domain, callers call through
        // nodes of both services.
        let index = if same_domain {
            step / local_every % 2
        } else {
            1
        };
        let call = ObservedCall {
            route: &route,
            caller_service: &services[index].service,
            same_domain,
            reported_origin: None,
        };
        let all = &services;
        verdict = origins.record(call, CallingServices { own_domain, all });
    }
    assert_eq!(verdict, expected);
}
