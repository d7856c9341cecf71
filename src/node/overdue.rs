//! Queries the outcome of an attempt whose answer is overdue.
//!
//! Connections can become half-open for good while new ones work. Without a query, a call on such a
//! connection would end at its deadline, and whether it ran would be unknown. The query goes to the
//! guard's control address over another connection, and the guard revokes an attempt that it has
//! not seen (see [`crate::node::Attempts`]).

use std::time::Duration;

use tokio::time::sleep;

use crate::control::AttemptStatus;
use crate::control::KeptAnswer;
use crate::core::AttemptId;
use crate::core::Target;
use crate::node::Node;

/// An answer is overdue after this multiple of the target's usual latency.
const OVERDUE_FACTOR: u64 = 3;
/// The maximum pause between two queries, in milliseconds.
const MAX_PAUSE_MS: u64 = 4_000;
/// How long an answer that has left the guard may take to arrive, in milliseconds.
const ANSWER_TRANSIT_MS: u64 = 200;

/// The assumed maximum drift between two clocks is the elapsed time divided by this, which is 2%.
const CLOCK_DRIFT_DIVISOR: u64 = 50;
/// The resolution of both clocks, in milliseconds.
const CLOCK_RESOLUTION_MS: u64 = 2;

/// The guard's report on an attempt whose answer is overdue.
pub(super) enum OverdueStatus {
    /// The attempt was not seen, and will be refused if it still arrives.
    NeverSeen,
    /// The attempt ended with this answer.
    Answered(KeptAnswer),
    /// The attempt ended, but its answer is not kept.
    AnswerNotKept,
    /// The attempt was not seen, but the guard's record does not reach back to its sending, so the
    /// call may have run.
    Forgotten,
    /// The guard cannot be reached for the query either.
    Unreachable,
}

/// Waits until the answer is overdue and then queries the guard repeatedly while the call is in
/// progress. If the guard is unreachable, this returns at once if the call `may_abandon`. Otherwise
/// the queries go on until the deadline, since the answer may still come.
pub(super) async fn watch_overdue(
    node: &Node,
    target: &Target,
    attempt: AttemptId,
    may_abandon: bool,
) -> OverdueStatus {
    let sent_at = node.inputs.clock.now();
    let usual_ms = node.targets.usual_latency_ms(&target.node);
    let mut pause_ms = node.settings.silence_ms.max(usual_ms * OVERDUE_FACTOR);
    loop {
        sleep(Duration::from_millis(pause_ms)).await;
        node.metrics.attempt_questions.inc();
        match (node.inputs.query_attempt)(target.control_address, attempt).await {
            Ok(AttemptStatus::NeverSeen { complete_for_ms }) => {
                return never_seen(node.inputs.clock.now().since(sent_at), complete_for_ms);
            }
            Ok(AttemptStatus::Done(answer)) => return OverdueStatus::Answered(answer),
            Ok(AttemptStatus::DoneWithoutAnswer) => {
                sleep(Duration::from_millis(ANSWER_TRANSIT_MS)).await;
                return OverdueStatus::AnswerNotKept;
            }
            Ok(AttemptStatus::InProgress) => {}
            Err(error) => {
                log::debug!("entry: cannot query an attempt, attempt={attempt} error={error}");
                if may_abandon {
                    return OverdueStatus::Unreachable;
                }
            }
        }
        pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
    }
}

/// Accepts that an attempt sent `sent_ms` ago was never seen only if the guard's record reaches
/// back beyond it, allowing for clock drift.
fn never_seen(sent_ms: u64, complete_for_ms: u64) -> OverdueStatus {
    if complete_for_ms > sent_ms + sent_ms / CLOCK_DRIFT_DIVISOR + CLOCK_RESOLUTION_MS {
        OverdueStatus::NeverSeen
    } else {
        OverdueStatus::Forgotten
    }
}
