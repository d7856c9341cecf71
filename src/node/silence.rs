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
use crate::core::TimeMs;
use crate::node::Node;
use crate::node::attempts::KEEP_ENDED_MS;

/// An answer is overdue after this multiple of what answers of the target take.
const OVERDUE_FACTOR: u64 = 3;
/// The longest pause between two questions.
const LONGEST_PAUSE_MS: u64 = 4_000;
/// How long an answer that has left the guard may take to arrive.
const ARRIVAL_MS: u64 = 200;

/// What the guard says of an attempt whose answer is overdue.
pub(super) enum Silence {
    /// It was not seen, and will be refused if it still arrives.
    NeverSeen,
    /// It ended; this was the answer.
    Answered(KeptAnswer),
    /// It ended, but the answer is not kept.
    AnswerGone,
    /// The guard cannot be asked either.
    NobodyThere,
}

/// Waits until the answer is overdue and then asks, again and again while the call is in progress.
/// While the guard cannot be asked, a call that must not be given up is waited for until its
/// deadline: its answer may still come.
pub(super) async fn watch(
    node: &Node,
    target: &Target,
    attempt: AttemptId,
    may_give_up: bool,
) -> Silence {
    let sent_at = node.inputs.clock.now();
    let usual_ms = node.targets.usual_latency_ms(&target.node);
    let mut pause_ms = node.settings.silence_ms.max(usual_ms * OVERDUE_FACTOR);
    loop {
        sleep(Duration::from_millis(pause_ms)).await;
        node.metrics.attempt_questions.inc();
        match (node.inputs.ask_attempt)(target.control_address, attempt).await {
            Ok(AttemptStatus::NeverSeen) if is_remembered(node, sent_at) => {
                return Silence::NeverSeen;
            }
            Ok(AttemptStatus::NeverSeen) => return Silence::NobodyThere,
            Ok(AttemptStatus::Done(answer)) => return Silence::Answered(answer),
            Ok(AttemptStatus::DoneWithoutAnswer) => {
                sleep(Duration::from_millis(ARRIVAL_MS)).await;
                return Silence::AnswerGone;
            }
            Ok(AttemptStatus::InProgress) => {}
            Err(error) => {
                log::debug!("entry: no word of an attempt, attempt={attempt} error={error}");
                if may_give_up {
                    return Silence::NobodyThere;
                }
            }
        }
        pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
    }
}

/// Guards against a guard that has forgotten the attempt, after this process was paused or the
/// answer was long under way: the attempt would be sent again and run twice. It holds because
/// ended attempts are remembered for longer than this.
fn is_remembered(node: &Node, sent_at: TimeMs) -> bool {
    node.inputs.clock.now().since(sent_at) < KEEP_ENDED_MS * 4 / 5
}
