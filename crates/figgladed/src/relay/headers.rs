//! The headers that requests and answers carry for this tier.

use std::time::Duration;

use bytes::Bytes;
use figglade::filter::scatter::AttemptEnd;

use crate::http1::{RequestHead, ResponseHead};

/// The names of the headers, in lower case; the platform's adapter provides them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifies a request; targets repeat it in their answers.
    pub request_id: &'static str,
    /// The time that the receiver has left, in milliseconds.
    pub time_left: &'static str,
    /// Names the target that a request is meant for.
    pub intended_target: &'static str,
    /// Proves that a target made an answer.
    pub answer_proof: &'static str,
    /// Says that a target did not run a request.
    pub not_run: &'static str,
    /// Says that a target is leaving and takes no new requests.
    pub leaving: &'static str,
    /// The proofs of the shards whose records an answer holds.
    pub shard_proofs: &'static str,
    /// The number of shards that are missing from an answer.
    pub missing_shards: &'static str,
    /// The key of a caller; never sent to targets.
    pub caller_key: &'static str,
    /// Names the customer of a request to its target.
    pub customer: &'static str,
}

/// The header values of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHead {
    /// The identifier of the request.
    pub request_id: Option<Bytes>,
    /// How long the caller waits; `None` if it does not say.
    pub time_left: Option<Duration>,
    /// The key of the caller; `None` if it sent none, or more than one.
    pub key: Option<Bytes>,
}

/// The status and header values of a target's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AnswerMetadata {
    /// The identifier of the request that it answers, if it names one.
    pub(super) request_id: Option<Bytes>,
    /// The proof of the target.
    pub(super) proof: Option<Bytes>,
    /// Whether the target says that it did not run the request.
    pub(super) is_not_run: bool,
    /// Whether the target says that it is leaving.
    pub(super) is_leaving: bool,
    /// The back-off that the target asks for when it turns a request away.
    pub(super) backoff: BackoffRequest,
    pub(super) status: u16,
}

/// The request of a target to be sent nothing for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackoffRequest {
    /// The answer asks for no back-off.
    None,
    /// The target is to be sent nothing for this long.
    For(Duration),
    /// The value cannot be read or is implausibly long; it is ignored.
    Invalid,
}

/// The status with which a target rejects a request that is meant for another target.
const MISDIRECTED: u16 = 421;
/// The status with which a target turns a request away.
const UNAVAILABLE: u16 = 503;
/// The header in which a target that turns a request away says for how long, in seconds.
const RETRY_AFTER: &str = "retry-after";
/// The longest back-off that is taken for a value and not for an error of the target.
const MAX_PLAUSIBLE_BACKOFF: Duration = Duration::from_secs(24 * 60 * 60);

impl HeaderNames {
    /// Reads the head of a request.
    pub fn read_caller(&self, head: &RequestHead) -> CallerHead {
        let millis = head.headers.text(self.time_left).and_then(|text| text.trim().parse().ok());
        let mut keys = head.headers.all(self.caller_key);
        let key = keys.next().filter(|_| keys.next().is_none());
        CallerHead {
            request_id: head.headers.get(self.request_id).cloned(),
            time_left: millis.map(Duration::from_millis),
            key: key.cloned(),
        }
    }

    /// Reads the head of an answer.
    pub(super) fn read_answer(&self, head: &ResponseHead) -> AnswerMetadata {
        AnswerMetadata {
            request_id: head.headers.get(self.request_id).cloned(),
            proof: head.headers.get(self.answer_proof).cloned(),
            is_not_run: head.headers.get(self.not_run).is_some(),
            is_leaving: head.headers.text(self.leaving).is_some_and(|text| text.trim() == "1"),
            backoff: BackoffRequest::read(head),
            status: head.status,
        }
    }

    /// Returns whether this tier sets the header itself on requests to targets.
    pub(super) fn is_own(&self, name: &[u8]) -> bool {
        is_any(name, &[self.time_left, self.intended_target])
    }

    /// Returns whether the header says to which customer a request belongs. Targets get what this
    /// tier found out instead of what the caller sent.
    pub(super) fn is_identity(&self, name: &[u8]) -> bool {
        is_any(name, &[self.caller_key, self.customer])
    }
}

fn is_any(name: &[u8], headers: &[&str]) -> bool {
    headers.iter().any(|held| name.eq_ignore_ascii_case(held.as_bytes()))
}

impl BackoffRequest {
    fn read(head: &ResponseHead) -> Self {
        let Some(value) = head.headers.get(RETRY_AFTER) else { return Self::None };
        if head.status != UNAVAILABLE {
            return Self::None;
        }
        let text = std::str::from_utf8(value).unwrap_or_default();
        let seconds = text.trim().parse().ok();
        let delay = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        match delay {
            Some(delay) if delay <= MAX_PLAUSIBLE_BACKOFF => Self::For(delay),
            _ => Self::Invalid,
        }
    }
}

impl AnswerMetadata {
    /// Returns whether another target than the intended one answered.
    pub(super) const fn is_misdirected(&self) -> bool {
        self.status == MISDIRECTED
    }

    /// Returns how an attempt ended that received this answer completely. Where records are merged,
    /// only a success is an answer; elsewhere a target's own rejection of the request is one too.
    pub(super) const fn end(&self, is_part: bool) -> AttemptEnd {
        if self.is_misdirected() {
            return AttemptEnd::Misdirected;
        }
        if self.is_not_run {
            return AttemptEnd::Refused;
        }
        let is_success = self.status >= 200 && self.status < 300;
        if self.proof.is_none() {
            return if is_success { AttemptEnd::Lost } else { AttemptEnd::Failed };
        }
        if is_success || !is_part && self.status < 500 {
            AttemptEnd::Answered
        } else {
            AttemptEnd::Failed
        }
    }
}
