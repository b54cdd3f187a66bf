//! What is left to do of a replacement.

use figglade::{InstanceId, controller::quorum::MemberRole};

use crate::reply::{GroupMember, QuorumView};

/// The next step of a replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlStep {
    /// Adds the new member as a learner.
    Add,
    /// Promotes the new member once it has caught up.
    Promote,
    /// Removes the old member.
    Remove,
    /// Nothing is left.
    Done,
}

/// Returns the next step of replacing `old` by `new`; the group itself tells how far it came.
pub fn plan_replacement(view: &QuorumView, old: &InstanceId, new: &InstanceId) -> ControlStep {
    match view.members.get(new) {
        None => ControlStep::Add,
        Some(member) if !is_voter(member) => ControlStep::Promote,
        Some(_) if view.members.contains_key(old) => ControlStep::Remove,
        Some(_) => ControlStep::Done,
    }
}

/// Returns whether the member votes.
pub(super) fn is_voter(member: &GroupMember) -> bool {
    member.role == MemberRole::Voter
}
