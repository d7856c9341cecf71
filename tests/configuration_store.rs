//! Publishing and switching through the platform's table, with faults of the platform.

mod support;

use rstest::rstest;
use sassafrasgap::configuration::ChangeLog;
use sassafrasgap::configuration::ConfigStore;
use sassafrasgap::configuration::PastChange;
use sassafrasgap::configuration::Publication;
use sassafrasgap::configuration::SwitchOutcome;
use sassafrasgap::core::Name;
use sassafrasgap::errors::ConfigError;
use sassafrasgap::table_service::Transaction;
use serde_json::json;
use support::TestPlatform;
use support::presets::change;
use support::presets::preset_text;

async fn store_with(platform: &TestPlatform, presets: &[&str]) -> ConfigStore {
    let store = ConfigStore::new(platform.client("a"));
    for preset in presets {
        let id = format!("publish-{preset}");
        let text = preset_text(preset, 100);
        let published = store.publish("p.yaml", &text, &change(&id, "setup")).await;
        published.expect("published");
    }
    store
}

async fn switch(store: &ConfigStore, preset: &str, id: &str) -> Result<SwitchOutcome, ConfigError> {
    let change = change(id, id);
    store.switch(&Name::from(preset), None, 0, &change).await
}

#[tokio::test]
async fn a_switch_raises_the_version_and_returns_the_document() {
    let platform = TestPlatform::start().await;
    let store = store_with(&platform, &["ordinary", "peak"]).await;
    assert_eq!(store.newer_than(0).await.unwrap(), None);
    let first = switch(&store, "ordinary", "c1").await.unwrap();
    assert_eq!(
        first,
        SwitchOutcome::InForce {
            version: 1,
            revision: 1
        }
    );
    switch(&store, "peak", "c2").await.unwrap();
    let again = switch(&store, "peak", "c3").await.unwrap();
    assert_eq!(
        again,
        SwitchOutcome::AlreadyInForce {
            version: 2,
            revision: 1
        }
    );
    let document = store.newer_than(1).await.unwrap().expect("newer");
    assert_eq!((document.version, &*document.preset), (2, "peak"));
    assert_eq!(document.document, preset_text("peak", 100));
    assert_eq!(store.newer_than(2).await.unwrap(), None);
}

#[tokio::test]
async fn publishing_twice_is_one_revision_and_a_change_is_the_next() {
    let platform = TestPlatform::start().await;
    let store = store_with(&platform, &["peak"]).await;
    let preset = Name::from("peak");
    let same = store
        .publish("p", &preset_text("peak", 100), &change("x", "eva"))
        .await;
    assert_eq!(
        same.unwrap(),
        Publication::Unchanged {
            preset: preset.clone(),
            revision: 1
        }
    );
    let next = store
        .publish("p", &preset_text("peak", 200), &change("y", "eva"))
        .await;
    assert_eq!(
        next.unwrap(),
        Publication::Published {
            preset,
            revision: 2
        }
    );
    let bad = store
        .publish("p", "preset: peak\n", &change("z", "eva"))
        .await;
    assert!(matches!(bad, Err(ConfigError::Settings(_))));
    assert_eq!(store.presets().await.unwrap()[0].latest.revision, 2);
}

// Guards against a preset in force that starting nodes cannot fetch. It is published many times
// without a switch, and the revision in force is deleted with the old ones.
#[tokio::test]
async fn the_revision_in_force_is_kept_over_many_publications() {
    let platform = TestPlatform::start().await;
    let store = store_with(&platform, &["peak"]).await;
    switch(&store, "peak", "c1").await.unwrap();
    for wait_ms in 200..230 {
        let id = format!("p{wait_ms}");
        let text = preset_text("peak", wait_ms);
        store
            .publish("p", &text, &change(&id, "eva"))
            .await
            .unwrap();
    }
    let document = store.newer_than(0).await.unwrap().expect("still there");
    assert_eq!(document.document, preset_text("peak", 100));
    let kept = platform.client("a").scan("preset/").await.unwrap();
    assert_eq!(kept.len(), 21);
}

/// Each poller reads the row twice a second, within 3 KB/s for all control traffic.
#[tokio::test]
async fn the_polled_row_stays_small() {
    let platform = TestPlatform::start().await;
    let store = store_with(&platform, &["maintenance", "peak"]).await;
    for round in 0..20 {
        for preset in ["maintenance", "peak"] {
            let id = format!("{preset:-<30}{round:02}");
            switch(&store, preset, &id).await.unwrap();
        }
    }
    let row = platform.client("a").get("in_force").await.unwrap().unwrap();
    assert!(row.value.len() <= 160, "{} bytes", row.value.len());
}

