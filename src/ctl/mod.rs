//! The operators' tool: checks files, publishes presets, switches the one in force, shows status
//! and drains ([docs/OPERATIONS.md](../../docs/OPERATIONS.md)).

mod arguments;
mod check;
mod cli;
mod drain;
mod exit;
mod http_operator;
mod log_files;
mod output;
mod presets;
mod publish;
mod reasons;
mod status;
mod status_report;
mod status_table;
mod story;
mod switch;
mod text_table;

pub use arguments::CtlArguments;
pub use check::CheckedFile;
pub use check::FileKind;
pub use check::check_files;
pub use cli::main_with;
pub use exit::Exit;
pub use status_report::NodeLine;
pub use status_report::StatusReport;
pub use text_table::text_table;
