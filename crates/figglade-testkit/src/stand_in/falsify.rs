//! Makes good answers wrong.

use figglade::{AttemptId, IndexVersion, ShardId, wire::SearchReply};

use super::settings::AnswerFault;

/// Makes the answer of a search wrong where the fault asks for it.
pub(super) fn falsify_reply(reply: SearchReply, fault: AnswerFault) -> SearchReply {
    match fault {
        AnswerFault::WrongAttempt => {
            SearchReply { attempt_id: other_attempt(reply.attempt_id), ..reply }
        }
        AnswerFault::WrongVersion => {
            SearchReply { version: IndexVersion::new(reply.version.get() + 1), ..reply }
        }
        AnswerFault::WrongShard => {
            SearchReply { shard: ShardId::new(reply.shard.get() + 1), ..reply }
        }
        AnswerFault::DoubledHits => {
            let hits = reply.hits.iter().flat_map(|hit| [hit.clone(), hit.clone()]).collect();
            SearchReply { hits, ..reply }
        }
        _ => reply,
    }
}

/// Returns the identifier of an attempt that was never made.
pub(super) const fn other_attempt(attempt: AttemptId) -> AttemptId {
    AttemptId::new(attempt.get() ^ 1)
}