// Guards against a lost update: two operators switch concurrently, both are told that it succeeded,
// and the second write overwrites the first.
#[tokio::test]
async fn of_two_concurrent_switches_one_wins_and_the_other_gets_the_winner() {
    let platform = TestPlatform::start().await;
    let store = store_with(&platform, &["ordinary", "peak", "night"]).await;
    switch(&store, "ordinary", "setup").await.unwrap();
    // With slow answers both read before either writes.
    platform.add_fault(json!({"slow_delay_ms": 20})).await;
    let mut conflicts = 0;
    for round in 0..10 {
        let (ana, rui) = (format!("ana-{round}"), format!("rui-{round}"));
        let (peak, night) =
            tokio::join!(switch(&store, "peak", &ana), switch(&store, "night", &rui));
        let (won, lost, winner) = match (peak, night) {
            (Ok(won), Err(lost)) => (won, lost, ana),
            (Err(lost), Ok(won)) => (won, lost, rui),
            // One ran entirely after the other, so both took effect.
            (Ok(_), Ok(_)) => continue,
            both => panic!("both lost: {both:?}"),
        };
        let SwitchOutcome::InForce { version, .. } = won else {
            panic!("{won:?}");
        };
        let ConfigError::Conflict {
            version: named,
            change_id,
            ..
        } = &lost
        else {
            panic!("{lost:?}");
        };
        assert_eq!((*named, &**change_id), (version, winner.as_str()));
        conflicts += 1;
    }
    assert!(conflicts > 0, "no two switches conflicted");
    let log = store.change_log().await.unwrap();
    let versions: Vec<u64> = log.changes.iter().map(|change| change.version).collect();
    assert!(versions.is_sorted_by(|a, b| a < b), "{versions:?}");
}

#[tokio::test]
async fn an_expected_version_that_is_not_in_force_is_a_conflict() {
    let platform = TestPlatform::start().await;
    let store = store_with(&platform, &["ordinary", "peak"]).await;
    switch(&store, "ordinary", "c1").await.unwrap();
    let late = change("c2", "rui");
    let lost = store.switch(&Name::from("peak"), Some(0), 0, &late).await;
    let text = lost.unwrap_err().to_string();
    assert!(
        text.contains("version 1 is in force, preset ordinary, by c1 (change c1)"),
        "{text}"
    );
    let won = store
        .switch(&Name::from("peak"), Some(1), 0, &late)
        .await
        .unwrap();
    assert_eq!(
        won,
        SwitchOutcome::InForce {
            version: 2,
            revision: 1
        }
    );
}

#[tokio::test]
async fn an_unknown_preset_is_refused_with_the_known_ones() {
    let platform = TestPlatform::start().await;
    let store = store_with(&platform, &["ordinary", "peak"]).await;
    let text = switch(&store, "pek", "c1").await.unwrap_err().to_string();
    assert!(text.contains("published are: ordinary, peak"), "{text}");
}

// Guards against a switch that took effect but is reported as failed and repeated. The platform
// writes the change and its answer is lost, because the connection breaks or stops answering. The
// lost answer is taken for a failure, and the change id is not read back.
#[rstest]
#[case::broken("broken")]
#[case::silent("silent")]
#[tokio::test]
async fn a_lost_answer_is_resolved_and_not_repeated(#[case] loss: &str) {
    let platform = TestPlatform::start().await;
    let store = store_with(&platform, &["ordinary", "peak"]).await;
    switch(&store, "ordinary", "c1").await.unwrap();
    platform
        .add_fault(json!({"applied_answer_lost": loss}))
        .await;
    let switched = switch(&store, "peak", "c2").await.unwrap();
    assert_eq!(
        switched,
        SwitchOutcome::InForce {
            version: 2,
            revision: 1
        }
    );
    let published = store
        .publish("p", &preset_text("peak", 7), &change("c3", "eva"))
        .await;
    assert_eq!(
        published.unwrap(),
        Publication::Published {
            preset: Name::from("peak"),
            revision: 2
        },
    );
    platform.clear_faults().await;
    assert_eq!(store.change_log().await.unwrap().changes.len(), 2);
}

