//! Each scripted fault alone, and two together, as seen by a client.

mod support;

use rstest::rstest;
use sassafrasgap::core::TimeMs;
use sassafrasgap::errors::PlatformError;
use sassafrasgap::table_service::AnswerLoss;
use sassafrasgap::table_service::Effects;
use sassafrasgap::table_service::FaultScript;
use sassafrasgap::table_service::Resolution;
use sassafrasgap::table_service::Transaction;
use sassafrasgap::table_service::resolve;
use sassafrasgap::table_service::transact_resolved;
use serde_json::json;

use support::TestPlatform;

const KEY: &str = "preset";

fn write() -> Transaction {
    Transaction::put_if(KEY, None, "peak change-1")
}

#[tokio::test]
async fn down_is_reported_at_once_and_nothing_is_done() {
    let platform = TestPlatform::start().await;
    let client = platform.client("a");
    platform.add_fault(json!({"down": true})).await;
    let error = client.transact(&write()).await.unwrap_err();
    assert!(matches!(error, PlatformError::Unavailable), "{error}");
    let error = client.get(KEY).await.unwrap_err();
    assert!(matches!(error, PlatformError::Unavailable), "{error}");
    platform.clear_faults().await;
    assert_eq!(client.get(KEY).await.unwrap(), None);
}

#[tokio::test]
async fn nobody_listening_is_unavailable() {
    let platform = TestPlatform::start().await;
    let client = platform.client("a");
    drop(platform);
    tokio::task::yield_now().await;
    let error = client.transact(&write()).await.unwrap_err();
    assert!(matches!(error, PlatformError::Unavailable), "{error}");
}

#[tokio::test]
async fn hang_times_out_and_leaves_a_write_unknown() {
    let platform = TestPlatform::start().await;
    let client = platform.client("a");
    platform.add_fault(json!({"hang": true})).await;
    let error = client.get(KEY).await.unwrap_err();
    assert!(
        matches!(error, PlatformError::ReadTimedOut { .. }),
        "{error}"
    );
    let error = client.transact(&write()).await.unwrap_err();
    assert!(matches!(error, PlatformError::OutcomeUnknown), "{error}");
    assert_eq!(
        resolve(&client, KEY, None, "change-1").await,
        Resolution::Unknown
    );
}

/// Failure: every read of one node fails although the platform is healthy. A firewall lost its
/// table, so open connections stop answering while new ones work, and the node kept using the open
/// ones.
#[tokio::test]
async fn a_silent_connection_is_replaced_for_the_second_read() {
    let platform = TestPlatform::start().await;
    let client = platform.client("a");
    client.get(KEY).await.unwrap();
    // The fault affects only the first of the two attempts.
    platform
        .add_fault(json!({"hang": true, "for_ms": 200}))
        .await;
    assert_eq!(client.get(KEY).await.unwrap(), None);
}

#[tokio::test]
async fn slow_answers_still_arrive() {
    let platform = TestPlatform::start().await;
    let client = platform.client("a");
    platform.add_fault(json!({"slow_delay_ms": 30})).await;
    client.transact(&write()).await.unwrap();
    assert!(client.get(KEY).await.unwrap().is_some());
}

/// Failure: a switch of presets is reported as failed, and takes effect a moment later. The
/// platform was slower than the client's timeout, and did the write after the client had read back
/// an unchanged row.
#[tokio::test]
async fn a_write_that_is_slower_than_its_client_is_found_applied() {
    let platform = TestPlatform::start().await;
    let client = platform.client("a");
    platform
        .add_fault(json!({"slow_delay_ms": 450, "operations": "writes"}))
        .await;
    let outcome = transact_resolved(&client, &write(), KEY, "change-1")
        .await
        .unwrap();
    assert!(matches!(outcome, Resolution::Applied(_)), "{outcome:?}");
    let row = client.get(KEY).await.unwrap().unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(900)).await;
    assert_eq!(
        client.get(KEY).await.unwrap().unwrap(),
        row,
        "applied twice"
    );
}

#[tokio::test]
async fn an_error_burst_fails_its_share() {
    let platform = TestPlatform::start().await;
    let client = platform.client("a");
    platform.add_fault(json!({"error_share": 0.25})).await;
    let mut failed = 0;
    for _ in 0..40 {
        failed += u32::from(client.get(KEY).await.is_err());
    }
    assert_eq!(failed, 10);
    platform.clear_faults().await;
    platform.add_fault(json!({"error_share": 1.0})).await;
    let error = client.transact(&write()).await.unwrap_err();
    assert!(matches!(error, PlatformError::OutcomeUnknown), "{error}");
}

