//! Grants connection shares; runs on the leader of the control group.

use std::collections::{BTreeMap, BTreeSet};

use super::types::{
    HolderSet, MAX_RESERVED, ShareAction, ShareEpoch, ShareGrant, ShareRequest, ShareTiming,
};
use crate::{Incarnation, InstanceId, Timestamp, controller::quorum::Term};

/// The maximum number of instances with a lease.
pub const MAX_HOLDERS: usize = 1_024;

/// The lease of one instance, as the leader tracks it.
#[derive(Clone, Copy, Debug)]
struct HolderLease {
    incarnation: Incarnation,
    acked: ShareEpoch,
    ends_at: Timestamp,
}

/// Grants leases and proposes new epochs of holders.
///
/// It is created when an instance becomes leader, after all entries committed in earlier terms have
/// been applied, and dropped when the instance loses leadership. The driver forwards requests only
/// while the leader has proof that no other leader exists.
#[derive(Clone, Debug)]
pub struct ShareLeader {
    term: Term,
    timing: ShareTiming,
    committed: HolderSet,
    usable: ShareEpoch,
    leases: BTreeMap<InstanceId, HolderLease>,
    /// Restarted instances, with the time until which they stay holders without a lease.
    restarted_until: BTreeMap<InstanceId, Timestamp>,
    /// Instances without a lease, with the time until which their connections stay reserved.
    reserved_until: BTreeMap<InstanceId, Timestamp>,
    previous_leases_end: Timestamp,
    proposed_at: Option<Timestamp>,
}

impl ShareLeader {
    /// Builds the leader of `term` from the last committed holders.
    pub fn new(term: Term, committed: HolderSet, timing: ShareTiming, now: Timestamp) -> Self {
        let is_first = committed.epoch == ShareEpoch::default();
        // Leases granted by the previous leader may be valid until this time.
        let previous_leases_end = if is_first { now } else { now + timing.lease + timing.margin };
        Self {
            term,
            timing,
            committed,
            usable: ShareEpoch::default(),
            leases: BTreeMap::new(),
            restarted_until: BTreeMap::new(),
            reserved_until: BTreeMap::new(),
            previous_leases_end,
            proposed_at: None,
        }
    }

    /// Returns the last committed holders.
    pub fn committed(&self) -> &HolderSet {
        &self.committed
    }

    /// Returns the latest epoch whose shares may be used regardless of earlier epochs.
    pub fn usable_epoch(&self) -> ShareEpoch {
        self.usable
    }

    /// Returns the number of valid leases.
    pub fn len_leases(&self, now: Timestamp) -> usize {
        self.leases.values().filter(|lease| lease.ends_at > now).count()
    }

    /// Handles a request for a lease and returns the reply.
    pub fn handle_request(
        &mut self,
        request: &ShareRequest,
        now: Timestamp,
    ) -> (ShareGrant, Vec<ShareAction>) {
        let granted = self.renew_lease(request, now);
        let actions = self.handle_tick(now);
        let lease_ms = if granted { self.timing.lease.as_millis() as u64 } else { 0 };
        let is_known = request.known_epoch >= self.committed.epoch;
        let holders = (!is_known).then(|| self.committed.holders.clone());
        let reserved = if is_known { BTreeSet::new() } else { self.committed.reserved.clone() };
        let grant = ShareGrant {
            term: self.term,
            epoch: self.committed.epoch,
            holders,
            reserved,
            usable_epoch: self.usable,
            lease_ms,
        };
        (grant, actions)
    }

    /// Handles a set of holders that the control group committed.
    pub fn handle_committed(&mut self, committed: HolderSet, now: Timestamp) -> Vec<ShareAction> {
        if committed.epoch > self.committed.epoch {
            self.committed = committed;
            self.proposed_at = None;
        }
        self.handle_tick(now)
    }