// Guards against a conflict or a second switch reported for a switch that came into force and was
// then replaced. The switch is written, its answer is lost, the platform cannot be reached, and
// another operator switches; then the first one repeats the call with the same change id. This
// fails if only the row in force is read.
#[tokio::test]
async fn a_repeat_with_the_same_change_id_returns_the_outcome() {
    let platform = TestPlatform::start().await;
    let store = store_with(&platform, &["ordinary", "peak"]).await;
    switch(&store, "ordinary", "c1").await.unwrap();
    platform
        .add_fault(json!({"applied_answer_lost": "broken"}))
        .await;
    platform
        .add_fault(json!({"down": true, "operations": "reads", "at_ms": 0, "domains": ["cut"]}))
        .await;
    let cut = ConfigStore::new(platform.client("cut"));
    assert!(switch(&cut, "peak", "c2").await.is_err(), "reads are down");
    assert_eq!(store.in_force().await.unwrap().unwrap().version, 1);
    switch(&store, "peak", "c2").await.unwrap();
    platform.clear_faults().await;
    switch(&store, "ordinary", "c3").await.unwrap();
    let repeated = switch(&store, "peak", "c2").await.unwrap();
    assert_eq!(
        repeated,
        SwitchOutcome::Replaced {
            version: 2,
            by_version: 3
        }
    );
    assert_eq!(store.in_force().await.unwrap().unwrap().version, 3);
}

#[tokio::test]
async fn a_floor_raises_the_version_above_those_that_nodes_hold() {
    let platform = TestPlatform::start().await;
    let store = store_with(&platform, &["ordinary"]).await;
    switch(&store, "ordinary", "c1").await.unwrap();
    let raised = store
        .switch(&Name::from("ordinary"), None, 40, &change("c2", "eva"))
        .await;
    assert_eq!(
        raised.unwrap(),
        SwitchOutcome::InForce {
            version: 41,
            revision: 1
        }
    );
}

#[rstest]
#[case::down(json!({"down": true}))]
#[case::hanging(json!({"hang": true}))]
#[tokio::test]
async fn a_platform_that_does_not_answer_changes_nothing(#[case] fault: serde_json::Value) {
    let platform = TestPlatform::start().await;
    let store = store_with(&platform, &["ordinary", "peak"]).await;
    switch(&store, "ordinary", "c1").await.unwrap();
    platform.add_fault(fault).await;
    let failed = switch(&store, "peak", "c2").await;
    assert!(
        matches!(failed, Err(ConfigError::Platform(_))),
        "{failed:?}"
    );
    platform.clear_faults().await;
    assert_eq!(store.in_force().await.unwrap().unwrap().version, 1);
}

// Guards against nodes that classify calls by a document that was never published: its row was
// overwritten, and the fetched document is not compared with the hash in the row in force.
#[tokio::test]
async fn an_overwritten_document_is_not_returned() {
    let platform = TestPlatform::start().await;
    let store = store_with(&platform, &["peak"]).await;
    switch(&store, "peak", "c1").await.unwrap();
    let client = platform.client("a");
    let row = client.get("preset/peak/1").await.unwrap().unwrap();
    let other = preset_text("peak", 9);
    let overwrite = Transaction::put_if("preset/peak/1", Some(row.version), other);
    client.transact(&overwrite).await.unwrap();
    let read = store.newer_than(0).await;
    assert!(
        matches!(read, Err(ConfigError::DocumentMissing { .. })),
        "{read:?}"
    );
}

// Guards against a conflict reported for a switch that had been in force. So many switches followed
// before its lost answer was resolved that the log no longer lists it, and absence from a truncated
// log is taken as proof that it never took effect.
#[test]
fn a_truncated_log_proves_nothing_about_older_changes() {
    let mut log = ChangeLog::default();
    assert!(log.covers_changes_after(0));
    for version in 1..=40 {
        log.push(PastChange {
            version,
            preset: Name::from("peak"),
            revision: 1,
            change_id: Name::from(format!("c{version}")),
            operator: Name::from("eva"),
            at_unix_s: 0,
        });
    }
    assert_eq!(log.changes.len(), 32);
    assert!(log.find("c8").is_none() && log.find("c9").is_some());
    assert!(!log.covers_changes_after(7));
    assert!(log.covers_changes_after(8));
}

// Guards against a switch that never succeeds while the platform fails every third read, because
// one failed read of several ends it.
#[tokio::test]
async fn an_operator_can_switch_on_a_platform_that_fails_now_and_then() {
    let platform = TestPlatform::start().await;
    store_with(&platform, &["ordinary", "peak"]).await;
    let store = ConfigStore::with_read_retries(platform.client("a"));
    let fault = json!({"error_share": 0.34, "operations": "reads"});
    platform.add_fault(fault).await;
    for (version, preset) in [(1, "peak"), (2, "ordinary"), (3, "peak")] {
        let switched = switch(&store, preset, &format!("c{version}"))
            .await
            .unwrap();
        let expected = SwitchOutcome::InForce {
            version,
            revision: 1,
        };
        assert_eq!(switched, expected);
    }
}
