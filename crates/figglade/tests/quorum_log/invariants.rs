//! Invariants that hold in every group at all times.

use std::collections::BTreeMap;

use figglade::{
    InstanceId,
    border::LogStore,
    controller::quorum::{
        AppendOutcome, EntryPayload, LogEntry, LogIndex, LogSnapshot, MemberSet, MessageBody,
        QuorumMessage, Term,
    },
};

use crate::store::MemoryStore;

/// An entry that some member applied.
#[derive(Clone, Debug)]
struct CommittedEntry {
    entry: LogEntry,
    /// The lowest term in which a member is known to have committed it.
    commit_term: Term,
    /// The digest of all entries up to this one.
    digest: u64,
}

/// Checks the invariants of a group from outside.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    leaders: BTreeMap<Term, InstanceId>,
    committed: BTreeMap<LogIndex, CommittedEntry>,
}

impl InvariantChecker {
    /// Returns the last index that any member has committed.
    pub fn last_committed(&self) -> LogIndex {
        self.committed.keys().next_back().copied().unwrap_or_default()
    }

    /// Returns the term of the last entry that any member has committed.
    pub fn last_committed_term(&self) -> Term {
        self.committed.values().next_back().map(|found| found.entry.term).unwrap_or_default()
    }

    /// Returns the last member set that any member has committed.
    pub fn committed_members(&self) -> Option<MemberSet> {
        self.committed.values().rev().find_map(|found| match &found.entry.payload {
            EntryPayload::Members(set) => Some(set.clone()),
            _ => None,
        })
    }

    /// Returns how many members have led a term.
    pub fn leader_count(&self) -> usize {
        self.leaders.len()
    }

    /// Returns how many member sets were committed.
    pub fn change_count(&self) -> usize {
        let payloads = self.committed.values().map(|found| &found.entry.payload);
        payloads.filter(|payload| matches!(payload, EntryPayload::Members(_))).count()
    }

    /// Returns the committed entry at an index.
    pub fn committed_entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.committed.get(&index).map(|found| &found.entry)
    }

    /// Checks an entry that a member in `term` applies on top of `digest`; returns the new digest.
    pub fn check_apply(&mut self, entry: &LogEntry, term: Term, digest: u64) -> u64 {
        let digest = extend_digest(digest, entry);
        let known = self.committed.entry(entry.index).or_insert_with(|| CommittedEntry {
            entry: entry.clone(),
            commit_term: term,
            digest,
        });
        assert_eq!(known.entry, *entry, "a committed entry was replaced");
        assert_eq!(known.digest, digest, "the entries before a committed entry differ");
        known.commit_term = known.commit_term.min(term);
        digest
    }

    /// Checks a snapshot that a member restores; returns the digest at its end.
    pub fn check_restore(&self, snapshot: &LogSnapshot) -> u64 {
        let known = &self.committed[&snapshot.last_index];
        assert_eq!(known.entry.term, snapshot.last_term, "a snapshot covers another entry");
        assert_eq!(
            encode_digest(known.digest),
            snapshot.state[..8],
            "a snapshot holds another state"
        );
        known.digest
    }

    /// Checks a leader of `term`: it is the only one and holds what earlier terms committed.
    pub fn check_leader(&mut self, id: &InstanceId, term: Term, store: &MemoryStore) {
        if let Some(other) = self.leaders.get(&term) {
            assert_eq!(other, id, "two leaders in {term}");
            return;
        }
        self.leaders.insert(term, id.clone());
        for (index, known) in self.committed.iter().filter(|(_, known)| known.commit_term < term) {
            let is_held = *index <= store.base().0 || store.entry(*index) == Some(&known.entry);
            assert!(is_held, "the leader of {term}, {id}, lacks the committed entry {index}");
        }
    }

    /// Checks a member that holds a lease in `term`.
    pub fn check_lease(&self, id: &InstanceId, term: Term) {
        let latest = self.last_committed_term();
        assert!(latest <= term, "{id} holds a lease in {term}, but {latest} has committed");
    }
}

/// Checks that the disk of the sender holds the term, vote or entries that a message reports.
pub fn check_durable(store: &MemoryStore, to: &InstanceId, message: &QuorumMessage) {
    let hard_state = store.hard_state();
    assert!(message.term <= hard_state.term, "the term of a message is not durable");
    match &message.body {
        MessageBody::VoteAnswer(answer) if answer.is_granted => {
            assert_eq!(hard_state.voted_for.as_ref(), Some(to), "a vote is not durable");
        }
        MessageBody::AppendAnswer(answer) => {
            if let AppendOutcome::Accepted { match_index } = answer.outcome {
                assert!(match_index <= store.last_index(), "entries are not durable");
            }
        }
        _ => {}
    }
}

/// Encodes a digest as the start of a snapshot's state.
pub fn encode_digest(digest: u64) -> [u8; 8] {
    digest.to_le_bytes()
}

fn extend_digest(digest: u64, entry: &LogEntry) -> u64 {
    let text = format!("{digest}/{entry:?}");
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}
