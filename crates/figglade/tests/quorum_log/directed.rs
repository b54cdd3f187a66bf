//! Individual failures and the behaviour that each must lead to.

use bytes::Bytes;
use figglade::{
    InstanceId,
    border::LogStore,
    controller::quorum::{
        MAX_COMMAND_BYTES, MemberChange, MemberChangeError, MessageBody, ProposeError,
        QuorumMessage, QuorumRole, Term, VoteRequest,
    },
    peer::{decode_payload, encode_payload},
};
use serde::Serialize;

use crate::group::{ELECTION_TIMEOUT_MS, TestGroup, member_id, member_peer};

fn others(group: &TestGroup, id: &InstanceId) -> Vec<InstanceId> {
    group.members.keys().filter(|other| *other != id).cloned().collect()
}

fn add_learner(id: &InstanceId) -> MemberChange {
    MemberChange::AddLearner { id: id.clone(), peer: member_peer(id), storage: None }
}

/// Waits until the leader accepts the promotion, then promotes and waits for the commitment.
fn promote(group: &mut TestGroup, leader: &InstanceId, id: &InstanceId) {
    group.run_until("the learner to catch up", |group| {
        let status = group.status(leader).expect("running");
        status.members.storage_of(id).is_some()
            && status.pending_change.is_none()
            && status.progress[id] >= status.commit
    });
    group.commit_change(leader, MemberChange::Promote { id: id.clone() });
}

/// Removes a member and adds it again with its current disk.
fn replace(group: &mut TestGroup, leader: &InstanceId, id: &InstanceId) {
    group.commit_change(leader, MemberChange::Remove { id: id.clone() });
    group.commit_change(leader, add_learner(id));
    promote(group, leader, id);
}

#[test]
fn a_command_is_committed_by_every_member() {
    let mut group = TestGroup::new(3, 0, 1);
    let leader = group.run_until_leader_ready();
    let index = group.commit(&leader);
    group.run_until("the commitment at every member", |group| {
        group.members.keys().all(|id| group.status(id).is_some_and(|found| found.commit >= index))
    });
    let members = group.status(&leader).expect("running").members;
    assert!(!members.has_unrecorded_storage(), "the first leader records every storage");
}

#[test]
fn a_single_member_leads_and_commits_at_once() {
    let mut group = TestGroup::new(1, 0, 1);
    let leader = group.run_until_leader_ready();
    let (index, _) = group.propose(&leader).expect("accepted");
    assert_eq!(group.checker.last_committed(), index);
    let ticket = group.begin_read(&leader).expect("accepted");
    assert_eq!(group.member(&leader).ready_reads[&ticket], index);
}

#[test]
fn the_first_leader_needs_every_first_member() {
    let mut group = TestGroup::new(3, 0, 1);
    let late = member_id(3);
    group.crash(&late);
    group.run_for(3_000);
    assert_eq!(group.leader(), None, "a member without a log may have lost it");
    assert!(group.status(&member_id(1)).expect("running").is_bootstrapping);
    group.restart(&late);
    group.run_until_leader_ready();
}

