//! Runs non-idempotent calls with a caller's key at most once. The keys of a service are divided
//! into slots. Each slot has one owner, whose ledger records the keys that ran. The claims of a
//! node are the slots that it owns, the lease that lets it use them, and its ledger.
//!
//! The argument is in [docs/AT_MOST_ONCE.md](../../docs/AT_MOST_ONCE.md).

mod boot;
mod driver;
mod fair_share;
mod held_slots;
mod lease_action;
mod lease_conf;
mod lease_manager;
mod lease_peers;
mod lease_rows;
mod ledger;
mod ledger_entry;
mod ledger_moves;
mod member_calls;
mod pause_detector;
mod promises;
mod resend_limits;
mod row_plan;
mod shared_ledger;
mod slot;
mod slot_lease;
mod slot_map;
mod slot_router;
mod slot_table;
mod window_tracker;

pub use boot::boot_fingerprint;
pub use driver::Claims;
pub use driver::ClaimsPorts;
pub use driver::ClaimsSettings;
pub use driver::LocalService;
pub use lease_action::Action;
pub use lease_action::NodeConditions;
pub use lease_action::ReadResult;
pub use lease_action::WriteResult;
pub use lease_conf::LeaseConf;
pub use lease_conf::LeaseTerms;
pub use lease_manager::Identity;
pub use lease_manager::LeaseManager;
pub use ledger::KeyDecision;
pub use ledger::KeyedCall;
pub use ledger::Ledger;
pub use ledger::LedgerBounds;
pub use ledger_entry::KeyOutcome;
pub use ledger_entry::KeyState;
pub use ledger_entry::LedgerEntry;
pub use ledger_entry::LedgerTransfer;
pub use ledger_entry::MovedKey;
pub use ledger_entry::MovedSlot;
pub use ledger_entry::MovedState;
pub use ledger_entry::TransferSource;
pub use ledger_entry::TransferTarget;
pub use ledger_moves::KeyUpdate;
pub use pause_detector::PauseDetector;
pub use resend_limits::ResendLimits;
pub use shared_ledger::KeyedAdmission;
pub use shared_ledger::KeyedCallOutcome;
pub use shared_ledger::RunTicket;
pub use shared_ledger::SharedLedger;
pub use slot::MAX_IDEMPOTENCY_KEY_BYTES;
pub use slot::SLOT_COUNT;
pub use slot::slot_of;
pub use slot_lease::HeldSlot;
pub use slot_lease::OtherOwner;
pub use slot_lease::SlotLease;
pub use slot_map::Intent;
pub use slot_map::Member;
pub use slot_map::SlotEntry;
pub use slot_map::SlotMap;
pub use slot_router::SlotRouter;
pub use slot_router::allows_immediate_resend;
pub use slot_router::run_state_at_entry;
pub use window_tracker::WindowTracker;
