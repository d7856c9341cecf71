//! Reports of a backend server that arrive late, out of order, or from an incarnation that ended.

use rstest::rstest;
use sassafrasgap::core::Name;
use sassafrasgap::core::TargetState;
use sassafrasgap::core::TimeMs;
use sassafrasgap::traffic::Departure;
use sassafrasgap::traffic::LocalChange;
use sassafrasgap::traffic::LocalServer;
use sassafrasgap::traffic::ReportedState;
use sassafrasgap::traffic::ServerReport;

const HEARTBEAT_MS: u64 = 1_500;

fn report(incarnation: &str, state: ReportedState, sequence: u64) -> ServerReport {
    ServerReport {
        incarnation: Name::from(incarnation),
        started_unix_ms: None,
        state,
        sequence: Some(sequence),
        service: Some(Name::from("s")),
        slots: Some(10),
    }
}

fn started() -> LocalServer {
    let mut server = LocalServer::new(HEARTBEAT_MS);
    let first = report("one", ReportedState::Ready, 7);
    assert_eq!(server.apply_report(TimeMs(0), &first), LocalChange::Changed);
    server
}

fn accepting(server: &LocalServer) -> Option<&str> {
    server
        .accepting_incarnation("s")
        .map(|incarnation| &**incarnation)
}

/// A departure holds for its incarnation, whatever reports arrive later, with any sequence number.
#[rstest]
#[case(ReportedState::Draining)]
#[case(ReportedState::Left)]
fn a_departure_holds(#[case] state: ReportedState) {
    let mut server = started();
    assert_eq!(accepting(&server), Some("one"));
    server.apply_report(TimeMs(10), &report("one", state, 8));
    for sequence in [3, 8, 9, 100] {
        server.apply_report(TimeMs(20), &report("one", ReportedState::Ready, sequence));
        assert_eq!(accepting(&server), None);
        assert_eq!(server.state(), TargetState::Draining);
    }
}

/// A report of a crashed incarnation that arrives after the first report of the next one must not
/// replace the latter.
#[rstest]
fn a_late_report_of_a_crashed_incarnation_changes_nothing() {
    let mut server = started();
    server.apply_report(TimeMs(100), &report("two", ReportedState::Ready, 0));
    assert_eq!(accepting(&server), Some("two"));
    server.apply_report(TimeMs(200), &report("one", ReportedState::Ready, 9));
    server.apply_report(TimeMs(9_000), &report("one", ReportedState::Ready, 10));
    assert_eq!(accepting(&server), Some("two"));
}

/// A later report of an unknown incarnation does not replace one that still reports. It replaces
/// one that is silent.
#[rstest]
#[case(1_000, "one")]
#[case(3_000, "two")]
fn an_unknown_incarnation_replaces_only_a_silent_one(#[case] at_ms: u64, #[case] expected: &str) {
    let mut server = started();
    server.apply_report(TimeMs(at_ms), &report("two", ReportedState::Ready, 40));
    assert_eq!(accepting(&server), Some(expected));
}

/// A backend server that refuses a connection is down until its next report.
#[rstest]
fn a_refused_connection_means_down_until_the_next_report() {
    let mut server = started();
    assert_eq!(
        server.mark_down(&Name::from("other")),
        LocalChange::NoChange
    );
    assert_eq!(server.mark_down(&Name::from("one")), LocalChange::Changed);
    assert_eq!(accepting(&server), None);
    server.apply_report(TimeMs(50), &report("one", ReportedState::Ready, 7));
    assert_eq!(accepting(&server), None, "a late report changes nothing");
    server.apply_report(TimeMs(60), &report("one", ReportedState::Ready, 8));
    assert_eq!(accepting(&server), Some("one"));
}

/// A crashed backend server's address went to another service. An answer named the new incarnation
/// before its first report, and requests of the earlier service were sent to it.
#[rstest]
#[case::other_service("t")]
#[case::same_service("s")]
fn an_incarnation_named_by_an_answer_gets_no_work_before_its_report(#[case] service: &str) {
    let mut server = started();
    let known = server.known();
    let (one, two) = (Name::from("one"), Name::from("two"));
    let change = server.correct_incarnation(TimeMs(5), &two, &one);
    assert_eq!(change, LocalChange::NoChange);
    let change = server.correct_incarnation(TimeMs(5), &one, &two);
    assert_eq!(change, LocalChange::Changed);
    assert_eq!(server.incarnation(), Some(&two));
    assert_eq!(accepting(&server), None);
    assert_eq!((server.service(), server.slots()), (None, 0));
    assert_eq!(server.state(), TargetState::Starting);
    assert_eq!(server.known(), known, "no pair of identifier and service");
    let late = report("one", ReportedState::Ready, 8);
    server.apply_report(TimeMs(6), &late);
    assert_eq!(accepting(&server), None, "incarnation one has ended");
    let first = ServerReport {
        service: Some(Name::from(service)),
        ..report("two", ReportedState::Ready, 1)
    };
    server.apply_report(TimeMs(7), &first);
    for asked in ["s", "t"] {
        let accepting = server.accepting_incarnation(asked);
        assert_eq!(accepting, (asked == service).then_some(&two));
    }
    assert_eq!(server.known().unwrap().service, Name::from(service));
}

