//! Replication progress of one follower, and the next message for it.

use std::{collections::VecDeque, time::Duration};

use crate::{
    Timestamp,
    controller::quorum::{
        AppendRequest, LogIndex, LogSnapshot, MessageBody, QuorumSettings, RoundStamp,
        SnapshotAnswer, SnapshotChunk, StorageId, Term,
        log::{EntryLog, previous},
        settings::{MAX_COMMAND_BYTES, MAX_IN_FLIGHT, SNAPSHOT_CHUNK_BYTES},
    },
};

/// A snapshot that is being sent to a follower.
#[derive(Clone, Debug)]
pub(super) struct SnapshotTransfer {
    snapshot: LogSnapshot,
    offset: usize,
    /// The round of the chunk that is not answered yet.
    sent: Option<RoundStamp>,
}

/// How entries are sent to a follower.
#[derive(Clone, Debug)]
enum ReplicationMode {
    /// One message at a time, until the logs are known to match.
    Probe { is_waiting: bool },
    /// Several messages without waiting for answers; holds the last index of each unanswered one.
    Stream { in_flight: VecDeque<LogIndex> },
    /// The follower needs entries that the leader no longer has in memory.
    Snapshot(SnapshotTransfer),
}

/// Replication progress of one follower, as known to the leader.
#[derive(Clone, Debug)]
pub(super) struct FollowerProgress {
    match_index: LogIndex,
    next_index: LogIndex,
    mode: ReplicationMode,
    last_contact: Timestamp,
    acked_round: Option<RoundStamp>,
    storage: Option<StorageId>,
    is_replaced: bool,
}

impl FollowerProgress {
    /// Creates the progress of a follower about which nothing is known; `now` counts as a contact.
    pub(super) const fn new(last_index: LogIndex, now: Timestamp) -> Self {
        Self {
            match_index: LogIndex::new(0),
            next_index: last_index.next(),
            mode: ReplicationMode::Probe { is_waiting: false },
            last_contact: now,
            acked_round: None,
            storage: None,
            is_replaced: false,
        }
    }

    pub(super) const fn match_index(&self) -> LogIndex {
        self.match_index
    }

    pub(super) const fn last_contact(&self) -> Timestamp {
        self.last_contact
    }

    /// Returns the latest round that the follower answered in this term.
    pub(super) const fn acked_round(&self) -> Option<RoundStamp> {
        self.acked_round
    }

    /// Returns the storage that the follower last reported.
    pub(super) const fn storage(&self) -> Option<StorageId> {
        self.storage
    }

    /// Returns whether the follower reports a storage other than the recorded one.
    pub(super) const fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Records an answer; what an earlier storage had acknowledged no longer counts.
    pub(super) fn record_answer(&mut self, now: Timestamp, stamp: RoundStamp, reported: StorageId) {
        if self.storage.is_some_and(|earlier| earlier != reported) {
            self.match_index = LogIndex::default();
            self.mode = ReplicationMode::Probe { is_waiting: false };
        }
        self.storage = Some(reported);
        self.is_replaced = false;
        self.last_contact = now;
        self.acked_round = self.acked_round.max(Some(stamp));
    }

    /// Records an answer from a storage other than the recorded one, which is not counted.
    pub(super) const fn record_replaced(&mut self) {
        self.is_replaced = true;
    }

    /// Records an accepted append or snapshot.
    pub(super) fn record_accepted(&mut self, match_index: LogIndex) {
        self.match_index = self.match_index.max(match_index);
        let acknowledged = self.match_index;
        self.next_index = self.next_index.max(acknowledged.next());
        match &mut self.mode {
            ReplicationMode::Stream { in_flight } => {
                in_flight.retain(|index| *index > acknowledged);
            }
            ReplicationMode::Snapshot(transfer) if acknowledged < transfer.snapshot.last_index => {}
            ReplicationMode::Probe { .. } | ReplicationMode::Snapshot(_) => {
                self.next_index = acknowledged.next();
                self.mode = ReplicationMode::Stream { in_flight: VecDeque::new() };
            }
        }
    }

    /// Records a rejected append: moves back to the last index at which the logs may match.
    pub(super) fn record_rejected(
        &mut self,
        log: &EntryLog,
        prev_index: LogIndex,
        hint_index: LogIndex,
        hint_term: Term,
    ) {
        let is_stale = prev_index <= self.match_index || prev_index >= self.next_index;
        if is_stale || matches!(self.mode, ReplicationMode::Snapshot(_)) {
            return;
        }
        if matches!(self.mode, ReplicationMode::Probe { .. })
            && prev_index != previous(self.next_index)
        {
            return;
        }
        let agreed = log.find_conflict(hint_index.min(previous(prev_index)), hint_term);
        self.next_index = agreed.max(self.match_index).next();
        self.mode = ReplicationMode::Probe { is_waiting: false };
    }

