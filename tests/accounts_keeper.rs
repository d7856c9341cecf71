//! What one keeper makes of reports that come late, twice or not at all.

use rstest::rstest;
use sassafrasgap::accounts::AccountId;
use sassafrasgap::accounts::Allowance;
use sassafrasgap::accounts::AllowanceKeeper;
use sassafrasgap::accounts::Count;
use sassafrasgap::accounts::Fleet;
use sassafrasgap::accounts::Report;
use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;

const ACCOUNT: AccountId = AccountId(7);

fn keeper() -> AllowanceKeeper {
    let allowance = Allowance {
        rate_per_s: 100.0,
        burst: 100.0,
    };
    let mut keeper = AllowanceKeeper::new(true, TimeMs(0));
    keeper.set_allowances([(ACCOUNT, allowance)].into_iter().collect());
    let fleet = Fleet {
        own: vec![Name::from("n1")],
        others: Vec::new(),
    };
    keeper.set_fleet(TimeMs(0), fleet);
    keeper
}

/// The part that is let in after a report of so many requests.
fn told(keeper: &mut AllowanceKeeper, at_ms: u64, process: u32, wanted: u32) -> u16 {
    let report = Report {
        process,
        wants_word: true,
        counts: vec![Count {
            account: ACCOUNT,
            wanted,
            used: wanted as i32,
        }],
    };
    let node = Name::from("n1");
    let word = keeper.take_report(TimeMs(at_ms), &node, &report).unwrap();
    word.limited.first().map_or(1_000, |part| part.permille)
}

/// A report is overtaken by the next one on its way. Taken for a count that went on, it would look like
/// billions of requests, and the account would be shut out for minutes.
#[rstest]
fn a_report_that_was_overtaken_changes_nothing() {
    let mut keeper = keeper();
    for (order, wanted) in [5, 20, 15, 30, 45].into_iter().enumerate() {
        let at_ms = 300 * (order as u64 + 1);
        assert_eq!(told(&mut keeper, at_ms, 1, wanted), 1_000, "{wanted}");
    }
}

/// A report comes twice; its requests count once.
#[rstest]
fn a_report_that_comes_twice_counts_once() {
    let mut keeper = keeper();
    for order in 0..40 {
        assert_eq!(told(&mut keeper, 300 + order, 1, 8), 1_000);
    }
}

/// A node's process begins anew and counts from nothing again, less than before.
#[rstest]
fn a_new_process_counts_anew() {
    let mut keeper = keeper();
    assert_eq!(told(&mut keeper, 300, 1, 8), 1_000);
    assert_eq!(told(&mut keeper, 600, 1, 60), 1_000);
    assert_eq!(told(&mut keeper, 5_000, 2, 3), 1_000);
    assert_eq!(told(&mut keeper, 5_300, 2, 20), 1_000);
}

/// An account asks for far more than its allowance. Its part falls, and rises again when it has calmed down.
#[rstest]
fn a_part_falls_and_rises() {
    let mut keeper = keeper();
    let mut wanted = 0;
    let mut part = 1_000;
    for step in 1..30 {
        wanted += 150;
        part = told(&mut keeper, step * 300, 1, wanted);
    }
    assert!(part < 400, "{part}");
    for step in 30..60 {
        wanted += 15;
        part = told(&mut keeper, step * 300, 1, wanted);
    }
    assert_eq!(part, 1_000);
}
