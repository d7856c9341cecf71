//! Non-idempotent calls with a caller's key run at most once: slots of keys, their owners, and the
//! owners' ledgers. The argument is in [docs/AT_MOST_ONCE.md](../../docs/AT_MOST_ONCE.md).

mod holding;
mod ledger;
mod ledger_entry;
mod pause_watch;
mod resend_limits;
mod shared_ledger;
mod slot;
mod slot_map;
mod slot_router;

pub use holding::HeldSlot;
pub use holding::Holding;
pub use holding::OtherOwner;
pub use ledger::Begin;
pub use ledger::KeyedCall;
pub use ledger::LateNews;
pub use ledger::Ledger;
pub use ledger::LedgerBounds;
pub use ledger_entry::Giver;
pub use ledger_entry::KeyOutcome;
pub use ledger_entry::KeyState;
pub use ledger_entry::LedgerEntry;
pub use ledger_entry::LedgerTransfer;
pub use ledger_entry::MovedKey;
pub use ledger_entry::MovedSlot;
pub use ledger_entry::MovedState;
pub use ledger_entry::MovedTo;
pub use pause_watch::PauseWatch;
pub use resend_limits::ResendLimits;
pub use shared_ledger::Admitted;
pub use shared_ledger::RunTicket;
pub use shared_ledger::Settled;
pub use shared_ledger::SharedLedger;
pub use slot::LONGEST_KEY_BYTES;
pub use slot::SLOTS;
pub use slot::slot_of;
pub use slot_map::Intent;
pub use slot_map::Member;
pub use slot_map::SlotEntry;
pub use slot_map::SlotMap;
pub use slot_router::SlotRouter;
pub use slot_router::helps_to_resend;
pub use slot_router::run_state_at_entry;
