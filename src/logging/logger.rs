//! The `log` crate's records on their way to the writer.

use std::sync::Mutex;
use std::sync::PoisonError;

use env_filter::Builder;
use env_filter::Filter;
use jiff::Timestamp;
use log::Log;
use log::Metadata;
use log::Record;

use crate::core::Clock;
use crate::core::TimeMs;
use crate::errors::LoggingError;
use crate::logging::EventRate;
use crate::logging::LogLine;
use crate::logging::LogWriter;
use crate::logging::SAMPLED;

/// Overrides which lines are written, for example `info,sassafrasgap::membership=debug`.
const VARIABLE: &str = "RUST_LOG";
/// How often it is told what was left out, in milliseconds.
const TELL_LEFT_OUT_MS: u64 = 5_000;

struct Bounds {
    rate: EventRate,
    told_at: TimeMs,
}

struct Logger {
    filter: Filter,
    clock: Clock,
    writer: LogWriter,
    bounds: Mutex<Bounds>,
}

/// Sends all that the program logs to standard output, as JSON lines. `default_filter` holds where the
/// environment says nothing. Called once, at the start.
///
/// # Errors
/// When the writing thread cannot be started, or a logger is set already.
pub fn start_logging(default_filter: &str) -> Result<(), LoggingError> {
    let wanted = std::env::var(VARIABLE).unwrap_or_else(|_| default_filter.to_owned());
    let filter = Builder::new().parse(&wanted).build();
    log::set_max_level(filter.filter());
    let logger = Logger {
        filter,
        clock: Clock::new(),
        writer: LogWriter::start(std::io::stdout())?,
        bounds: Mutex::new(Bounds {
            rate: EventRate::default(),
            told_at: TimeMs(0),
        }),
    };
    log::set_boxed_logger(Box::new(logger))?;
    Ok(())
}

impl Logger {
    /// Whether the line may be written; now and then also how many were left out so far.
    fn admit(&self, line: &LogLine, is_sampled: bool) -> (bool, Option<u64>) {
        let now = self.clock.now();
        let mut bounds = self.bounds.lock().unwrap_or_else(PoisonError::into_inner);
        let admitted = is_sampled || bounds.rate.admits(now, &line.event);
        if now.since(bounds.told_at) < TELL_LEFT_OUT_MS {
            return (admitted, None);
        }
        bounds.told_at = now;
        (admitted, Some(bounds.rate.take_suppressed()))
    }

    fn tell_left_out(&self, left_out: u64) {
        let dropped = self.writer.take_dropped();
        if left_out + dropped == 0 {
            return;
        }
        let message = format!("log: lines left out, too_many={left_out} not_read={dropped}");
        self.writer.write(line("warn", "log", &message).encode());
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == SAMPLED || self.filter.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        let is_sampled = record.target() == SAMPLED;
        if !is_sampled && !self.filter.matches(record) {
            return;
        }
        let level = record.level().as_str().to_ascii_lowercase();
        let line = line(&level, record.target(), &record.args().to_string());
        let (admitted, left_out) = self.admit(&line, is_sampled);
        if admitted {
            self.writer.write(line.encode());
        }
        if let Some(left_out) = left_out {
            self.tell_left_out(left_out);
        }
    }

    fn flush(&self) {
        self.writer.flush();
    }
}

fn line(level: &str, module: &str, message: &str) -> LogLine {
    LogLine::new(format!("{:.3}", Timestamp::now()), level, module, message)
}
