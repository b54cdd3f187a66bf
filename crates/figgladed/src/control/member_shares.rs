//! Leases on shares of the targets' connection caps, granted by the leader of the control group.

use figglade::{
    Timestamp,
    controller::{
        ledger::LedgerCommand,
        share::{ShareAction, ShareLeader, ShareTiming},
    },
};

use super::member_driver::{MemberDriver, MemberFailure};

impl MemberDriver {
    /// Returns the lease table of this term, created on first use. The caller must have completed a
    /// quorum read in this term, which proves that the ledger holds every holder set of earlier
    /// terms.
    pub(super) fn share_leader(&mut self, now: Timestamp) -> &mut ShareLeader {
        let term = self.node.status().term;
        let committed = self.ledger.holders().clone();
        let start = || ShareLeader::new(term, committed, ShareTiming::default(), now);
        self.shares.get_or_insert_with(start)
    }

    pub(super) fn tick_shares(&mut self, now: Timestamp) -> Result<(), MemberFailure> {
        let Some(shares) = &mut self.shares else { return Ok(()) };
        if shares.next_deadline(now).is_none_or(|due| now < due) {
            return Ok(());
        }
        let actions = shares.handle_tick(now);
        self.run_share_actions(actions)
    }

    pub(super) fn run_share_actions(
        &mut self,
        actions: Vec<ShareAction>,
    ) -> Result<(), MemberFailure> {
        for ShareAction::ProposeHolders(holders) in actions {
            let Ok(command) = LedgerCommand::SetHolders(holders).encode() else { continue };
            // The share controller repeats a refused proposal later.
            if let Ok(accepted) = self.node.propose(vec![command], self.now()) {
                self.run_actions(accepted.actions)?;
            }
        }
        Ok(())
    }

    pub(super) fn handle_committed_holders(&mut self) -> Result<(), MemberFailure> {
        let now = self.now();
        let committed = self.ledger.holders().clone();
        let Some(shares) = &mut self.shares else { return Ok(()) };
        let actions = shares.handle_committed(committed, now);
        self.run_share_actions(actions)
    }
}
