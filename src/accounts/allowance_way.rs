//! How an account's allowance is divided among the nodes.

/// The ways that are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AllowanceWay {
    /// Nothing is bounded.
    Unbounded,
    /// Each node has the same share, whatever comes there.
    EqualShares,
    /// Nodes let in a part of what comes, told by a keeper of their failure domain.
    #[default]
    FollowDemand,
}