/// A report without a service was taken for one of the service of the incarnation before.
#[rstest]
fn a_report_without_a_service_gives_no_work() {
    let mut server = started();
    let first = ServerReport {
        service: None,
        ..report("two", ReportedState::Ready, 1)
    };
    server.apply_report(TimeMs(5), &first);
    assert_eq!((accepting(&server), server.service()), (None, None));
    assert_eq!(server.state(), TargetState::Starting);
    assert_ne!(
        server.known().map(|known| known.service),
        Some(Name::from(""))
    );
}

/// An incarnation that an answer named crashed, and the first reports of the next one were lost. The
/// time of the answer must not keep the next one out as if the named one still reported.
#[rstest]
fn an_incarnation_named_by_an_answer_keeps_no_other_out() {
    let mut server = started();
    server.correct_incarnation(TimeMs(5), &Name::from("one"), &Name::from("two"));
    server.apply_report(TimeMs(100), &report("three", ReportedState::Ready, 40));
    assert_eq!(accepting(&server), Some("three"));
}

/// An incarnation that has left gets no work when an answer names it again, nor after its report.
#[rstest]
fn an_incarnation_that_left_stays_left_when_an_answer_names_it() {
    let mut server = started();
    let (one, two) = (Name::from("one"), Name::from("two"));
    server.apply_report(TimeMs(4), &report("two", ReportedState::Left, 9));
    server.correct_incarnation(TimeMs(5), &one, &two);
    assert_eq!((accepting(&server), server.leaving()), (None, Some(&two)));
    server.apply_report(TimeMs(6), &report("two", ReportedState::Ready, 10));
    assert_eq!((accepting(&server), server.leaving()), (None, Some(&two)));
}

/// The first report of a crashed incarnation was delayed until the next one had reported, and replaced
/// it. The next one counted as left for the rest of its life, although its answers named it.
#[rstest]
fn a_delayed_first_report_excludes_the_running_incarnation_only_until_its_next_one() {
    let mut server = started();
    let (crashed, one) = (Name::from("crashed"), Name::from("one"));
    server.apply_report(TimeMs(10), &report("crashed", ReportedState::Ready, 1));
    assert_eq!(accepting(&server), Some("crashed"));
    server.correct_incarnation(TimeMs(20), &crashed, &one);
    assert_eq!((accepting(&server), server.leaving()), (None, None));
    server.apply_report(TimeMs(30), &report("one", ReportedState::Ready, 8));
    assert_eq!(accepting(&server), Some("one"));
    server.apply_report(TimeMs(40), &report("crashed", ReportedState::Ready, 2));
    assert_eq!(
        accepting(&server),
        Some("one"),
        "crashed is recorded as gone"
    );
}

/// While a delayed report had replaced the running incarnation, its departure was acknowledged. A late
/// report from before the departure must not bring it back once an answer names it.
#[rstest]
#[case(ReportedState::Draining)]
#[case(ReportedState::Left)]
fn a_departure_of_a_replaced_incarnation_holds(#[case] state: ReportedState) {
    let mut server = started();
    let (crashed, one) = (Name::from("crashed"), Name::from("one"));
    server.apply_report(TimeMs(10), &report("crashed", ReportedState::Ready, 1));
    server.apply_report(TimeMs(15), &report("one", state, 9));
    server.correct_incarnation(TimeMs(20), &crashed, &one);
    server.apply_report(TimeMs(30), &report("one", ReportedState::Ready, 8));
    assert_eq!((accepting(&server), server.leaving()), (None, Some(&one)));
}

/// Requests for another service are never sent to the backend server.
#[rstest]
fn another_service_is_never_served() {
    assert!(started().accepting_incarnation("t").is_none());
    assert!(
        LocalServer::new(HEARTBEAT_MS)
            .accepting_incarnation("s")
            .is_none()
    );
}

fn report_with_start(started_unix_ms: u64, state: ReportedState, sequence: u64) -> ServerReport {
    ServerReport {
        started_unix_ms: Some(started_unix_ms),
        ..report("one", state, sequence)
    }
}

/// A backend server that has sent 40 reports crashes, refuses a connection, and restarts under the
/// same identifier. Its sequence numbers start again, so its reports must not count as late, or it
/// would get no work.
#[rstest]
fn a_restart_under_the_same_identifier_gets_work() {
    let mut server = LocalServer::new(HEARTBEAT_MS);
    server.apply_report(TimeMs(0), &report_with_start(500, ReportedState::Ready, 40));
    server.mark_down(&Name::from("one"));
    assert_eq!(accepting(&server), None);
    server.apply_report(
        TimeMs(100),
        &report_with_start(900, ReportedState::Ready, 1),
    );
    assert_eq!(accepting(&server), Some("one"));
    server.apply_report(
        TimeMs(150),
        &report_with_start(500, ReportedState::Draining, 41),
    );
    assert_eq!(
        accepting(&server),
        Some("one"),
        "a late report of the run before"
    );
    assert_eq!(server.started_unix_ms(), Some(900));
}

