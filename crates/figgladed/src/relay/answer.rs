//! Answers of targets and their delivery to the requests that wait for them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::{BufMut, Bytes, BytesMut};
use figglade::{
    controller::route_set::ShardPlan,
    filter::{
        ranked::merge_ranked,
        scatter::{AttemptEnd, AttemptTicket, ReplicaState},
    },
};
use tokio::sync::Notify;

use super::{headers::AnswerMetadata, link::TargetLink, search_message::MergedAnswer};
use crate::http1::ResponseHead;

/// The buffer capacity reserved for the proof of one shard, in bytes.
const PROOF_BYTES: usize = 40;

/// A complete answer of a target.
#[derive(Clone, Debug)]
pub(super) struct TargetAnswer {
    pub(super) head: ResponseHead,
    pub(super) metadata: AnswerMetadata,
    pub(super) body: Bytes,
}

/// Merges the records of the shards that answered with those that another instance already merged,
/// and lists the proofs of all these shards.
pub(super) fn merge_answers(
    plan: &ShardPlan,
    answers: &[TargetAnswer],
    merged: Option<&MergedAnswer>,
    missing: usize,
) -> MergedAnswer {
    let parts = answers.iter().map(|answer| &answer.body);
    let parts = parts.chain(merged.map(|merged| &merged.records));
    let records = merge_ranked(parts.map(|part| &part[..]), plan.top_records);
    let mut proofs = BytesMut::with_capacity(plan.services.len() * PROOF_BYTES);
    let named = answers.iter().filter_map(|answer| answer.metadata.proof.as_ref());
    for proof in named.chain(merged.map(|merged| &merged.proofs)) {
        if !proofs.is_empty() && !proof.is_empty() {
            proofs.put_slice(b", ");
        }
        proofs.put_slice(proof);
    }
    MergedAnswer { proofs: proofs.freeze(), missing, records }
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub(super) struct AttemptReport {
    pub(super) attempt: usize,
    pub(super) end: AttemptEnd,
    pub(super) answer: Option<TargetAnswer>,
}

/// Collects the ends of the attempts of one request.
#[derive(Debug, Default)]
pub(super) struct AnswerInbox {
    reports: RefCell<Vec<AttemptReport>>,
    pub(super) arrived: Notify,
    /// Whether the request has ended; an attempt that has not been sent by then is cancelled.
    is_closed: Cell<bool>,
}

impl AnswerInbox {
    pub(super) fn push(&self, report: AttemptReport) {
        if !self.is_closed.get() {
            self.reports.borrow_mut().push(report);
            self.arrived.notify_one();
        }
    }

    pub(super) fn take(&self) -> Vec<AttemptReport> {
        std::mem::take(&mut self.reports.borrow_mut())
    }

    pub(super) const fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    pub(super) fn close(&self) {
        self.is_closed.set(true);
    }
}

/// The context of one attempt, kept until it ends, and the inbox that receives its end.
#[derive(Debug)]
pub(super) struct AttemptSink {
    pub(super) inbox: Rc<AnswerInbox>,
    pub(super) attempt: usize,
    pub(super) replica: Rc<ReplicaState>,
    pub(super) ticket: AttemptTicket,
    /// The request identifier that the answer repeats.
    pub(super) request_id: Option<Bytes>,
    /// Whether the answer is merged with those of other shards.
    pub(super) is_part: bool,
    /// Whether the request is a `HEAD`, whose answer has no body.
    pub(super) is_head: bool,
}

/// The connections that carry the open attempts of one request, by attempt number.
#[derive(Debug, Default)]
pub(super) struct OpenLinks(pub(super) RefCell<Vec<(usize, Rc<TargetLink>)>>);

impl OpenLinks {
    pub(super) fn add(&self, attempt: usize, link: Rc<TargetLink>) {
        self.0.borrow_mut().push((attempt, link));
    }

    pub(super) fn remove(&self, attempt: usize) {
        self.0.borrow_mut().retain(|(held, _)| *held != attempt);
    }
}
