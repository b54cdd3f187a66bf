//! The remaining steps of a member replacement.

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
    /// The replacement is complete.
    Done,
}

/// Returns the next step of replacing `old` by `new`, derived from the state of the group alone.
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
