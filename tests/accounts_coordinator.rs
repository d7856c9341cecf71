//! How one coordinator handles reports that arrive late, twice or not at all.

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

fn coordinator() -> AllowanceCoordinator {
    let allowance = Allowance {
        rate_per_s: 100.0,
        burst: 100.0,
    };
    let mut coordinator = AllowanceCoordinator::new(true, TimeMs(0));
    coordinator.set_allowances([(ACCOUNT, allowance)].into_iter().collect());
    let fleet = Fleet {
        own: vec![Name::from("n1")],
        others: Vec::new(),
    };
    coordinator.set_fleet(TimeMs(0), fleet);
    coordinator
}

/// The fraction admitted after the next report of a process, in thousandths. `wanted` is the number
/// of requests since the process started.
fn admitted_after(
    coordinator: &mut AllowanceCoordinator,
    at_ms: u64,
    process: u32,
    wanted: u32,
) -> u16 {
    admitted_after_report(coordinator, at_ms, (process, at_ms as u32), wanted)
}

/// Like [`admitted_after`], for the report of a process with this sequence number.
fn admitted_after_report(
    coordinator: &mut AllowanceCoordinator,
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
    let reply = coordinator
        .apply_report(TimeMs(at_ms), &node, &report)
        .unwrap();
    reply
        .limited
        .first()
        .map_or(1_000, |admitted| admitted.permille)
}

/// A report is overtaken by the next one. If its lower count were taken as an increase that wrapped
/// around, it would look like billions of requests, and the account would be refused for minutes.
#[rstest]
fn an_out_of_order_report_changes_nothing() {
    let mut coordinator = coordinator();
    let reports = [(1, 5), (3, 20), (2, 15), (4, 30), (5, 45)];
    for (order, (sequence, wanted)) in reports.into_iter().enumerate() {
        let at_ms = 300 * (order as u64 + 1);
        let permille = admitted_after_report(&mut coordinator, at_ms, (1, sequence), wanted);
        assert_eq!(permille, 1_000, "{wanted}");
    }
}

/// An entry that tracks thousands of accounts evicts one and counts it from 0 again. If the
/// coordinator did not detect this, the account's requests would count only once they exceeded the
/// former count.
#[rstest]
fn an_evicted_account_is_counted_from_zero() {
    let mut coordinator = coordinator();
    let now = |ms| TimeMs(1_000 + ms);
    let node = Name::from("n1");
    let bound = AllowanceBound {
        window_ms: 5_000,
        overage: 0.1,
        slack: 20.0,
    };
    let mut entry = EntryAllowances::new(bound, true, 1, now(0));
    let request = |entry: &mut EntryAllowances, ms: u64, account: AccountId| {
        let allowance = Allowance {
            rate_per_s: 100.0,
            burst: 100.0,
        };
        // The result does not matter: the request is counted either way.
        let _ = entry.admit(now(ms), account, allowance, 1, 0.5);
    };
    for step in 0..300 {
        (0..6).for_each(|_| request(&mut entry, step * 100, ACCOUNT));
        if let Some(report) = entry.report(now(step * 100)) {
            drop(coordinator.apply_report(now(step * 100), &node, &report));
        }
    }
    for other in 0..5_000 {
        request(&mut entry, 40_000 + other, AccountId(1_000 + other as u32));
    }
    let mut reply = None;
    for step in 0..20 {
        let ms = 60_000 + step * 100;
        (0..40).for_each(|_| request(&mut entry, ms, ACCOUNT));
        if let Some(report) = entry.report(now(ms)) {
            reply = coordinator.apply_report(now(ms), &node, &report);
        }
    }
    let limited = reply.unwrap().limited;
    let permille = limited.first().map_or(1_000, |admitted| admitted.permille);
    assert!(permille < 500, "{permille} of four times the allowance");
}

/// A duplicated report must not count its requests twice.
#[rstest]
fn a_duplicate_report_counts_once() {
    let mut coordinator = coordinator();
    for order in 0..40 {
        assert_eq!(
            admitted_after_report(&mut coordinator, 300 + order, (1, 1), 8),
            1_000
        );
    }
}

/// A node's process restarts and counts from 0 again, below the former count.
#[rstest]
fn a_new_process_is_counted_from_zero() {
    let mut coordinator = coordinator();
    assert_eq!(admitted_after(&mut coordinator, 300, 1, 8), 1_000);
    assert_eq!(admitted_after(&mut coordinator, 600, 1, 60), 1_000);
    assert_eq!(admitted_after(&mut coordinator, 5_000, 2, 3), 1_000);
    assert_eq!(admitted_after(&mut coordinator, 5_300, 2, 20), 1_000);
}

/// An account sends far more than its allowance. Its admitted fraction falls, and recovers when
/// the demand is low again.
#[rstest]
fn the_admitted_fraction_falls_and_recovers() {
    let mut coordinator = coordinator();
    let mut wanted = 0;
    let mut permille = 1_000;
    for step in 1..30 {
        wanted += 150;
        permille = admitted_after(&mut coordinator, step * 300, 1, wanted);
    }
    assert!(permille < 400, "{permille}");
    for step in 30..60 {
        wanted += 15;
        permille = admitted_after(&mut coordinator, step * 300, 1, wanted);
    }
    assert_eq!(permille, 1_000);
}