    /// Completes an epoch change that every lease holder has acknowledged, and proposes the next
    /// epoch if the holders have changed.
    pub fn handle_tick(&mut self, now: Timestamp) -> Vec<ShareAction> {
        self.leases.retain(|_, lease| lease.ends_at > now);
        self.restarted_until.retain(|_, until| *until > now);
        if now < self.previous_leases_end {
            return Vec::new();
        }
        let latest = self.committed.epoch;
        if self.usable < latest && self.leases.values().all(|lease| lease.acked >= latest) {
            self.usable = latest;
        }
        if self.usable < latest {
            return Vec::new();
        }
        self.propose_holders(now).into_iter().collect()
    }

    /// Returns the time at which [`Self::handle_tick`] has something to do, if any.
    pub fn next_deadline(&self, now: Timestamp) -> Option<Timestamp> {
        if now < self.previous_leases_end {
            return Some(self.previous_leases_end);
        }
        let proposal = self.proposed_at.map(|at| at + self.timing.propose_period);
        let lease = self.leases.values().map(|lease| lease.ends_at).min();
        proposal.into_iter().chain(lease).min()
    }

    /// Grants, renews or releases the lease of a request; returns whether a lease was granted.
    fn renew_lease(&mut self, request: &ShareRequest, now: Timestamp) -> bool {
        let held = self.leases.get(&request.instance).filter(|lease| lease.ends_at > now);
        let acked = match held {
            Some(lease) if lease.incarnation != request.incarnation => {
                self.record_restart(request, lease.incarnation, now);
                return false;
            }
            Some(lease) => lease.acked.max(request.acked_epoch),
            None if self.leases.len() >= MAX_HOLDERS => return false,
            None => request.acked_epoch,
        };
        if request.release {
            self.leases.remove(&request.instance);
            // The instance has closed every connection, including the reserved ones.
            self.reserved_until.insert(request.instance.clone(), now);
            return false;
        }
        let ends_at = now + self.timing.lease + self.timing.margin;
        let lease = HolderLease { incarnation: request.incarnation, acked, ends_at };
        self.leases.insert(request.instance.clone(), lease);
        true
    }

    /// Records that an instance restarted while its previous process may still use its lease.
    ///
    /// The instance stays a holder, so that it gets its share as soon as that lease expires.
    fn record_restart(&mut self, request: &ShareRequest, previous: Incarnation, now: Timestamp) {
        if request.incarnation > previous && !request.release {
            self.restarted_until.insert(request.instance.clone(), now + self.timing.lease);
        }
    }

    /// Proposes the instances with valid leases as holders if the committed set differs.
    fn propose_holders(&mut self, now: Timestamp) -> Option<ShareAction> {
        let present = self.leases.keys().chain(self.restarted_until.keys());
        let wanted: BTreeSet<InstanceId> = present.cloned().collect();
        let reserved = self.reserve_connections(&wanted, now);
        if wanted == self.committed.holders && reserved == self.committed.reserved {
            self.proposed_at = None;
            return None;
        }
        let is_pending = |at: Timestamp| now < at + self.timing.propose_period;
        if self.proposed_at.is_some_and(is_pending) {
            return None;
        }
        self.proposed_at = Some(now);
        let epoch = self.committed.epoch.next();
        Some(ShareAction::ProposeHolders(HolderSet { epoch, holders: wanted, reserved }))
    }

    /// Returns the instances with reserved connections in the next epoch: those that have them
    /// already, unless they were without a lease for too long, then holders up to
    /// [`MAX_RESERVED`].
    fn reserve_connections(
        &mut self,
        holders: &BTreeSet<InstanceId>,
        now: Timestamp,
    ) -> BTreeSet<InstanceId> {
        let held = &self.committed.reserved;
        self.reserved_until.retain(|id, _| held.contains(id) && !holders.contains(id));
        let until = now + self.timing.reserve + self.timing.margin;
        for id in held.difference(holders) {
            self.reserved_until.entry(id.clone()).or_insert(until);
        }
        let is_kept =
            |id: &&InstanceId| self.reserved_until.get(*id).is_none_or(|until| now < *until);
        let mut reserved: BTreeSet<InstanceId> = held.iter().filter(is_kept).cloned().collect();
        for id in holders {
            if reserved.len() < MAX_RESERVED {
                reserved.insert(id.clone());
            }
        }
        reserved
    }
}