#[test]
fn an_isolated_leader_stops_leading_and_answering() {
    let mut group = TestGroup::new(3, 0, 2);
    let leader = group.run_until_leader_ready();
    group.commit(&leader);
    group.set_isolated(&leader, true);
    group.run_for(ELECTION_TIMEOUT_MS * 95 / 100);
    let node = group.member(&leader).node.as_ref().expect("running");
    assert!(!node.has_lease(group.local_now(&leader)), "the lease ends before an election");
    let ticket = group.begin_read(&leader).expect("still leading");
    let (lost_index, lost_term) = group.propose(&leader).expect("still leading");
    group.run_for(ELECTION_TIMEOUT_MS);
    assert_eq!(group.status(&leader).expect("running").role, QuorumRole::Follower);
    assert!(group.member(&leader).failed_reads.contains(&ticket));
    let refusal = group.begin_read(&leader).expect_err("no longer leading");
    assert_eq!(refusal, ProposeError::NotLeader { leader: None });
    let successor = group.run_until_leader_ready();
    assert_ne!(successor, leader);
    group.commit(&successor);
    group.set_isolated(&leader, false);
    let index = group.commit(&successor);
    group.run_until("the old leader to follow", |group| {
        group.status(&leader).is_some_and(|status| status.commit >= index)
    });
    let entry = group.checker.committed_entry(lost_index).expect("committed");
    assert_ne!(entry.term, lost_term, "the command of the isolated leader was replaced");
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting() {
    let mut group = TestGroup::new(3, 0, 14);
    group.restart_all(1);
    let first = group.run_until_leader_ready();
    group.commit(&first);
    group.run_for(ELECTION_TIMEOUT_MS);
    group.set_isolated(&first, true);
    let (index, _) = group.propose(&first).expect("still leading");
    group.run_until("the second leader", |group| {
        group.leader().is_some_and(|leader| leader != first)
    });
    let second = group.leader().expect("a leader");
    group.set_isolated(&second, true);
    let voter = others(&group, &first).into_iter().find(|id| *id != second).expect("a third");
    for pair in [(&first, &voter), (&voter, &first)] {
        group.blocked_links.remove(&(pair.0.clone(), pair.1.clone()));
    }
    group.run_until("the old entry at a majority", |group| {
        group.member(&voter).store.last_index() == index
    });
    group.blocked_links.insert((first.clone(), voter.clone()));
    group.run_for(10);
    assert_eq!(group.leader(), Some(first.clone()), "it leads a third term");
    assert!(group.checker.last_committed() < index, "the entry may still be replaced");
    group.crash(&first);
    group.set_isolated(&second, false);
    let third = group.run_until_leader_ready();
    assert_eq!(third, second, "its log ends with a later term");
    group.commit(&third);
}

#[test]
fn a_member_with_an_emptied_disk_neither_votes_nor_campaigns() {
    let mut group = TestGroup::new(3, 0, 3);
    let leader = group.run_until_leader_ready();
    let [emptied, lagging] = others(&group, &leader).try_into().expect("two others");
    group.crash(&lagging);
    group.commit(&leader);
    group.crash(&leader);
    group.empty_disk(&emptied);
    group.restart(&emptied);
    group.restart(&lagging);
    group.run_for(3_000);
    assert_eq!(group.leader(), None, "the two of them lack a committed command");
    group.restart(&leader);
    let leader = group.run_until_leader_ready();
    group.run_for(3 * ELECTION_TIMEOUT_MS);
    assert_eq!(group.leader().as_ref(), Some(&leader), "the emptied member causes no election");
    assert!(group.status(&emptied).expect("running").is_forgotten);
    let replaced = group.status(&leader).expect("running").replaced_storage;
    assert_eq!(replaced.as_slice(), std::slice::from_ref(&emptied));
    replace(&mut group, &leader, &emptied);
    group.run_for(ELECTION_TIMEOUT_MS);
    assert!(!group.status(&emptied).expect("running").is_forgotten);
}

#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    for seed in 0..40 {
        let mut group = TestGroup::new(3, 0, seed);
        let leader = group.run_until_leader_ready();
        let [emptied, lagging] = others(&group, &leader).try_into().expect("two others");
        group.set_isolated(&lagging, true);
        group.commit(&leader);
        group.set_isolated(&lagging, false);
        group.empty_disk(&emptied);
        group.restart(&emptied);
        group.run_for(seed * 5);
        let leader = group.run_until_leader_ready();
        replace(&mut group, &leader, &emptied);
        let before = group.commit(&leader);
        group.empty_disk(&leader);
        group.restart(&leader);
        let successor = group.run_until_leader_ready();
        assert_ne!(successor, leader);
        let after = group.commit(&successor);
        assert!(after > before, "the group continues from the entries it had committed");
    }
}

/// Returns a message from a member in a term.
fn message_of(group: &TestGroup, id: &InstanceId, term: Term, body: MessageBody) -> QuorumMessage {
    let storage = group.member(id).store.storage_id();
    QuorumMessage { term, peer: member_peer(id), storage, expected_storage: None, body }
}

#[test]
fn a_voter_in_contact_with_the_leader_ignores_vote_requests_even_after_a_restart() {
    for is_restarted in [false, true] {
        let mut group = TestGroup::new(3, 0, 11);
        let leader = group.run_until_leader_ready();
        let [candidate, voter] = others(&group, &leader).try_into().expect("two others");
        group.run_for(ELECTION_TIMEOUT_MS);
        let status = group.status(&voter).expect("running");
        if is_restarted {
            group.restart(&voter);
        }
        let next_term = Term::new(status.term.get() + 1);
        let request = VoteRequest {
            next_term,
            last_index: status.last,
            last_term: status.term,
            is_transfer: false,
        };
        let message = message_of(&group, &candidate, next_term, MessageBody::Vote(request));
        group.set_isolated(&leader, true);
        group.send_message(&candidate, &voter, &message);
        group.run_for(ELECTION_TIMEOUT_MS / 4);
        let stored = group.member(&voter).store.hard_state();
        assert_eq!(stored.term, status.term, "the lease of the leader depends on the ignored vote");
    }
}

