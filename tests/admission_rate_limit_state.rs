//! When a rate that a backend server names begins, changes and ends.

use rstest::rstest;
use sassafrasgap::admission::RateLimitState;
use sassafrasgap::admission::RateChange;
use sassafrasgap::admission::AdvertisedRate;
use sassafrasgap::core::TimeMs;

const NAMED_AT: TimeMs = TimeMs(10_000);

fn named(per_s: f64) -> RateLimitState {
    let mut rate = RateLimitState::default();
    rate.note(NAMED_AT, NAMED_AT - 50, AdvertisedRate::PerSecond(per_s));
    rate
}

/// Guards against one answer that was under way before the rate was named and opens the limit again.
#[test]
fn answers_to_earlier_requests_end_nothing() {
    let mut rate = named(4.0);
    for late_ms in 1..100 {
        let change = rate.note(NAMED_AT + late_ms, NAMED_AT - 1, AdvertisedRate::Absent);
        assert_eq!(change, RateChange::Unchanged);
    }
    assert_eq!(rate.per_s(), Some(4.0));
}

/// Guards against a limit that stays for ever, and one that a single stray answer ends.
#[test]
fn the_third_answer_without_it_ends_a_rate() {
    let mut rate = named(4.0);
    let answer_ms = |order: u64| (NAMED_AT + 100 * order, NAMED_AT + 100 * order - 50);
    for order in 1..3 {
        let (now, sent_at) = answer_ms(order);
        assert_eq!(
            rate.note(now, sent_at, AdvertisedRate::Absent),
            RateChange::Unchanged
        );
    }
    let (now, sent_at) = answer_ms(3);
    let change = rate.note(now, sent_at, AdvertisedRate::Absent);
    assert_eq!(change, RateChange::Ends { held_ms: 300 });
    assert_eq!(rate.per_s(), None);
}

/// Guards against a word that is missing now and then and ends the limit all the same.
#[test]
fn an_answer_with_it_begins_the_count_anew() {
    let mut rate = named(4.0);
    for order in 1..50 {
        let now = NAMED_AT + 100 * order;
        let word = if order % 3 == 0 {
            AdvertisedRate::PerSecond(4.0)
        } else {
            AdvertisedRate::Absent
        };
        assert_eq!(rate.note(now, now - 50, word), RateChange::Unchanged);
    }
}

/// Guards against a value that cannot be told and ends, begins or changes a limit.
#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(f64::NEG_INFINITY)]
#[case(-0.5)]
fn a_malformed_word_changes_nothing(#[case] value: f64) {
    let word = AdvertisedRate::of(value);
    assert_eq!(word, AdvertisedRate::Malformed);
    let mut rate = named(4.0);
    assert_eq!(
        rate.note(NAMED_AT + 10, NAMED_AT, word),
        RateChange::Unchanged
    );
    assert_eq!(rate.per_s(), Some(4.0));
    let mut none = RateLimitState::default();
    assert_eq!(none.note(NAMED_AT, NAMED_AT, word), RateChange::Unchanged);
    assert_eq!(none.per_s(), None);
}

#[test]
fn another_rate_is_in_force_at_once() {
    let mut rate = named(4.0);
    let change = rate.note(NAMED_AT + 1, NAMED_AT - 40, AdvertisedRate::PerSecond(2.5));
    assert_eq!(change, RateChange::Changes { per_s: 2.5 });
    assert_eq!(rate.per_s(), Some(2.5));
}
