//! The stand-in backend server of tests and demos: it queues, slows down, sheds, drains, misleads
//! and crashes on request, and counts what it ran. No part of the product.

mod announcer;
mod answer;
mod archive;
mod backend;
mod backend_settings;
mod behaviour;
mod call;
mod children;
mod life;
mod load_report;
mod run_book;
mod run_record;
mod server;
mod service_time;
mod slots;

pub use answer::Answer;
pub use answer::ChildAnswer;
pub use answer::ChildFailure;
pub use answer::Failure;
pub use archive::is_archive_part;
pub use backend::Backend;
pub use backend_settings::ArchiveSettings;
pub use backend_settings::BackendSettings;
pub use backend_settings::ChildCall;
pub use backend_settings::RouteSettings;
pub use behaviour::Behaviour;
pub use behaviour::BehaviourChange;
pub use behaviour::LoadMode;
pub use life::Announcement;
pub use life::LifeState;
pub use load_report::BackendLoad;
pub use run_book::RunBook;
pub use run_record::RunCounters;
pub use run_record::RunEvent;
pub use run_record::RunList;
pub use run_record::RunRecord;
pub use server::run_backend;
pub use service_time::Distribution;
pub use service_time::ServiceTime;
