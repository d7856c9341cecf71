//! Finding out what became of an attempt when nothing comes on its connection any more.
//!
//! Guards against connections that go silent for good while new ones work. A call on one would
//! end at its deadline, and nobody could say whether it ran. It shows as an answer that is overdue.
//! The question goes to the guard's control address, which is another connection, and the guard
//! revokes what it has not seen (see [`crate::node::Attempts`]).

use std::time::Duration;

use tokio::time::sleep;

use crate::control::AttemptStatus;
use crate::control::KeptAnswer;
use crate::core::AttemptId;
use crate::core::Target;
use crate::node::Node;

/// An answer is overdue after this multiple of what answers of the target take.
const OVERDUE_FACTOR: u64 = 3;
/// The longest pause between two questions.
const MAX_PAUSE_MS: u64 = 4_000;
/// How long an answer that has left the guard may take to arrive.
const ANSWER_TRANSIT_MS: u64 = 200;

/// Two clocks differ by at most one part in this.
const CLOCK_DRIFT_DIVISOR: u64 = 50;
/// Both clocks count whole milliseconds.
const CLOCK_RESOLUTION_MS: u64 = 2;

/// What the guard says of an attempt whose answer is overdue.
pub(super) enum OverdueStatus {
    /// It was not seen, and will be refused if it still arrives.
    NeverSeen,
    /// It ended; this was the answer.
    Answered(KeptAnswer),
    /// It ended, but the answer is not kept.
    AnswerNotKept,
    /// The guard does not remember so far back: it may have run the call.
    Forgotten,
    /// The guard cannot be asked either.
    Unreachable,
}

/// Waits until the answer is overdue and then asks, again and again while the call is in progress.
/// While the guard cannot be asked, a call that must not be given up is waited for until its
/// deadline: its answer may still come.
pub(super) async fn watch_overdue(
    node: &Node,
    target: &Target,
    attempt: AttemptId,
    may_give_up: bool,
) -> OverdueStatus {
    let sent_at = node.inputs.clock.now();
    let usual_ms = node.targets.usual_latency_ms(&target.node);
    let mut pause_ms = node.settings.silence_ms.max(usual_ms * OVERDUE_FACTOR);
    loop {
        sleep(Duration::from_millis(pause_ms)).await;
        node.metrics.attempt_questions.inc();
        match (node.inputs.ask_attempt)(target.control_address, attempt).await {
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
                log::debug!("entry: no word of an attempt, attempt={attempt} error={error}");
                if may_give_up {
                    return OverdueStatus::Unreachable;
                }
            }
        }
        pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
    }
}

/// Believes that an attempt sent `sent_ms` ago was never seen only if the guard's memory reaches
/// back beyond it, though the two clocks may run at slightly different speeds.
fn never_seen(sent_ms: u64, complete_for_ms: u64) -> OverdueStatus {
    if complete_for_ms > sent_ms + sent_ms / CLOCK_DRIFT_DIVISOR + CLOCK_RESOLUTION_MS {
        OverdueStatus::NeverSeen
    } else {
        OverdueStatus::Forgotten
    }
}
