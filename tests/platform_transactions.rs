//! The stand-in platform and its client over TCP connections: transactions, conflicts and limits.

mod support;

use rstest::rstest;
use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;
use sassafrasgap::errors::PlatformError;
use sassafrasgap::table_service::Check;
use sassafrasgap::table_service::FaultScript;
use sassafrasgap::table_service::RateLimit;
use sassafrasgap::table_service::ServerSettings;
use sassafrasgap::table_service::Table;
use sassafrasgap::table_service::Transaction;

use support::TestPlatform;

#[tokio::test]
async fn reads_back_what_was_written() {
    let platform = TestPlatform::start().await;
    let client = platform.client("a");
    assert_eq!(client.get("slots/jobs").await.unwrap(), None);
    let write =
        Transaction::put_if("slots/jobs", None, "one").and_put_if("slots/orders", None, "two");
    let committed = client.transact(&write).await.unwrap();
    let row = client.get("slots/jobs").await.unwrap().unwrap();
    assert_eq!(row.value, "one");
    assert_eq!(row.version, committed.versions[0].version);
    let rows = client.scan("slots/").await.unwrap();
    let keys: Vec<&str> = rows.iter().map(|row| &*row.key).collect();
    assert_eq!(keys, ["slots/jobs", "slots/orders"]);
    assert!(client.scan("other/").await.unwrap().is_empty());
}

#[tokio::test]
async fn names_the_row_that_won_and_writes_nothing() {
    let platform = TestPlatform::start().await;
    let client = platform.client("a");
    let first = Transaction::put_if("preset", None, "ordinary");
    let won = client.transact(&first).await.unwrap().versions[0].version;
    let second = Transaction::put_if("other", None, "x").and_put_if("preset", None, "peak");
    let error = client.transact(&second).await.unwrap_err();
    let PlatformError::Conflict {
        key,
        version,
        value,
    } = error
    else {
        panic!("{error}");
    };
    assert_eq!((&*key, version), ("preset", Some(won)));
    assert_eq!(value.as_deref(), Some("ordinary"));
    assert_eq!(client.get("other").await.unwrap(), None);
    assert_eq!(platform.stats().await.total.conflicts, 1);
}

#[test]
fn a_row_written_again_never_reuses_a_version() {
    let mut table = Table::default();
    let first = table
        .transact(&Transaction::put_if("k", None, "1"))
        .unwrap();
    let version = Some(first.versions[0].version);
    let delete = Transaction {
        checks: vec![Check {
            key: Name::from("k"),
            version,
        }],
        deletes: vec![Name::from("k")],
        ..Transaction::default()
    };
    table.transact(&delete).unwrap();
    table
        .transact(&Transaction::put_if("k", None, "2"))
        .unwrap();
    assert!(table.transact(&delete).is_err());
}

#[tokio::test]
async fn keeps_objects_whole() {
    let platform = TestPlatform::start().await;
    let client = platform.client("a");
    let content = vec![7_u8; 300_000];
    assert_eq!(client.get_object("presets/1").await.unwrap(), None);
    client
        .put_object("presets/1", content.clone())
        .await
        .unwrap();
    let read = client.get_object("presets/1").await.unwrap().unwrap();
    assert_eq!(read, content);
}

#[tokio::test]
async fn refuses_above_the_rate_and_counts_by_prefix() {
    let settings = ServerSettings {
        writes_per_s: 1,
        reads_per_s: 2,
    };
    let platform = TestPlatform::with(settings, FaultScript::default()).await;
    let client = platform.client("a");
    client.get("slots/a").await.unwrap();
    client.get("slots/b").await.unwrap();
    let mut refused = 0;
    for _ in 0..20 {
        match client.get("slots/c").await {
            Err(PlatformError::RateLimited) => refused += 1,
            other => assert_eq!(other.unwrap(), None),
        }
    }
    assert!(refused > 0);
    let stats = platform.stats().await;
    assert_eq!(stats.prefixes["slots"].refused, refused);
    assert_eq!(stats.prefixes["slots"].reads, 22 - refused);
}

#[rstest]
#[case::fill(0, 10, true)]
#[case::half_a_second(500, 5, true)]
#[case::too_soon(100, 2, false)]
#[case::never_more_than_a_second(60_000, 11, true)]
fn rate_limit_refills_in_time(#[case] after_ms: u64, #[case] cost: usize, #[case] taken: bool) {
    let mut limit = RateLimit::new(10);
    if after_ms > 0 {
        assert!(limit.take(TimeMs(0), 10));
    }
    assert_eq!(limit.take(TimeMs(after_ms), cost), taken);
    assert!(!limit.take(TimeMs(after_ms), 10));
}

#[rstest]
#[case("")]
#[case("a b")]
#[case("a?b")]
#[case("ä")]
#[tokio::test]
async fn refuses_keys_that_are_not_valid_in_a_path(#[case] key: &str) {
    let platform = TestPlatform::start().await;
    let error = platform.client("a").get(key).await.unwrap_err();
    assert!(matches!(error, PlatformError::InvalidKey { .. }));
}