/// Failure: an operator's switch is reported as failed although it is in force, and a retry
/// conflicts with it. The write took effect and only its answer was lost.
#[rstest]
#[case::broken("broken")]
#[case::silent("silent")]
#[tokio::test]
async fn a_lost_answer_is_resolved_by_reading_back(#[case] loss: &str) {
    let platform = TestPlatform::start().await;
    let client = platform.client("a");
    platform
        .add_fault(json!({"applied_answer_lost": loss}))
        .await;
    let error = client.transact(&write()).await.unwrap_err();
    assert!(matches!(error, PlatformError::OutcomeUnknown), "{error}");
    let outcome = resolve(&client, KEY, None, "change-1").await;
    assert!(matches!(outcome, Resolution::Applied(_)), "{outcome:?}");
    let outcome = resolve(&client, KEY, None, "change-2").await;
    assert!(
        matches!(outcome, Resolution::NotApplied(Some(_))),
        "{outcome:?}"
    );
    let next = Transaction::put_if("other", None, "change-3");
    let outcome = transact_resolved(&client, &next, "other", "change-3")
        .await
        .unwrap();
    assert!(matches!(outcome, Resolution::Applied(_)), "{outcome:?}");
    assert_eq!(platform.stats().await.total.writes, 2);
}

/// Failure: two operators switch at the same time while the platform loses answers, and both
/// switches are reported as successful. The loser treated its lost answer as a success.
#[tokio::test]
async fn of_two_writers_one_wins_although_answers_are_lost() {
    let platform = TestPlatform::start().await;
    platform
        .add_fault(json!({"applied_answer_lost": "broken"}))
        .await;
    let (one, other) = (platform.client("a"), platform.client("b"));
    let first = Transaction::put_if(KEY, None, "change-1");
    let second = Transaction::put_if(KEY, None, "change-2");
    let (first, second) = tokio::join!(
        transact_resolved(&one, &first, KEY, "change-1"),
        transact_resolved(&other, &second, KEY, "change-2"),
    );
    let won =
        |outcome: &Result<Resolution, PlatformError>| matches!(outcome, Ok(Resolution::Applied(_)));
    assert!(won(&first) != won(&second), "{first:?} {second:?}");
}

#[tokio::test]
async fn a_cut_off_domain_gets_no_answers_while_others_do() {
    let platform = TestPlatform::start().await;
    platform.add_fault(json!({"cut_off_domains": ["b"]})).await;
    assert_eq!(platform.client("a").get(KEY).await.unwrap(), None);
    let error = platform.client("b").get(KEY).await.unwrap_err();
    assert!(
        matches!(error, PlatformError::ReadTimedOut { .. }),
        "{error}"
    );
}

#[tokio::test]
async fn two_faults_hold_together() {
    let platform = TestPlatform::start().await;
    let client = platform.client("a");
    platform
        .add_fault(json!({"applied_answer_lost": "broken", "domains": ["a"]}))
        .await;
    platform
        .add_fault(json!({"down": true, "operations": "reads"}))
        .await;
    let error = client.transact(&write()).await.unwrap_err();
    assert!(matches!(error, PlatformError::OutcomeUnknown), "{error}");
    let outcome = resolve(&client, KEY, None, "change-1").await;
    assert_eq!(outcome, Resolution::Unknown);
    // The row cannot be read back, but the conflict of the second attempt contains it.
    let outcome = transact_resolved(&client, &write(), KEY, "change-1").await;
    assert!(matches!(outcome, Ok(Resolution::Applied(_))), "{outcome:?}");
    assert_eq!(platform.stats().await.total.conflicts, 1);
}

const SCRIPT: &str = "
steps:
  - at_ms: 100
    for_ms: 200
    slow_delay_ms: 30
  - at_ms: 200
    for_ms: 200
    slow_delay_ms: 12
    error_share: 0.5
    applied_answer_lost: silent
    domains: [b]
    operations: writes
  - at_ms: 250
    cut_off_domains: [c]
";

#[rstest]
#[case::before(99, "b", true, Effects::default())]
#[case::first(100, "b", true, Effects { delay_ms: 30, ..Effects::default() })]
#[case::both(200, "b", true, Effects {
    delay_ms: 42, error_share: 0.5, answer_loss: Some(AnswerLoss::Silent), ..Effects::default()
})]
#[case::other_operation(200, "b", false, Effects { delay_ms: 30, ..Effects::default() })]
#[case::other_domain(300, "a", true, Effects::default())]
#[case::cut_off(5000, "c", false, Effects { silent: true, ..Effects::default() })]
#[case::over(400, "b", true, Effects::default())]
fn a_script_applies_faults_on_schedule(
    #[case] now_ms: u64,
    #[case] domain: &str,
    #[case] is_write: bool,
    #[case] expected: Effects,
) {
    let script = FaultScript::from_yaml(SCRIPT).unwrap();
    assert_eq!(script.effects(TimeMs(now_ms), domain, is_write), expected);
}

#[rstest]
#[case::unknown_field("steps: [{dwon: true}]")]
#[case::share("steps: [{error_share: 1.5}]")]
#[case::no_steps("{}")]
fn an_invalid_script_is_refused(#[case] text: &str) {
    assert!(FaultScript::from_yaml(text).is_err());
}
