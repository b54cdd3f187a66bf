//! The part of a hub that keeps the control group complete.

use figglade::{
    Timestamp,
    controller::{
        group_keeper::{BorneLosses, borne_losses},
        quorum::{MemberChange, QuorumStatus},
    },
};
use slog::{info, warn};
use tokio::task::spawn_local;

use super::HubNode;
use crate::control::{ControlReply, MemberInput, MemberRequest};

impl HubNode {
    /// Proposes the next change of the control group if the local member is the leader, and tells the
    /// member whether the group is complete.
    pub(super) fn repair_group(&self, now: Timestamp) {
        let Some(member) = self.parts.member.get() else { return };
        let Some(status) = member.view().status else { return };
        self.report_settled(&status, now);
        let change = self.state.borrow_mut().keeper.next_change(&status, now);
        let Some(change) = change else { return };
        info!(self.parts.log, "hub: proposing a change of the control group";
            "change" => format!("{change:?}"));
        let request = match change {
            MemberChange::AddLearner { id, peer, storage } => {
                MemberRequest::Add { id, peer, storage }
            }
            MemberChange::Promote { id } => MemberRequest::Promote { id },
            MemberChange::Remove { id } => MemberRequest::Remove { id },
        };
        let (member, log) = (member.clone(), self.parts.log.clone());
        spawn_local(async move {
            let ask = member.ask(|reply| MemberInput::ChangeMember { request, reply });
            if let ControlReply::Refused { reason } = ask.await {
                info!(log, "hub: the change of the control group was refused"; "reason" => reason);
            }
        });
    }

    /// Tells the member whether the group is complete, whenever that changes. If the queue of the
    /// member is full, the next tick tries again.
    fn report_settled(&self, status: &QuorumStatus, now: Timestamp) {
        let Some(member) = self.parts.member.get() else { return };
        let mut state = self.state.borrow_mut();
        let is_settled = state.keeper.is_settled(status, now);
        if is_settled == state.is_group_settled
            || !member.send(MemberInput::SetGroupSettled(is_settled))
        {
            return;
        }
        state.is_group_settled = is_settled;
        let BorneLosses { durable, available } = borne_losses(&status.members);
        if is_settled && available < self.parts.tolerated_losses {
            warn!(self.parts.log, "hub: the control group is complete and too small to decide after \
                the losses it must tolerate"; "voters" => status.members.voters().count(),
                "tolerated_losses" => self.parts.tolerated_losses,
                "durable_losses" => durable, "available_losses" => available);
        }
    }

    /// Returns the losses that an acknowledged change survives, as far as the own member knows the
    /// group.
    pub(super) fn borne_losses(&self) -> BorneLosses {
        let status = self.parts.member.get().and_then(|member| member.view().status);
        status.map_or_else(BorneLosses::default, |status| borne_losses(&status.members))
    }
}
