//! Snapshots: creating one, and receiving one in chunks.

use bytes::{Bytes, BytesMut};

use crate::{
    InstanceId, Timestamp,
    controller::quorum::{
        LogIndex, LogSnapshot, MessageBody, QuorumAction, QuorumNode, SnapshotAnswer,
        SnapshotChunk, Term, members::MemberHistory, settings::MAX_SNAPSHOT_BYTES,
    },
};

/// The chunks of a snapshot received so far.
#[derive(Clone, Debug)]
pub(super) struct SnapshotAssembly {
    last_index: LogIndex,
    last_term: Term,
    total_bytes: u64,
    state: BytesMut,
}

impl SnapshotAssembly {
    fn start(chunk: &SnapshotChunk) -> Self {
        Self {
            last_index: chunk.last_index,
            last_term: chunk.last_term,
            total_bytes: chunk.total_bytes,
            state: BytesMut::new(),
        }
    }

    fn matches(&self, chunk: &SnapshotChunk) -> bool {
        (self.last_index, self.last_term, self.total_bytes)
            == (chunk.last_index, chunk.last_term, chunk.total_bytes)
    }

    /// Appends a chunk that continues the received bytes; any other chunk is ignored.
    fn append_chunk(&mut self, chunk: &SnapshotChunk) {
        let received = self.state.len() as u64;
        if chunk.offset == received && received + chunk.data.len() as u64 <= self.total_bytes {
            self.state.extend_from_slice(&chunk.data);
        }
    }

    /// Returns whether `commit` has reached the end of the snapshot, which is no longer needed.
    pub(super) fn is_obsolete(&self, commit: LogIndex) -> bool {
        self.last_index <= commit
    }

    fn is_complete(&self) -> bool {
        self.state.len() as u64 == self.total_bytes
    }
}

impl QuorumNode {
    /// Replaces the log up to a committed index with the encoded state machine at that index.
    ///
    /// Does nothing if the index is not committed or already covered, or if the state is larger
    /// than [`MAX_SNAPSHOT_BYTES`].
    pub fn compact(&mut self, upto: LogIndex, state: Bytes) -> Vec<QuorumAction> {
        if upto > self.commit || state.len() > MAX_SNAPSHOT_BYTES {
            return Vec::new();
        }
        let members = self.history.at(upto).clone();
        if let Some(snapshot) = self.log.compact(upto, members, state) {
            self.history.compact(upto);
            self.push(QuorumAction::SaveSnapshot(snapshot));
        }
        self.take_actions()
    }

    /// Handles a chunk of a snapshot; the last one completes and installs it.
    pub(super) fn handle_snapshot(
        &mut self,
        from: &InstanceId,
        chunk: &SnapshotChunk,
        now: Timestamp,
    ) {
        if chunk.last_index <= self.commit {
            self.assembly = None;
            self.answer_accepted(from, chunk.stamp, self.commit);
            return;
        }
        if chunk.total_bytes > MAX_SNAPSHOT_BYTES as u64 {
            return;
        }
        let kept = self.assembly.take().filter(|assembly| assembly.matches(chunk));
        let mut assembly = kept.unwrap_or_else(|| SnapshotAssembly::start(chunk));
        assembly.append_chunk(chunk);
        if assembly.is_complete() {
            self.install_snapshot(assembly, chunk, now);
            self.answer_accepted(from, chunk.stamp, chunk.last_index);
            return;
        }
        let answer = SnapshotAnswer {
            stamp: chunk.stamp,
            last_index: chunk.last_index,
            received_bytes: assembly.state.len() as u64,
        };
        self.assembly = Some(assembly);
        self.send(from, MessageBody::SnapshotAnswer(answer));
    }

    fn install_snapshot(
        &mut self,
        assembly: SnapshotAssembly,
        chunk: &SnapshotChunk,
        now: Timestamp,
    ) {
        let snapshot = LogSnapshot {
            last_index: assembly.last_index,
            last_term: assembly.last_term,
            members: chunk.members.clone(),
            state: assembly.state.freeze(),
        };
        self.log.install(snapshot.clone());
        let entries: Vec<_> = self.log.iter_from(snapshot.last_index.next()).cloned().collect();
        self.history = MemberHistory::new(snapshot.members.clone());
        self.history.record_append(&entries);
        self.commit = snapshot.last_index;
        self.push(QuorumAction::SaveSnapshot(snapshot.clone()));
        self.push(QuorumAction::Restore(snapshot));
        self.handle_members_changed(now);
    }
}