/// The same without start times: a first report after the server was down means that it restarted.
#[rstest]
#[case(1, Some("one"))]
#[case(39, None)]
fn a_restart_without_a_start_time_gets_work(#[case] sequence: u64, #[case] expected: Option<&str>) {
    let mut server = LocalServer::new(HEARTBEAT_MS);
    server.apply_report(TimeMs(0), &report("one", ReportedState::Ready, 40));
    server.mark_down(&Name::from("one"));
    server.apply_report(TimeMs(100), &report("one", ReportedState::Ready, sequence));
    assert_eq!(accepting(&server), expected);
}

/// A backend server leaves and restarts under the same identifier, and its old reports still
/// arrive. The departure holds for the run in which it was reported, also after a restart of the
/// node.
#[rstest]
fn a_departure_ends_with_its_run() {
    let mut server = LocalServer::new(HEARTBEAT_MS);
    server.apply_report(
        TimeMs(0),
        &report_with_start(500, ReportedState::Draining, 40),
    );
    server.apply_report(
        TimeMs(10),
        &report_with_start(500, ReportedState::Ready, 41),
    );
    assert_eq!(accepting(&server), None);
    server.apply_report(TimeMs(20), &report_with_start(900, ReportedState::Ready, 0));
    assert_eq!(accepting(&server), Some("one"));
    let mut restarted = LocalServer::new(HEARTBEAT_MS);
    restarted.mark_gone(&Name::from("one"), Some(500));
    restarted.apply_report(
        TimeMs(30),
        &report_with_start(500, ReportedState::Ready, 42),
    );
    assert_eq!(accepting(&restarted), None);
    restarted.apply_report(TimeMs(40), &report_with_start(900, ReportedState::Ready, 3));
    assert_eq!(accepting(&restarted), Some("one"));
}

/// The first start time was in the future, by a clock that was corrected later. While the server
/// still reports, a report with an earlier start time counts as late. Once it is silent, such a
/// report counts as a restart.
#[rstest]
#[case(100, Some(9_000))]
#[case(5_000, Some(900))]
fn a_clock_set_back_does_not_exclude_a_restarted_server(
    #[case] at_ms: u64,
    #[case] expected: Option<u64>,
) {
    let mut server = LocalServer::new(HEARTBEAT_MS);
    server.apply_report(
        TimeMs(0),
        &report_with_start(9_000, ReportedState::Ready, 40),
    );
    server.apply_report(
        TimeMs(at_ms),
        &report_with_start(900, ReportedState::Ready, 1),
    );
    assert_eq!(server.started_unix_ms(), expected);
    assert_eq!(accepting(&server), Some("one"));
}

/// Until the stored departure is read, a report of readiness could be from before it, so it needs
/// the backend server's confirmation. A departure, a later report of the confirmed incarnation, and
/// a report that was certainly sent after the start do not.
#[rstest]
#[case::first_report("one", ReportedState::Ready, 100, true)]
#[case::departure("one", ReportedState::Left, 100, false)]
#[case::sent_after_the_start("one", ReportedState::Ready, 10_001, false)]
fn reports_are_confirmed_until_the_stored_departure_is_read(
    #[case] incarnation: &str,
    #[case] state: ReportedState,
    #[case] at_ms: u64,
    #[case] expected: bool,
) {
    let mut server = LocalServer::new(HEARTBEAT_MS);
    let received = report(incarnation, state, 7);
    assert!(!server.must_confirm(TimeMs(at_ms), &received));
    server.expect_stored_departure(TimeMs(0));
    assert_eq!(server.must_confirm(TimeMs(at_ms), &received), expected);
    server.apply_report(TimeMs(at_ms), &received);
    assert!(!server.must_confirm(TimeMs(at_ms), &received));
    let other = report("two", ReportedState::Ready, 3);
    let is_early = at_ms <= 10_000;
    assert_eq!(server.must_confirm(TimeMs(at_ms), &other), is_early);
    server.restore_departure(TimeMs(at_ms), None);
    assert!(!server.must_confirm(TimeMs(at_ms), &other));
}

/// The stored departure is read after a late report has made its incarnation the current one. It
/// must end the work of that run, and not of a later one under the same identifier.
#[rstest]
#[case::same_run(500, None)]
#[case::later_run(900, Some("one"))]
fn a_departure_that_is_read_late_holds_for_its_run(
    #[case] started_unix_ms: u64,
    #[case] expected: Option<&str>,
) {
    let mut server = LocalServer::new(HEARTBEAT_MS);
    server.expect_stored_departure(TimeMs(0));
    let late = report_with_start(started_unix_ms, ReportedState::Ready, 42);
    server.apply_report(TimeMs(10), &late);
    assert_eq!(accepting(&server), Some("one"));
    let stored = Departure {
        incarnation: Name::from("one"),
        started_unix_ms: Some(500),
    };
    server.restore_departure(TimeMs(20), Some(stored));
    assert_eq!(accepting(&server), expected);
}
