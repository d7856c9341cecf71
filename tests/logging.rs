//! The structured log: lines, rate limits, and a reader that stops reading.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use rstest::rstest;
use sassafrasgap::core::TimeMs;
use sassafrasgap::logging::EventRate;
use sassafrasgap::logging::LogLine;
use sassafrasgap::logging::LogWriter;
use sassafrasgap::logging::is_sampled;

fn line(message: &str) -> LogLine {
    LogLine::new(
        "2026-01-01T00:00:00.000Z".into(),
        "info",
        "a::traffic",
        message,
    )
}

/// Messages of the form used throughout the program are parsed into part, event and fields.
#[rstest]
#[case("entry: refused, request=a1 took_ms=12", "entry", "refused", &[("request", "a1"), ("took_ms", "12")])]
#[case("store: lost, error=no answer: not within 5 ms", "store", "lost", &[("error", "no answer: not within 5 ms")])]
#[case("gossip: raise own incarnation held=12", "gossip", "raise own incarnation", &[("held", "12")])]
#[case("node: stops", "node", "stops", &[])]
#[case("something else, said freely", "traffic", "something else, said freely", &[])]
#[case("Mixed Case: x, a=1", "traffic", "Mixed Case: x", &[("a", "1")])]
fn messages_are_parsed(
    #[case] message: &str,
    #[case] part: &str,
    #[case] event: &str,
    #[case] fields: &[(&str, &str)],
) {
    let line = line(message);
    assert_eq!((&*line.part, &*line.event), (part, event));
    assert_eq!(line.fields.len(), fields.len());
    for (name, value) in fields {
        assert_eq!(line.field(name).as_deref(), Some(*value));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever a message contains, it is encoded as one line and parsed back unchanged.
    #[test]
    fn every_line_reads_back(message in "\\PC{0,80}", prefix in "[a-z0-9. -]{0,20}") {
        let written = line(&message).encode();
        prop_assert!(!written.contains('\n'));
        let read = LogLine::parse(&format!("{prefix}{written}"));
        prop_assert_eq!(read, Some(line(&message)));
    }
}

/// Lines of other programs and truncated lines are not parsed.
#[rstest]
#[case("")]
#[case("listening on port 80")]
#[case("{\"ts\":\"2026\"")]
#[case("{\"ts\":\"2026\",\"level\":\"info\"}")]
fn other_lines_are_skipped(#[case] text: &str) {
    assert_eq!(LogLine::parse(text), None);
}

/// An overload refuses thousands of requests a second for one reason. A burst of these lines is
/// logged, then a few a second. Other events are still logged, and suppressed lines are counted.
#[rstest]
fn one_event_does_not_fill_the_log() {
    let mut rate = EventRate::default();
    let mut admitted = 0;
    for call in 0..10_000_u64 {
        admitted += u64::from(rate.admits(TimeMs(call), "refused"));
        if call % 1_000 == 0 {
            assert!(rate.admits(TimeMs(call), "in force"));
        }
    }
    assert!((90..=110).contains(&admitted), "{admitted}");
    assert_eq!(rate.take_suppressed(), 10_000 - admitted);
    assert_eq!(rate.take_suppressed(), 0);
}

#[rstest]
fn about_one_request_in_64_is_sampled() {
    let sampled = (0..64_000_u32).filter(|id| is_sampled(&format!("{id:016x}")));
    let sampled = sampled.count();
    assert!((800..=1_200).contains(&sampled), "{sampled}");
}

/// A pipe whose reader has stopped: a write blocks for an hour.
struct StoppedPipe;

impl Write for StoppedPipe {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_secs(3_600));
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The log collector stops reading. Writers must not block: lines that do not fit in the queue are
/// dropped and counted, and the end of the program does not wait for them.
#[rstest]
fn a_stopped_reader_does_not_block_writers() {
    let writer = LogWriter::start(StoppedPipe).unwrap();
    let started = Instant::now();
    for number in 0..50_000 {
        writer.write(format!("line {number}"));
    }
    writer.flush();
    // A write that waited for the pipe would wait for an hour.
    assert!(started.elapsed() < Duration::from_secs(30));
    assert!(writer.take_dropped() > 40_000);
}

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines queued before a flush are written in order when it returns.
#[rstest]
fn a_flush_writes_queued_lines() {
    let buffer = SharedBuffer::default();
    let writer = LogWriter::start(buffer.clone()).unwrap();
    for number in 0..100 {
        writer.write(format!("line {number}"));
    }
    let waited = Instant::now();
    while buffer.0.lock().unwrap().is_empty() || waited.elapsed() < Duration::from_millis(1) {
        writer.flush();
        assert!(waited.elapsed() < Duration::from_secs(30));
    }
    writer.flush();
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    let expected: Vec<String> = (0..100).map(|number| format!("line {number}")).collect();
    assert_eq!(text.lines().collect::<Vec<_>>(), expected);
}
