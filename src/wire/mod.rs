//! HTTP headers between callers, nodes and backend servers: their names and values.
//! The protocol between nodes is described in [docs/PROTOCOL.md](../../docs/PROTOCOL.md).

mod advertisement;
mod answer_header;
mod call_header;
mod codec;
mod header_advertisement;
pub mod headers;
mod hop_answer;
mod hop_call;
mod owner_hint;

pub use advertisement::Advertisement;
pub use answer_header::AnswerHeader;
pub use answer_header::LoadReport;
pub use call_header::CallHeader;
pub use codec::PROTOCOL_VERSION;
pub use header_advertisement::HeaderAdvertisement;
pub use header_advertisement::advertised_rate;
pub use hop_answer::HopAnswer;
pub use hop_call::CallAccount;
pub use hop_call::HopCall;
pub use owner_hint::OwnerHint;
