//! What entries and guards learn about levels from answers.

use rstest::rstest;
use sassafrasgap::admission::Dependencies;
use sassafrasgap::admission::Levels;
use sassafrasgap::admission::route_of;
use sassafrasgap::core::Name;
use sassafrasgap::core::Priority;
use sassafrasgap::core::TimeMs;

const NOW: TimeMs = TimeMs(10_000);

// A class with a route of its own is shed entirely, so no answer renews the level of its route.
// Guards against a level that expires although the service is still overloaded: a wave of the shed
// class would fill the queue twice a second.
#[test]
fn a_fully_shed_route_stays_shed_while_its_service_is_reported() {
    let service = Name::from("deep");
    let level = Priority::new(1, 0);
    let shed = Priority::new(3, 7);
    let mut levels = Levels::default();
    levels.record(NOW, &service, "lookups", level);
    let mut passed = 0;
    for at_ms in (0..5_000).step_by(10) {
        let now = NOW + at_ms;
        levels.record(now, &service, "jobs", level);
        passed += u32::from(levels.may_pass(now, &service, "lookups", shed));
    }
    assert!((1..=5).contains(&passed), "{passed} calls passed as probes");
    levels.record(NOW + 5_000, &service, "jobs", Priority::LOWEST);
    assert!(levels.may_pass(NOW + 5_001, &service, "lookups", shed));
}

#[test]
fn a_level_expires_unless_renewed() {
    let service = Name::from("deep");
    let mut levels = Levels::default();
    levels.record(NOW, &service, "jobs", Priority::new(0, 9));
    assert!(!levels.may_pass(NOW + 400, &service, "jobs", Priority::new(2, 0)));
    assert!(levels.may_pass(NOW + 600, &service, "jobs", Priority::new(2, 0)));
}

#[test]
fn the_level_of_a_deep_service_is_passed_on_by_dependent_services() {
    let deep = Name::from("deep");
    let level = Priority::new(1, 5);
    let mut levels = Levels::default();
    let mut dependencies = Dependencies::default();
    dependencies.record(NOW, "menus", &deep, "stock");
    levels.record(NOW, &deep, "stock", level);
    let own = Priority::LOWEST;
    assert_eq!(dependencies.level(NOW, "menus", own, &levels), level);
    assert_eq!(dependencies.level(NOW, "static", own, &levels), own);
}

#[rstest]
#[case("/jobs/7?x=1", "jobs")]
#[case("/jobs?x=1", "jobs")]
#[case("/", "")]
fn a_route_is_the_first_segment(#[case] path: &str, #[case] route: &str) {
    assert_eq!(route_of(path), route);
}
