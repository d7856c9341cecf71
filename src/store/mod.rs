//! The port to a durable row store: reads, conditional writes and a change feed.
//!
//! An implementation covers only the protocol of one store. The rules that hold for every store are
//! implemented here once: rereading a table when the history is gone, backoff after failures, and
//! reading a row back after a write whose answer was lost.

mod answered;
mod counted_store;
mod era_store;
mod era_watch;
mod port;
mod row_writer;
mod rows;
mod store_rates;
mod table_watch;

pub use answered::Answered;
pub use counted_store::CountedStore;
pub use counted_store::StoreCounters;
pub use era_store::EraStore;
pub use era_watch::EraWatch;
pub use port::Store;
pub use port::StoreCall;
pub use row_writer::RowWriter;
pub use row_writer::WriteOutcome;
pub use rows::Changes;
pub use rows::RowChange;
pub use rows::RowName;
pub use rows::RowPut;
pub use rows::RowsRead;
pub use rows::StoredRow;
pub use rows::key_after;
pub use store_rates::StoreRates;
pub use store_rates::part_name;
pub use table_watch::Backoff;
pub use table_watch::TableChanges;
pub use table_watch::TableWatch;