    /// Records the answer to a chunk of a snapshot.
    pub(super) fn record_snapshot_answer(&mut self, answer: &SnapshotAnswer) {
        if let ReplicationMode::Snapshot(transfer) = &mut self.mode {
            transfer.record_answer(answer);
        }
    }

    /// Returns the next message for the follower, if there is one; a heartbeat is always sent.
    pub(super) fn next_message(
        &mut self,
        log: &EntryLog,
        commit: LogIndex,
        settings: &QuorumSettings,
        stamp: RoundStamp,
        is_heartbeat: bool,
    ) -> Option<MessageBody> {
        let prev_index = previous(self.next_index);
        let prev_term = log.term_at(prev_index);
        if prev_term.is_none() && !matches!(self.mode, ReplicationMode::Snapshot(_)) {
            let snapshot = log.snapshot()?.clone();
            self.mode =
                ReplicationMode::Snapshot(SnapshotTransfer { snapshot, offset: 0, sent: None });
        }
        if let ReplicationMode::Snapshot(transfer) = &mut self.mode {
            return transfer.next_message(stamp, settings.election_timeout, is_heartbeat);
        }
        let mut request =
            AppendRequest { stamp, prev_index, prev_term: prev_term?, commit, entries: Vec::new() };
        if self.may_send_entries(is_heartbeat) {
            let max_bytes = settings.max_append_bytes.min(MAX_COMMAND_BYTES);
            request.entries = log.batch(self.next_index, settings.max_append_entries, max_bytes);
        }
        if request.entries.is_empty() && !is_heartbeat {
            return None;
        }
        self.record_sent(request.entries.last().map(|entry| entry.index));
        Some(MessageBody::Append(request))
    }

    fn may_send_entries(&self, is_heartbeat: bool) -> bool {
        match &self.mode {
            ReplicationMode::Probe { is_waiting } => is_heartbeat || !is_waiting,
            ReplicationMode::Stream { in_flight } => in_flight.len() < MAX_IN_FLIGHT,
            ReplicationMode::Snapshot(_) => false,
        }
    }

    fn record_sent(&mut self, last_sent: Option<LogIndex>) {
        match &mut self.mode {
            ReplicationMode::Probe { is_waiting } => *is_waiting = true,
            ReplicationMode::Stream { in_flight } => {
                if let Some(last) = last_sent {
                    in_flight.push_back(last);
                    self.next_index = last.next();
                }
            }
            ReplicationMode::Snapshot(_) => {}
        }
    }
}

impl SnapshotTransfer {
    /// Continues at the offset that the follower reports. Only the answer to the last chunk sent
    /// may move the offset back.
    fn record_answer(&mut self, answer: &SnapshotAnswer) {
        let received = usize::try_from(answer.received_bytes).unwrap_or(usize::MAX);
        let is_last = self.sent == Some(answer.stamp);
        let is_valid =
            received <= self.snapshot.state.len() && answer.last_index == self.snapshot.last_index;
        if is_valid && (is_last || received > self.offset) {
            self.offset = received;
            self.sent = None;
        }
    }

    /// Returns the next chunk. While a chunk is unanswered, returns a heartbeat if one is due;
    /// after `resend_after` the chunk counts as lost and is sent again.
    fn next_message(
        &mut self,
        stamp: RoundStamp,
        resend_after: Duration,
        is_heartbeat: bool,
    ) -> Option<MessageBody> {
        let is_waiting = self.sent.is_some_and(|sent| stamp.sent_at < sent.sent_at + resend_after);
        if is_waiting {
            return is_heartbeat.then(|| MessageBody::Append(empty_heartbeat(stamp)));
        }
        self.sent = Some(stamp);
        let total = self.snapshot.state.len();
        let end = total.min(self.offset + SNAPSHOT_CHUNK_BYTES);
        Some(MessageBody::Snapshot(SnapshotChunk {
            stamp,
            last_index: self.snapshot.last_index,
            last_term: self.snapshot.last_term,
            members: self.snapshot.members.clone(),
            total_bytes: total as u64,
            offset: self.offset as u64,
            data: self.snapshot.state.slice(self.offset..end),
        }))
    }
}

/// Returns a heartbeat that matches any log.
fn empty_heartbeat(stamp: RoundStamp) -> AppendRequest {
    AppendRequest {
        stamp,
        prev_index: LogIndex::default(),
        prev_term: Term::default(),
        commit: LogIndex::default(),
        entries: Vec::new(),
    }
}
