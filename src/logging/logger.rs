//! The logger behind the `log` crate: filters records, limits their rate and queues them.

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

/// Environment variable that overrides the filter, for example
/// `info,sassafrasgap::membership=debug`.
const FILTER_VARIABLE: &str = "RUST_LOG";
/// How often the number of missing lines is logged, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 5_000;

struct LimiterState {
    rate: EventRate,
    reported_at: TimeMs,
}

struct Logger {
    filter: Filter,
    clock: Clock,
    writer: LogWriter,
    limiter: Mutex<LimiterState>,
}

/// Writes all log records to standard output as JSON lines. `default_filter` applies if `RUST_LOG`
/// is not set. Called once, at the start of the program.
///
/// # Errors
/// When the writing thread cannot be started, or a logger is set already.
pub fn start_logging(default_filter: &str) -> Result<(), LoggingError> {
    let directives = std::env::var(FILTER_VARIABLE).unwrap_or_else(|_| default_filter.to_owned());
    let filter = Builder::new().parse(&directives).build();
    log::set_max_level(filter.filter());
    let logger = Logger {
        filter,
        clock: Clock::new(),
        writer: LogWriter::start(std::io::stdout())?,
        limiter: Mutex::new(LimiterState {
            rate: EventRate::default(),
            reported_at: TimeMs(0),
        }),
    };
    log::set_boxed_logger(Box::new(logger))?;
    Ok(())
}

impl Logger {
    /// Whether the line may be written and, at every report interval, how many were suppressed.
    fn admit(&self, line: &LogLine, is_sampled: bool) -> (bool, Option<u64>) {
        let now = self.clock.now();
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let admitted = is_sampled || limiter.rate.admits(now, &line.event);
        if now.since(limiter.reported_at) < REPORT_INTERVAL_MS {
            return (admitted, None);
        }
        limiter.reported_at = now;
        (admitted, Some(limiter.rate.take_suppressed()))
    }

    fn report_suppressed(&self, suppressed: u64) {
        let dropped = self.writer.take_dropped();
        if suppressed + dropped == 0 {
            return;
        }
        let message = format!("log: lines left out, too_many={suppressed} not_read={dropped}");
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
        let (admitted, suppressed) = self.admit(&line, is_sampled);
        if admitted {
            self.writer.write(line.encode());
        }
        if let Some(suppressed) = suppressed {
            self.report_suppressed(suppressed);
        }
    }

    fn flush(&self) {
        self.writer.flush();
    }
}

fn line(level: &str, module: &str, message: &str) -> LogLine {
    LogLine::new(format!("{:.3}", Timestamp::now()), level, module, message)
}
