//! Messages between entries and allowance coordinators.

use serde::Deserialize;
use serde::Serialize;

use crate::accounts::AccountId;

/// The requests of one account at one entry. The counts are totals since the process started, so
/// the next report makes up for a lost one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageCount {
    pub account: AccountId,
    /// Requests that arrived.
    pub wanted: u32,
    /// Requests that used the allowance, less those refunded.
    pub used: i32,
}

/// A usage report from an entry to a coordinator of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// Distinguishes the reporting process from earlier ones of the same node.
    pub process: u32,
    /// Sequence number within the process, so that a report that arrives out of order is detected.
    pub sequence: u32,
    /// Whether the coordinator has to reply. An entry wants replies from only one coordinator of
    /// its failure domain, as long as that one replies.
    #[serde(rename = "wants_word")]
    pub wants_reply: bool,
    /// The accounts whose counts changed.
    pub counts: Vec<UsageCount>,
}

/// The fraction of an account's requests to admit, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdmittedFraction {
    pub account: AccountId,
    pub permille: u16,
}

/// A coordinator's reply to a [`UsageReport`]. Accounts that are not listed are far below their
/// allowance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AllowanceReply {
    pub limited: Vec<AdmittedFraction>,
}

/// Requests per second of an account in a failure domain, in tenths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    pub account: AccountId,
    pub tenths_per_s: u32,
}

/// Sent by a coordinator of one failure domain to those of the others: the demand of each account
/// in use.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainDemands {
    pub demands: Vec<Demand>,
}

/// Any message about allowances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AllowanceMessage {
    Report(UsageReport),
    #[serde(rename = "Word")]
    Reply(AllowanceReply),
    Domain(DomainDemands),
}
