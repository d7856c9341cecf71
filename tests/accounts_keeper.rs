//! What one keeper makes of reports that come late, twice or not at all.

use rstest::rstest;
use sassafrasgap::accounts::AccountId;
use sassafrasgap::accounts::Allowance;
use sassafrasgap::accounts::AllowanceBound;
use sassafrasgap::accounts::AllowanceCoordinator;
use sassafrasgap::accounts::EntryAllowances;
use sassafrasgap::accounts::Fleet;
use sassafrasgap::accounts::UsageCount;
use sassafrasgap::accounts::UsageReport;
use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;

const ACCOUNT: AccountId = AccountId(7);

fn keeper() -> AllowanceCoordinator {
    let allowance = Allowance {
        rate_per_s: 100.0,
        burst: 100.0,
    };
    let mut keeper = AllowanceCoordinator::new(true, TimeMs(0));
    keeper.set_allowances([(ACCOUNT, allowance)].into_iter().collect());
    let fleet = Fleet {
        own: vec![Name::from("n1")],
        others: Vec::new(),
    };
    keeper.set_fleet(TimeMs(0), fleet);
    keeper
}

/// The part that is let in after the next report of a process, of so many requests.
fn told(keeper: &mut AllowanceCoordinator, at_ms: u64, process: u32, wanted: u32) -> u16 {
    told_as(keeper, at_ms, (process, at_ms as u32), wanted)
}

/// The same after the report of a process with this number.
fn told_as(
    keeper: &mut AllowanceCoordinator,
    at_ms: u64,
    (process, sequence): (u32, u32),
    wanted: u32,
) -> u16 {
    let report = UsageReport {
        process,
        sequence,
        wants_reply: true,
        counts: vec![UsageCount {
            account: ACCOUNT,
            wanted,
            used: wanted as i32,
        }],
    };
    let node = Name::from("n1");
    let word = keeper.apply_report(TimeMs(at_ms), &node, &report).unwrap();
    word.limited.first().map_or(1_000, |part| part.permille)
}

/// A report is overtaken by the next one on its way. Taken for a count that went on, it would look like
/// billions of requests, and the account would be shut out for minutes.
#[rstest]
fn a_report_that_was_overtaken_changes_nothing() {
    let mut keeper = keeper();
    let reports = [(1, 5), (3, 20), (2, 15), (4, 30), (5, 45)];
    for (order, (sequence, wanted)) in reports.into_iter().enumerate() {
        let at_ms = 300 * (order as u64 + 1);
        let part = told_as(&mut keeper, at_ms, (1, sequence), wanted);
        assert_eq!(part, 1_000, "{wanted}");
    }
}

/// Guards against an account that its entry forgot, among thousands, and counts from nothing again: its requests
/// counted only once they were more than before.
#[rstest]
fn an_account_that_its_entry_forgot_counts_anew() {
    let mut keeper = keeper();
    let now = |ms| TimeMs(1_000 + ms);
    let node = Name::from("n1");
    let bound = AllowanceBound {
        window_ms: 5_000,
        overage: 0.1,
        slack: 20.0,
    };
    let mut entry = EntryAllowances::new(bound, true, 1, now(0));
    let ask = |entry: &mut EntryAllowances, ms: u64, account: AccountId| {
        let allowance = Allowance {
            rate_per_s: 100.0,
            burst: 100.0,
        };
        // Whether it is let in does not matter: it is counted.
        let _ = entry.admit(now(ms), account, allowance, 1, 0.5);
    };
    for step in 0..300 {
        (0..6).for_each(|_| ask(&mut entry, step * 100, ACCOUNT));
        if let Some(report) = entry.report(now(step * 100)) {
            drop(keeper.apply_report(now(step * 100), &node, &report));
        }
    }
    for other in 0..5_000 {
        ask(&mut entry, 40_000 + other, AccountId(1_000 + other as u32));
    }
    let mut word = None;
    for step in 0..20 {
        let ms = 60_000 + step * 100;
        (0..40).for_each(|_| ask(&mut entry, ms, ACCOUNT));
        if let Some(report) = entry.report(now(ms)) {
            word = keeper.apply_report(now(ms), &node, &report);
        }
    }
    let limited = word.unwrap().limited;
    let part = limited.first().map_or(1_000, |part| part.permille);
    assert!(part < 500, "{part} of four times the allowance");
}

/// A report comes twice; its requests count once.
#[rstest]
fn a_report_that_comes_twice_counts_once() {
    let mut keeper = keeper();
    for order in 0..40 {
        assert_eq!(told_as(&mut keeper, 300 + order, (1, 1), 8), 1_000);
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
