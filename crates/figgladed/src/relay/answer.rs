//! Answers of targets and their delivery to the requests that wait for them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::{BufMut, Bytes, BytesMut};
use figglade::{
    controller::route_set::ShardPlan,
    filter::{
        answer_buffers::BufferLimit,
        ranked::RankedMerger,
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

/// The bytes that one request holds of the answers of targets, as a part of those of all requests.
#[derive(Debug)]
pub(super) struct BufferShare {
    limit: BufferLimit,
    total: Rc<Cell<usize>>,
    own: usize,
}

impl BufferShare {
    pub(super) const fn new(limit: BufferLimit, total: Rc<Cell<usize>>) -> Self {
        Self { limit, total, own: 0 }
    }

    /// Returns whether the request may hold `bytes`.
    pub(super) fn allows(&self, bytes: usize) -> bool {
        self.limit.allows(bytes, self.total.get() - self.own + bytes)
    }

    /// Records that the request holds `bytes`.
    pub(super) fn hold(&mut self, bytes: usize) {
        self.total.update(|total| total - self.own + bytes);
        self.own = bytes;
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.hold(0);
    }
}

/// Merges the answers of the shards of a search as they arrive, and lists the proofs of these shards.
#[derive(Debug)]
pub(super) struct ShardMerger {
    records: RankedMerger,
    proofs: BytesMut,
}

impl ShardMerger {
    pub(super) fn new(plan: &ShardPlan) -> Self {
        let proofs = BytesMut::with_capacity(plan.services.len() * PROOF_BYTES);
        Self { records: RankedMerger::new(plan.top_records), proofs }
    }

    /// Adds the answer of a shard.
    pub(super) fn add(&mut self, answer: &TargetAnswer) {
        self.records.add(&answer.body);
        if let Some(proof) = &answer.metadata.proof {
            self.add_proofs(proof);
        }
    }

    /// Adds the shards that another instance has merged.
    pub(super) fn add_merged(&mut self, merged: &MergedAnswer) {
        self.records.add(&merged.records);
        self.add_proofs(&merged.proofs);
    }

    fn add_proofs(&mut self, proofs: &[u8]) {
        if !self.proofs.is_empty() && !proofs.is_empty() {
            self.proofs.put_slice(b", ");
        }
        self.proofs.put_slice(proofs);
    }

    /// Returns the memory that it takes, in bytes.
    pub(super) fn held_bytes(&self) -> usize {
        self.records.held_bytes() + self.proofs.capacity()
    }

    /// Returns the memory that it takes at most once `answer` is added, in bytes.
    pub(super) fn bytes_with(&self, answer: &TargetAnswer) -> usize {
        let proof = answer.metadata.proof.as_ref().map_or(0, Bytes::len);
        self.records.bytes_with(answer.body.len()) + self.proofs.capacity() + proof
    }

    /// Returns the merged answer of a search without `missing` shards.
    pub(super) fn finish(self, missing: usize) -> MergedAnswer {
        MergedAnswer { proofs: self.proofs.freeze(), missing, records: self.records.finish() }
    }
}

/// Adds the shards that another instance has merged, if there are any, and returns the merged answer.
pub(super) fn complete_merge(
    merger: Option<ShardMerger>,
    plan: &ShardPlan,
    merged: Option<&MergedAnswer>,
    missing: usize,
) -> MergedAnswer {
    let mut merger = merger.unwrap_or_else(|| ShardMerger::new(plan));
    if let Some(merged) = merged {
        merger.add_merged(merged);
    }
    merger.finish(missing)
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
