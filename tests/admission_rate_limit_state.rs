//! When the rate limit that a backend server advertises begins, changes and ends.

use rstest::rstest;
use sassafrasgap::admission::AdvertisedRate;
use sassafrasgap::admission::RateChange;
use sassafrasgap::admission::RateLimitState;
use sassafrasgap::core::TimeMs;

const ADVERTISED_AT: TimeMs = TimeMs(10_000);

fn advertised(per_s: f64) -> RateLimitState {
    let mut rate = RateLimitState::default();
    rate.record(
        ADVERTISED_AT,
        ADVERTISED_AT - 50,
        AdvertisedRate::PerSecond(per_s),
    );
    rate
}

/// Guards against an answer that was under way before the rate was advertised and lifts the limit.
#[test]
fn answers_to_earlier_requests_do_not_end_the_limit() {
    let mut rate = advertised(4.0);
    for late_ms in 1..100 {
        let change = rate.record(
            ADVERTISED_AT + late_ms,
            ADVERTISED_AT - 1,
            AdvertisedRate::Absent,
        );
        assert_eq!(change, RateChange::Unchanged);
    }
    assert_eq!(rate.per_s(), Some(4.0));
}

/// Guards against a limit that never ends, and one that a single stray answer ends.
#[test]
fn the_third_answer_without_a_rate_ends_the_limit() {
    let mut rate = advertised(4.0);
    let answer_ms = |order: u64| {
        (
            ADVERTISED_AT + 100 * order,
            ADVERTISED_AT + 100 * order - 50,
        )
    };
    for order in 1..3 {
        let (now, sent_at) = answer_ms(order);
        assert_eq!(
            rate.record(now, sent_at, AdvertisedRate::Absent),
            RateChange::Unchanged
        );
    }
    let (now, sent_at) = answer_ms(3);
    let change = rate.record(now, sent_at, AdvertisedRate::Absent);
    assert_eq!(change, RateChange::Ends { held_ms: 300 });
    assert_eq!(rate.per_s(), None);
}

/// Guards against a rate that is missing from some answers and thereby ends the limit.
#[test]
fn an_answer_with_a_rate_restarts_the_count() {
    let mut rate = advertised(4.0);
    for order in 1..50 {
        let now = ADVERTISED_AT + 100 * order;
        let advertisement = if order % 3 == 0 {
            AdvertisedRate::PerSecond(4.0)
        } else {
            AdvertisedRate::Absent
        };
        assert_eq!(
            rate.record(now, now - 50, advertisement),
            RateChange::Unchanged
        );
    }
}

/// Guards against a value that cannot be read and ends, begins or changes a limit.
#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(f64::NEG_INFINITY)]
#[case(-0.5)]
fn a_malformed_rate_changes_nothing(#[case] value: f64) {
    let advertisement = AdvertisedRate::of(value);
    assert_eq!(advertisement, AdvertisedRate::Malformed);
    let mut rate = advertised(4.0);
    assert_eq!(
        rate.record(ADVERTISED_AT + 10, ADVERTISED_AT, advertisement),
        RateChange::Unchanged
    );
    assert_eq!(rate.per_s(), Some(4.0));
    let mut none = RateLimitState::default();
    assert_eq!(
        none.record(ADVERTISED_AT, ADVERTISED_AT, advertisement),
        RateChange::Unchanged
    );
    assert_eq!(none.per_s(), None);
}

#[test]
fn a_changed_rate_is_in_force_at_once() {
    let mut rate = advertised(4.0);
    let change = rate.record(
        ADVERTISED_AT + 1,
        ADVERTISED_AT - 40,
        AdvertisedRate::PerSecond(2.5),
    );
    assert_eq!(change, RateChange::Changes { per_s: 2.5 });
    assert_eq!(rate.per_s(), Some(2.5));
}
