//! Rows that one process keeps, and tables that are followed, while the store fails and goes back.

mod fake_store;

use std::sync::Arc;

use futures::FutureExt;
use rstest::rstest;

use fake_store::FakeStore;
use fake_store::PutFault;
use sassafrasgap::core::Name;
use sassafrasgap::errors::StoreError;
use sassafrasgap::store::EraStore;
use sassafrasgap::store::EraWatch;
use sassafrasgap::store::WriteOutcome;
use sassafrasgap::store::RowWriter;
use sassafrasgap::store::RowName;
use sassafrasgap::store::Store;
use sassafrasgap::store::StoreRates;
use sassafrasgap::store::TableChanges;
use sassafrasgap::store::TableWatch;

fn row() -> RowName {
    RowName::new("nodes", "a")
}

fn keeper(store: &FakeStore) -> RowWriter {
    RowWriter::new(Arc::new(store.clone()), row())
}

fn write(keeper: &mut RowWriter, value: &[u8]) -> WriteOutcome {
    keeper
        .write(value)
        .now_or_never()
        .expect("answered at once")
}

/// Each try that the store turned away cost a read as well.
#[rstest]
fn a_write_that_was_turned_away_is_not_read_back() {
    let store = FakeStore::default();
    let mut keeper = keeper(&store);
    keeper.assume_absent();
    for _ in 0..3 {
        store.inject_fault(PutFault::Rejected);
        let kept = write(&mut keeper, b"up");
        assert_eq!(kept, WriteOutcome::Retry(StoreError::TooManyCalls));
    }
    assert_eq!(write(&mut keeper, b"up"), WriteOutcome::Written);
    assert_eq!(store.calls(), (0, 4));
}

/// All first rows lay in one part, which takes a few of them a second.
#[rstest]
#[case(400, 150, 3)]
#[case(3_200, 150, 22)]
#[case(100, 150, 1)]
#[case(0, 0, 1)]
fn rows_are_spread_over_as_many_parts_as_the_store_needs(
    #[case] writes_per_s: u64,
    #[case] part_writes_per_s: u64,
    #[case] parts: u64,
) {
    let rates = StoreRates {
        writes_per_s,
        part_writes_per_s,
    };
    assert_eq!(rates.parts(), parts);
}

/// Twice the fleet that one deployment has today: no part gets more than it takes in a second.
#[rstest]
#[case(986)]
#[case(1_972)]
fn no_part_gets_more_rows_than_it_takes_in_a_second(#[case] nodes: usize) {
    let rates = StoreRates {
        writes_per_s: 3_200,
        part_writes_per_s: 150,
    };
    let mut rows = vec![0; rates.parts() as usize];
    for node in 0..nodes {
        rows[rates.part_of(&format!("sidecar-hall-a-{node}")) as usize] += 1;
    }
    assert!(rows.iter().all(|rows| *rows <= 150), "{rows:?}");
}

/// What may happen around one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The process has something new to keep, and makes one try.
    Update,
    Retry,
    LoseNextAnswer,
    DelayNextPut,
    ApplyDelayed,
    TakeBackup,
    Restore,
    /// The process is restarted: it reads its row, and keeps what that holds if it knows no better.
    Restart,
}

const STEPS: [Step; 8] = [
    Step::Update,
    Step::Retry,
    Step::LoseNextAnswer,
    Step::DelayNextPut,
    Step::ApplyDelayed,
    Step::TakeBackup,
    Step::Restore,
    Step::Restart,
];
const DEPTH: u32 = 6;

/// Plays one order of steps, and then the look at the row that every process takes once it knows of a
/// new era, after the last late write.
fn play(steps: impl Iterator<Item = Step>) -> (Option<Vec<u8>>, Vec<u8>) {
    let store = FakeStore::default();
    let mut keeper = keeper(&store);
    let mut wanted: u8 = 0;
    for step in steps {
        match step {
            Step::Update => wanted += 1,
            Step::Retry => {}
            Step::LoseNextAnswer => store.inject_fault(PutFault::AnswerLost),
            Step::DelayNextPut => store.inject_fault(PutFault::Delayed),
            Step::ApplyDelayed => store.apply_delayed(),
            Step::TakeBackup => store.take_backup(),
            Step::Restore => store.restore(),
            Step::Restart => keeper = self::keeper(&store),
        }
        if matches!(step, Step::Update | Step::Retry) {
            write(&mut keeper, &[wanted]);
        }
    }
    store.apply_delayed();
    keeper.forget();
    for _ in 0..8 {
        if write(&mut keeper, &[wanted]) == WriteOutcome::Written {
            break;
        }
    }
    (store.value(&row()), vec![wanted])
}

