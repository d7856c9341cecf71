//! What entries and allowance keepers tell each other.

use serde::Deserialize;
use serde::Serialize;

use crate::accounts::AccountId;

/// What one entry has seen of one account, counted since its process began: a lost report costs nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageCount {
    pub account: AccountId,
    /// Requests that came.
    pub wanted: u32,
    /// Requests that took a part of the allowance, less those that gave it back.
    pub used: i32,
}

/// From an entry to a keeper of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// Tells the reporting process from earlier ones of the same node.
    pub process: u32,
    /// Numbers the reports of a process, so that one which was overtaken is known.
    pub sequence: u32,
    /// Only one keeper of the failure domain is asked to answer.
    #[serde(rename = "wants_word")]
    pub wants_reply: bool,
    /// The accounts with news.
    pub counts: Vec<UsageCount>,
}

/// Which part of an account's requests may be let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdmittedShare {
    pub account: AccountId,
    pub permille: u16,
}

/// From a keeper, in answer to a [`UsageReport`]. Accounts that are not named are far below their allowance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AllowanceReply {
    pub limited: Vec<AdmittedShare>,
}

/// How many requests a second come of an account in a failure domain, in tenths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    pub account: AccountId,
    pub tenths_per_s: u32,
}

/// From a keeper of one failure domain to those of the others: its accounts in use.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainDemands {
    pub demands: Vec<Demand>,
}

/// Any of them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AllowanceMessage {
    Report(UsageReport),
    #[serde(rename = "Word")]
    Reply(AllowanceReply),
    Domain(DomainDemands),
}
