//! The side of connection shares that runs at the leader of the control group.

use std::collections::{BTreeMap, BTreeSet};

use super::types::{
    HolderSet, MAX_RESERVED, ShareAction, ShareEpoch, ShareGrant, ShareRequest, ShareTiming,
};
use crate::{Incarnation, InstanceId, Timestamp, controller::quorum::Term};

/// The most instances that one leader grants leases to.
pub const MAX_HOLDERS: usize = 1_024;

/// The lease of one instance as the leader counts it.
#[derive(Clone, Copy, Debug)]
struct HolderLease {
    incarnation: Incarnation,
    acked: ShareEpoch,
    ends_at: Timestamp,
}

/// Grants leases and moves the holders from epoch to epoch.
///
/// It is built when an instance becomes leader, after everything committed in earlier terms was
/// applied, and dropped when it no longer is. The driver passes requests on only while the leader
/// has proof that no other leader exists.
#[derive(Clone, Debug)]
pub struct ShareLeader {
    term: Term,
    timing: ShareTiming,
    committed: HolderSet,
    usable: ShareEpoch,
    leases: BTreeMap<InstanceId, HolderLease>,
    returning: BTreeMap<InstanceId, Timestamp>,
    /// Until when instances without a lease keep their reserved connections.
    absent: BTreeMap<InstanceId, Timestamp>,
    former_leases_end: Timestamp,
    proposed_at: Option<Timestamp>,
}

impl ShareLeader {
    /// Builds the leader of `term` from the holders committed last.
    pub fn new(term: Term, committed: HolderSet, timing: ShareTiming, now: Timestamp) -> Self {
        let is_first = committed.epoch == ShareEpoch::default();
        // Leases granted by a former leader may run this long.
        let former_leases_end = if is_first { now } else { now + timing.lease + timing.margin };
        Self {
            term,
            timing,
            committed,
            usable: ShareEpoch::default(),
            leases: BTreeMap::new(),
            returning: BTreeMap::new(),
            absent: BTreeMap::new(),
            former_leases_end,
            proposed_at: None,
        }
    }

    /// Returns the holders committed last.
    pub fn committed(&self) -> &HolderSet {
        &self.committed
    }

    /// Returns the latest epoch whose shares may be used without regard to earlier ones.
    pub fn usable_epoch(&self) -> ShareEpoch {
        self.usable
    }

    /// Returns the number of running leases.
    pub fn len_leases(&self, now: Timestamp) -> usize {
        self.leases.values().filter(|lease| lease.ends_at > now).count()
    }

    /// Answers a request for a lease.
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

    /// Takes the holders that the control group committed.
    pub fn handle_committed(&mut self, committed: HolderSet, now: Timestamp) -> Vec<ShareAction> {
        if committed.epoch > self.committed.epoch {
            self.committed = committed;
            self.proposed_at = None;
        }
        self.handle_tick(now)
    }

    /// Ends a change of epoch that everybody acknowledged, and begins the next when it is needed.
    pub fn handle_tick(&mut self, now: Timestamp) -> Vec<ShareAction> {
        self.leases.retain(|_, lease| lease.ends_at > now);
        self.returning.retain(|_, until| *until > now);
        if now < self.former_leases_end {
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

    /// Returns the point at which [`Self::handle_tick`] has something to do, if any.
    pub fn next_deadline(&self, now: Timestamp) -> Option<Timestamp> {
        if now < self.former_leases_end {
            return Some(self.former_leases_end);
        }
        let proposal = self.proposed_at.map(|at| at + self.timing.propose_period);
        let lease = self.leases.values().map(|lease| lease.ends_at).min();
        proposal.into_iter().chain(lease).min()
    }

    /// Records the lease of a request; returns whether it is granted.
    fn renew_lease(&mut self, request: &ShareRequest, now: Timestamp) -> bool {
        let held = self.leases.get(&request.instance).filter(|lease| lease.ends_at > now);
        let acked = match held {
            Some(lease) if lease.incarnation != request.incarnation => {
                self.note_restart(request, lease.incarnation, now);
                return false;
            }
            Some(lease) => lease.acked.max(request.acked_epoch),
            None if self.leases.len() >= MAX_HOLDERS => return false,
            None => request.acked_epoch,
        };
        if request.release {
            self.leases.remove(&request.instance);
            // It closed every connection, the reserved ones too.
            self.absent.insert(request.instance.clone(), now);
            return false;
        }
        let ends_at = now + self.timing.lease + self.timing.margin;
        let lease = HolderLease { incarnation: request.incarnation, acked, ends_at };
        self.leases.insert(request.instance.clone(), lease);
        true
    }

    /// Notes that an instance restarted while the process before it may still use its lease.
    ///
    /// It stays a holder, so that it takes its share over as soon as that lease is over.
    fn note_restart(&mut self, request: &ShareRequest, former: Incarnation, now: Timestamp) {
        if request.incarnation > former && !request.release {
            self.returning.insert(request.instance.clone(), now + self.timing.lease);
        }
    }

    /// Proposes the instances with running leases as holders when they are not.
    fn propose_holders(&mut self, now: Timestamp) -> Option<ShareAction> {
        let present = self.leases.keys().chain(self.returning.keys());
        let wanted: BTreeSet<InstanceId> = present.cloned().collect();
        let reserved = self.reserve_connections(&wanted, now);
        if wanted == self.committed.holders && reserved == self.committed.reserved {
            self.proposed_at = None;
            return None;
        }
        let waits = |at: Timestamp| now < at + self.timing.propose_period;
        if self.proposed_at.is_some_and(waits) {
            return None;
        }
        self.proposed_at = Some(now);
        let epoch = self.committed.epoch.next();
        Some(ShareAction::ProposeHolders(HolderSet { epoch, holders: wanted, reserved }))
    }

    /// Returns the instances with a reserved connection from the next epoch on: those that have one
    /// until they are absent for too long, then holders while there is room.
    fn reserve_connections(
        &mut self,
        holders: &BTreeSet<InstanceId>,
        now: Timestamp,
    ) -> BTreeSet<InstanceId> {
        let held = &self.committed.reserved;
        self.absent.retain(|id, _| held.contains(id) && !holders.contains(id));
        let until = now + self.timing.reserve + self.timing.margin;
        for id in held.difference(holders) {
            self.absent.entry(id.clone()).or_insert(until);
        }
        let is_kept = |id: &&InstanceId| self.absent.get(*id).is_none_or(|until| now < *until);
        let mut reserved: BTreeSet<InstanceId> = held.iter().filter(is_kept).cloned().collect();
        for id in holders {
            if reserved.len() < MAX_RESERVED {
                reserved.insert(id.clone());
            }
        }
        reserved
    }
}
