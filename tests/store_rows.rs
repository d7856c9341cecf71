//! Row writes and table watches while the store fails or is restored from a backup.

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
use sassafrasgap::store::RowName;
use sassafrasgap::store::RowWriter;
use sassafrasgap::store::Store;
use sassafrasgap::store::StoreRates;
use sassafrasgap::store::TableChanges;
use sassafrasgap::store::TableWatch;
use sassafrasgap::store::WriteOutcome;

fn row() -> RowName {
    RowName::new("nodes", "a")
}

fn writer(store: &FakeStore) -> RowWriter {
    RowWriter::new(Arc::new(store.clone()), row())
}

fn write(writer: &mut RowWriter, value: &[u8]) -> WriteOutcome {
    writer
        .write(value)
        .now_or_never()
        .expect("answered at once")
}

/// Guards against a read in addition to each write that the store rejects.
#[rstest]
fn a_rejected_write_is_not_read_back() {
    let store = FakeStore::default();
    let mut writer = writer(&store);
    writer.assume_absent();
    for _ in 0..3 {
        store.inject_fault(PutFault::Rejected);
        let outcome = write(&mut writer, b"up");
        assert_eq!(outcome, WriteOutcome::Retry(StoreError::TooManyCalls));
    }
    assert_eq!(write(&mut writer, b"up"), WriteOutcome::Written);
    assert_eq!(store.calls(), (0, 4));
}

/// Guards against placing all first rows in one part, which accepts few writes per second.
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

/// Guards against a part that gets more rows of a starting fleet than it accepts writes in a
/// second. The fleets are one of the size of a deployment, and one of twice that size.
#[rstest]
#[case(986)]
#[case(1_972)]
fn no_part_gets_more_rows_than_its_writes_per_second(#[case] nodes: usize) {
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

/// An event in a sequence around writes of one row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The process has a new value, and makes one attempt to write it.
    Update,
    WriteAgain,
    LoseNextAnswer,
    DelayNextPut,
    ApplyDelayed,
    TakeBackup,
    Restore,
    /// The process is restarted: its new writer does not know the version of the row, and reads it.
    Restart,
}

const STEPS: [Step; 8] = [
    Step::Update,
    Step::WriteAgain,
    Step::LoseNextAnswer,
    Step::DelayNextPut,
    Step::ApplyDelayed,
    Step::TakeBackup,
    Step::Restore,
    Step::Restart,
];
const SEQUENCE_STEPS: u32 = 6;

/// Runs one sequence of steps and applies the last delayed writes. It then rereads and rewrites the
/// row, as every process does when it learns of a new era. Returns the stored and the wanted value.
fn run_steps(steps: impl Iterator<Item = Step>) -> (Option<Vec<u8>>, Vec<u8>) {
    let store = FakeStore::default();
    let mut writer = writer(&store);
    let mut wanted: u8 = 0;
    for step in steps {
        match step {
            Step::Update => wanted += 1,
            Step::WriteAgain => {}
            Step::LoseNextAnswer => store.inject_fault(PutFault::AnswerLost),
            Step::DelayNextPut => store.inject_fault(PutFault::Delayed),
            Step::ApplyDelayed => store.apply_delayed(),
            Step::TakeBackup => store.take_backup(),
            Step::Restore => store.restore(),
            Step::Restart => writer = self::writer(&store),
        }
        if matches!(step, Step::Update | Step::WriteAgain) {
            write(&mut writer, &[wanted]);
        }
    }
    store.apply_delayed();
    writer.forget();
    // Each fault that is still queued fails one write, and at most SEQUENCE_STEPS are.
    for _ in 0..8 {
        if write(&mut writer, &[wanted]) == WriteOutcome::Written {
            break;
        }
    }
    (store.value(&row()), vec![wanted])
}

/// Guards against losing an acknowledged write, such as the departure of a node: a restored store
/// no longer holds it, and the process still treats it as written.
#[rstest]
fn after_every_sequence_of_steps_the_row_holds_the_wanted_value() {
    let count = STEPS.len().pow(SEQUENCE_STEPS);
    for sequence in 0..count {
        let steps = (0..SEQUENCE_STEPS)
            .map(|position| STEPS[sequence / STEPS.len().pow(position) % STEPS.len()]);
        let (stored, wanted) = run_steps(steps.clone());
        let steps: Vec<Step> = steps.collect();
        assert_eq!(stored, Some(wanted), "{steps:?}");
    }
}

/// Guards against accepting a write that expects a version from before a restore, after the
/// restored store has assigned that version again to the same row.
#[rstest]
fn a_write_on_a_version_of_an_earlier_era_is_not_accepted() {
    let store = FakeStore::default();
    let mut writer = writer(&store);
    assert_eq!(write(&mut writer, b"one"), WriteOutcome::Written);
    store.restore();
    store.write(&row(), b"other");
    let outcome = write(&mut writer, b"two");
    assert!(matches!(
        outcome,
        WriteOutcome::Retry(StoreError::EarlierEra { era: 0, newest: 1 })
    ));
    assert_eq!(write(&mut writer, b"two"), WriteOutcome::Written);
    assert_eq!(store.value(&row()), Some(b"two".to_vec()));
}

fn next(watch: &mut TableWatch) -> Result<TableChanges, StoreError> {
    watch.next(0).now_or_never().expect("answered at once")
}

fn values(changes: &TableChanges) -> Vec<&[u8]> {
    changes
        .rows
        .iter()
        .filter_map(|row| row.value.as_deref())
        .collect()
}

/// Guards against missing changes after a restore: the store assigned versions again, up to the one
/// that the watch already knew.
#[rstest]
fn a_change_at_a_reassigned_version_is_seen() {
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
    let changes = next(&mut watch).unwrap();
    assert!(changes.is_snapshot);
    assert_eq!(values(&changes), [b"3"]);
}

/// The restored store is at an earlier version than the watch. It reports that the history is gone,
/// and the next call reads a snapshot.
#[rstest]
fn a_store_at_an_earlier_version_is_reread() {
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

/// Guards against an answer from before a restore that arrives after an answer of the restored
/// store, or after another node has reported the new era.
#[rstest]
fn an_answer_of_an_earlier_era_is_rejected() {
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