#[test]
fn a_leader_that_transfers_leadership_releases_its_lease() {
    let mut group = TestGroup::new(3, 0, 12);
    let leader = group.run_until_leader_ready();
    group.commit(&leader);
    group.run_for(ELECTION_TIMEOUT_MS);
    let [target, other] = others(&group, &leader).try_into().expect("two others");
    for follower in [&target, &other] {
        group.blocked_links.insert((follower.clone(), leader.clone()));
    }
    group.transfer(&leader, Some(target.clone()));
    group.run_for(ELECTION_TIMEOUT_MS / 4);
    assert_eq!(group.leader(), Some(target.clone()));
    group.commit(&target);
    let old = group.member(&leader).node.as_ref().expect("running");
    assert_eq!(old.status().role, QuorumRole::Leader, "it has no evidence of the election");
    assert!(!old.has_lease(group.local_now(&leader)));
    let ticket = group.begin_read(&leader).expect("it still considers itself the leader");
    assert!(!group.member(&leader).ready_reads.contains_key(&ticket));
}

#[test]
fn a_split_vote_ends_in_a_later_term() {
    let mut group = TestGroup::new(4, 0, 4);
    let leader = group.run_until_leader_ready();
    let term = group.status(&leader).expect("running").term;
    let candidates = others(&group, &leader);
    for candidate in &candidates[..2] {
        let message = message_of(&group, &leader, term, MessageBody::TimeoutNow);
        group.send_message(&leader, candidate, &message);
    }
    group.crash(&candidates[2]);
    group.run_until("the campaigns", |group| group.leader().is_none());
    let successor = group.run_until_leader_ready();
    let elected = group.status(&successor).expect("running").term;
    assert!(elected > Term::new(term.get() + 1), "the split vote elected a leader in {elected}");
}

#[test]
fn a_transfer_needs_no_election_timeout_and_is_aborted_without_an_answer() {
    let mut group = TestGroup::new(3, 0, 5);
    let leader = group.run_until_leader_ready();
    let [target, other] = others(&group, &leader).try_into().expect("two others");
    group.commit(&leader);
    group.set_isolated(&target, true);
    group.transfer(&leader, Some(target.clone()));
    assert_eq!(group.propose(&leader), Err(ProposeError::Transferring));
    group.run_for(2 * ELECTION_TIMEOUT_MS);
    assert_eq!(group.leader(), Some(leader.clone()), "the other follower stays with the leader");
    group.commit(&leader);
    group.set_isolated(&target, false);
    group.run_for(ELECTION_TIMEOUT_MS);
    group.transfer(&leader, None);
    group.run_for(ELECTION_TIMEOUT_MS / 2);
    let successor = group.leader().expect("no election timeout passes");
    assert!([&target, &other].contains(&&successor));
    group.commit(&successor);
}

#[test]
fn a_learner_interrupted_during_a_snapshot_still_becomes_a_voter() {
    let mut group = TestGroup::new(3, 1, 6);
    group.snapshot_bytes = 3 << 20;
    let learner = member_id(4);
    let leader = group.run_until_leader_ready();
    group.commit(&leader);
    group.run_for(ELECTION_TIMEOUT_MS);
    for id in group.members.keys().cloned().collect::<Vec<_>>() {
        group.compact(&id);
    }
    group.restart_all(8);
    let leader = group.run_until_leader_ready();
    group.commit_change(&leader, add_learner(&learner));
    group.run_until("the first answer", |group| {
        let status = group.status(&leader).expect("running");
        status.members.storage_of(&learner).is_some() && status.pending_change.is_none()
    });
    let refusal = group.change(&leader, MemberChange::Promote { id: learner.clone() });
    assert_eq!(refusal, Err(MemberChangeError::NotCaughtUp { id: learner.clone() }));
    for _ in 0..3 {
        group.run_for(ELECTION_TIMEOUT_MS / 10);
        assert_eq!(group.restore_count, 0, "the snapshot takes several parts");
        group.restart(&learner);
    }
    promote(&mut group, &leader, &learner);
    assert_eq!(group.restore_count, 1);
    assert!(group.status(&leader).expect("running").members.is_voter(&learner));
}

#[test]
fn a_leader_that_is_removed_transfers_leadership() {
    let mut group = TestGroup::new(3, 0, 7);
    let leader = group.run_until_leader_ready();
    group.commit_change(&leader, MemberChange::Remove { id: leader.clone() });
    let successor = group.run_until_leader_ready();
    assert_ne!(successor, leader);
    group.commit(&successor);
    assert_eq!(group.status(&leader).expect("running").role, QuorumRole::Follower);
}

#[test]
fn a_leader_whose_own_removal_is_uncommitted_still_campaigns() {
    let mut group = TestGroup::new(4, 0, 15);
    let leader = group.run_until_leader_ready();
    group.commit(&leader);
    group.run_for(ELECTION_TIMEOUT_MS);
    group.set_isolated(&leader, true);
    group.change(&leader, MemberChange::Remove { id: leader.clone() }).expect("accepted");
    group.crash(&others(&group, &leader)[0]);
    group.run_for(2 * ELECTION_TIMEOUT_MS);
    group.set_isolated(&leader, false);
    let successor = group.run_until_leader_ready();
    group.commit(&successor);
    let members = group.status(&successor).expect("running").members;
    assert!(!members.is_voter(&leader), "the others needed the entry that only it held");
}