/// A departure that was acknowledged was forgotten: the store lost it, and the process took it for written.
#[rstest]
fn in_all_orders_the_row_is_written_again() {
    let count = STEPS.len().pow(DEPTH);
    for order in 0..count {
        let steps = (0..DEPTH).map(|place| STEPS[order / STEPS.len().pow(place) % STEPS.len()]);
        let (held, wanted) = play(steps.clone());
        let steps: Vec<Step> = steps.collect();
        assert_eq!(held, Some(wanted), "{steps:?}");
    }
}

/// A version of before the restore was given out again to the same row, and a write on it counted.
#[rstest]
fn a_write_on_a_version_of_an_earlier_era_does_not_count() {
    let store = FakeStore::default();
    let mut keeper = keeper(&store);
    assert_eq!(write(&mut keeper, b"one"), WriteOutcome::Written);
    store.restore();
    store.write(&row(), b"other");
    let kept = write(&mut keeper, b"two");
    assert!(matches!(
        kept,
        WriteOutcome::Retry(StoreError::EarlierEra { era: 0, newest: 1 })
    ));
    assert_eq!(write(&mut keeper, b"two"), WriteOutcome::Written);
    assert_eq!(store.value(&row()), Some(b"two".to_vec()));
}

fn next(watch: &mut TableWatch) -> Result<TableChanges, StoreError> {
    watch.next(0).now_or_never().expect("answered at once")
}

fn values(news: &TableChanges) -> Vec<&[u8]> {
    news.rows
        .iter()
        .filter_map(|row| row.value.as_deref())
        .collect()
}

/// Versions were given out again up to the one that was known, and the changes at them were missed.
#[rstest]
fn a_change_under_a_version_given_out_again_is_seen() {
    let store = FakeStore::default();
    let name = RowName::new("op", "config");
    store.write(&name, b"1");
    store.take_backup();
    let mut watch = TableWatch::new(Arc::new(store.clone()), Name::from("op"), Name::from(""));
    next(&mut watch).unwrap();
    store.write(&name, b"2");
    assert_eq!(values(&next(&mut watch).unwrap()), [b"2"]);
    store.restore();
    store.write(&name, b"3");
    let news = next(&mut watch).unwrap();
    assert!(news.is_snapshot);
    assert_eq!(values(&news), [b"3"]);
}

/// The store is behind the version that was known: it says that it has no such history, and is read whole.
#[rstest]
fn a_store_behind_what_is_known_is_read_whole() {
    let store = FakeStore::default();
    let name = RowName::new("op", "config");
    store.write(&name, b"1");
    store.take_backup();
    store.write(&name, b"2");
    let mut watch = TableWatch::new(Arc::new(store.clone()), Name::from("op"), Name::from(""));
    next(&mut watch).unwrap();
    store.restore();
    assert_eq!(next(&mut watch), Err(StoreError::HistoryGone));
    assert_eq!(values(&next(&mut watch).unwrap()), [b"1"]);
}

/// An answer that was given before the restore arrives after a later one, or after another node's word.
#[rstest]
fn an_answer_of_an_earlier_era_counts_for_nothing() {
    let store = FakeStore::default();
    store.restore();
    let eras = EraWatch::new();
    let watched = EraStore::new(store, eras.clone());
    let read = || watched.read_row(row()).now_or_never().unwrap();
    assert!(read().is_ok());
    assert_eq!(eras.newest(), Some(1));
    eras.observe(3);
    let late = read();
    assert_eq!(late, Err(StoreError::EarlierEra { era: 1, newest: 3 }));
    assert_eq!(eras.newest(), Some(3));
}
