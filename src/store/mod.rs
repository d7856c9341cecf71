//! The port to a store of rows that outlives all processes: reads, conditional transactions and a
//! feed of changes, whoever provides it.
//!
//! An implementation only speaks a store's protocol. What has to be right whatever the store is
//! stands here once: reading anew when the history is gone, pauses after failures, and finding out
//! what became of a write whose answer was lost.

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
pub use row_writer::WriteOutcome;
pub use row_writer::RowWriter;
pub use rows::Changes;
pub use rows::RowChange;
pub use rows::RowName;
pub use rows::RowPut;
pub use rows::RowsRead;
pub use rows::StoredRow;
pub use rows::key_after;
pub use store_rates::StoreRates;
pub use store_rates::part_name;
pub use table_watch::TableChanges;
pub use table_watch::TableWatch;
pub use table_watch::Backoff;