#[test]
fn unsafe_member_changes_are_refused_with_specific_errors() {
    let mut group = TestGroup::new(2, 1, 8);
    let leader = group.run_until_leader_ready();
    let [other, spare] = others(&group, &leader).try_into().expect("two others");
    let remove = |id: &InstanceId| MemberChange::Remove { id: id.clone() };
    let promote = |id: &InstanceId| MemberChange::Promote { id: id.clone() };
    let refusal = group.change(&leader, add_learner(&other));
    assert_eq!(refusal, Err(MemberChangeError::AlreadyMember { id: other.clone() }));
    let refusal = group.change(&leader, promote(&other));
    assert_eq!(refusal, Err(MemberChangeError::AlreadyVoter { id: other.clone() }));
    let refusal = group.change(&leader, remove(&spare));
    assert_eq!(refusal, Err(MemberChangeError::NotMember { id: spare.clone() }));
    group.crash(&spare);
    group.commit_change(&leader, add_learner(&spare));
    let refusal = group.change(&leader, promote(&spare));
    assert_eq!(refusal, Err(MemberChangeError::StorageUnknown { id: spare.clone() }));
    group.change(&leader, remove(&spare)).expect("accepted");
    let refusal = group.change(&leader, add_learner(&spare));
    assert_eq!(refusal, Err(MemberChangeError::ChangePending));
    group.run_for(ELECTION_TIMEOUT_MS);
    group.commit_change(&leader, remove(&other));
    assert_eq!(group.change(&leader, remove(&leader)), Err(MemberChangeError::LastVoter));
}

#[test]
fn a_new_leader_changes_no_members_before_its_first_commitment() {
    let mut group = TestGroup::new(3, 0, 13);
    let leader = group.run_until_leader_ready();
    let [target, other] = others(&group, &leader).try_into().expect("two others");
    group.commit(&leader);
    group.run_for(ELECTION_TIMEOUT_MS);
    group.transfer(&leader, Some(target.clone()));
    group.run_until("the transfer of leadership", |group| group.leader().as_ref() == Some(&target));
    let refusal = group.change(&target, MemberChange::Remove { id: other.clone() });
    assert_eq!(refusal, Err(MemberChangeError::TermNotCommitted));
    group.run_until_leader_ready();
    group.commit_change(&target, MemberChange::Remove { id: other });
}

#[test]
fn a_voter_whose_removal_leaves_no_reachable_quorum_stays() {
    let mut group = TestGroup::new(3, 0, 9);
    let leader = group.run_until_leader_ready();
    let [crashed, healthy] = others(&group, &leader).try_into().expect("two others");
    group.commit(&leader);
    group.crash(&crashed);
    group.run_for(2 * ELECTION_TIMEOUT_MS);
    let refusal = group.change(&leader, MemberChange::Remove { id: healthy });
    assert_eq!(refusal, Err(MemberChangeError::QuorumUnreachable));
    group.commit_change(&leader, MemberChange::Remove { id: crashed });
}

#[test]
fn batches_out_of_bounds_are_refused() {
    let mut group = TestGroup::new(1, 0, 10);
    let leader = group.run_until_leader_ready();
    let now = group.local_now(&leader);
    let node = group.members.get_mut(&leader).and_then(|member| member.node.as_mut());
    let node = node.expect("running");
    assert_eq!(node.propose(Vec::new(), now), Err(ProposeError::Empty));
    let length = MAX_COMMAND_BYTES + 1;
    let refusal = node.propose(vec![Bytes::from(vec![0; length])], now);
    assert_eq!(refusal, Err(ProposeError::TooLarge { length }));
}

#[test]
fn a_message_from_a_later_release_is_decoded() {
    #[derive(Serialize)]
    struct LaterMessage {
        term: Term,
        peer: std::net::SocketAddr,
        storage: figglade::controller::quorum::StorageId,
        added_later: u32,
        body: MessageBody,
    }
    let later = LaterMessage {
        term: Term::new(3),
        peer: member_peer(&member_id(1)),
        storage: crate::store::storage_id(1),
        added_later: 7,
        body: MessageBody::TimeoutNow,
    };
    let payload = encode_payload(&later).expect("encodable");
    let message: QuorumMessage = decode_payload(&payload).expect("decodable");
    assert_eq!((message.term, message.expected_storage), (Term::new(3), None));
    assert_eq!(message.body, MessageBody::TimeoutNow);
}
