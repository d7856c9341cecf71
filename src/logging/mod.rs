//! The structured log of the long-running programs: one JSON object a line on standard output,
//! written by a separate thread, so that no request waits for it. Events and fields are listed in
//! [docs/OPERATIONS.md](../../docs/OPERATIONS.md).

mod event_rate;
mod log_line;
mod log_writer;
mod logger;
mod sampling;

pub use event_rate::EventRate;
pub use log_line::LogLine;
pub use log_writer::LogWriter;
pub use logger::start_logging;
pub use sampling::SAMPLED;
pub use sampling::is_sampled;
