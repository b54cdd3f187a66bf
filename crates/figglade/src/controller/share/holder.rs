//! The holder of connection shares, which runs on each instance.

use std::{collections::BTreeMap, time::Duration};

use super::{
    division::{reserved_share, total_share},
    types::{HolderSet, LeasePhase, ShareEpoch, ShareGrant, ShareRequest, ShareTiming},
};
use crate::{Incarnation, InstanceId, TargetId, Timestamp, controller::quorum::Term};

/// The maximum number of epochs that limit the shares at a time; beyond it the instance has no
/// share until the leader reports one of the remaining epochs as usable.
const MAX_EPOCHS: usize = 16;

/// The number of renewals per lease duration.
const RENEWALS_PER_LEASE: u32 = 3;

/// The number of requests per lease duration while the instance waits for its shares.
const POLLS_PER_LEASE: u32 = 24;

/// Tracks the lease and the shares of one instance.
#[derive(Clone, Debug)]
pub struct ShareHolder {
    instance: InstanceId,
    incarnation: Incarnation,
    timing: ShareTiming,
    term: Term,
    epochs: BTreeMap<ShareEpoch, HolderSet>,
    usable: Option<ShareEpoch>,
    acked: ShareEpoch,
    lease_end: Option<Timestamp>,
    /// The time until which the reserved connections may be used after the lease has expired.
    reserve_end: Option<Timestamp>,
    next_request: Timestamp,
    released: bool,
}

impl ShareHolder {
    /// Builds the holder of an instance without a lease.
    pub fn new(
        instance: InstanceId,
        incarnation: Incarnation,
        timing: ShareTiming,
        now: Timestamp,
    ) -> Self {
        Self {
            instance,
            incarnation,
            timing,
            term: Term::default(),
            epochs: BTreeMap::new(),
            usable: None,
            acked: ShareEpoch::default(),
            lease_end: None,
            reserve_end: None,
            next_request: now,
            released: false,
        }
    }

    /// Returns the time at which the next request is due.
    pub fn next_request_at(&self) -> Timestamp {
        self.next_request
    }

    /// Builds the request to send now; the driver passes `now` as `sent_at` to
    /// [`Self::handle_grant`].
    pub fn begin_request(&mut self, now: Timestamp) -> ShareRequest {
        self.expire(now);
        let per_lease = if self.is_settled() { RENEWALS_PER_LEASE } else { POLLS_PER_LEASE };
        self.next_request = now + self.timing.lease / per_lease;
        self.build_request()
    }

    /// Builds the request that releases the lease; the driver must have closed every connection.
    pub fn begin_release(&mut self) -> ShareRequest {
        self.released = true;
        self.usable = None;
        self.lease_end = None;
        self.reserve_end = None;
        self.build_request()
    }

    /// Handles the reply to the request that was sent at `sent_at`.
    pub fn handle_grant(&mut self, grant: ShareGrant, sent_at: Timestamp, now: Timestamp) {
        self.expire(now);
        if self.released || grant.term < self.term {
            return;
        }
        self.term = grant.term;
        let lease = Duration::from_millis(grant.lease_ms);
        let lease_end = sent_at + lease;
        if lease.is_zero() || lease_end <= now {
            return;
        }
        self.lease_end = self.lease_end.max(Some(lease_end));
        self.record_epoch(&grant, now);
        self.set_usable(grant.usable_epoch);
    }

    /// Returns the latest epoch if the instance has not confirmed it yet.
    ///
    /// Its shares already limit new connections. The driver closes the connections that exceed them
    /// and then calls [`Self::confirm_epoch`].
    pub fn unconfirmed_epoch(&self) -> Option<ShareEpoch> {
        let latest = *self.epochs.last_key_value()?.0;
        (latest > self.acked).then_some(latest)
    }

    /// Records that no target has more connections than the shares of `epoch` allow.
    pub fn confirm_epoch(&mut self, epoch: ShareEpoch, now: Timestamp) {
        let known = self.epochs.last_key_value().is_some_and(|(latest, _)| *latest >= epoch);
        if known && epoch > self.acked {
            self.acked = epoch;
            self.next_request = now;
        }
    }

    /// Returns the number of connections to `target` up to which the instance may open new ones.
    pub fn connection_share(&self, target: &TargetId, cap: u32, now: Timestamp) -> u32 {
        match self.lease_phase(now) {
            LeasePhase::Held => self.held_share(target, cap).max(self.retained_share(cap, now)),
            LeasePhase::Closing | LeasePhase::Expired => self.retained_share(cap, now),
        }
    }

    /// Returns the number of connections to `target` that may stay open while requests run on them.
    pub fn open_limit(&self, target: &TargetId, cap: u32, now: Timestamp) -> u32 {
        match self.lease_phase(now) {
            LeasePhase::Held | LeasePhase::Closing => {
                self.held_share(target, cap).max(self.retained_share(cap, now))
            }
            LeasePhase::Expired => self.retained_share(cap, now),
        }
    }

    /// Returns what the instance may do with its connections.
    pub fn lease_phase(&self, now: Timestamp) -> LeasePhase {
        match self.lease_end {
            Some(end) if now + self.timing.closing < end => LeasePhase::Held,
            Some(end) if now < end => LeasePhase::Closing,
            _ => LeasePhase::Expired,
        }
    }

    /// Returns the time at which [`Self::lease_phase`] changes next, or `None` if the lease has
    /// expired.
    pub fn next_phase_at(&self, now: Timestamp) -> Option<Timestamp> {
        let end = self.lease_end.filter(|end| now < *end)?;
        let closing = end - self.timing.closing;
        Some(if now < closing { closing } else { end })
    }

    /// Returns whether the instance may open connections to targets.
    pub fn holds_share(&self, now: Timestamp) -> bool {
        let Some(usable) = self.usable else { return false };
        let sets = || self.epochs.range(usable..).map(|(_, set)| set);
        let is_holder = sets().all(|set| set.holders.contains(&self.instance));
        is_holder && self.lease_phase(now) == LeasePhase::Held
    }

    /// Returns the epoch whose shares the instance uses, if any.
    pub fn usable_epoch(&self) -> Option<ShareEpoch> {
        self.usable
    }

    /// Returns the smallest share over the usable epoch and all later ones.
    fn held_share(&self, target: &TargetId, cap: u32) -> u32 {
        let Some(usable) = self.usable else { return 0 };
        let shares = self.epochs.range(usable..);
        let smallest = shares.map(|(_, set)| total_share(cap, target, set, &self.instance)).min();
        smallest.unwrap_or(0)
    }

    /// Returns the number of reserved connections to a target, which the instance keeps even after
    /// its lease has expired.
    fn retained_share(&self, cap: u32, now: Timestamp) -> u32 {
        let lease_end = self.lease_end.filter(|_| self.usable.is_some());
        let reserve_end = lease_end.map(|end| end + self.timing.reserve);
        // A new instance has no reserved connections before its first epoch is usable.
        let Some(end) = self.reserve_end.or(reserve_end) else { return 0 };
        if now >= end {
            return 0;
        }
        // Epochs before the usable one no longer count: the leader waited for the acknowledgement
        // of an epoch that takes the reserved connection away.
        let from = self.usable.unwrap_or_default();
        let sets = self.epochs.range(from..).map(|(_, set)| set);
        sets.map(|set| reserved_share(cap, set, &self.instance)).min().unwrap_or(0)
    }

    /// Returns whether the latest epoch is usable and the instance is among its holders.
    fn is_settled(&self) -> bool {
        self.epochs.last_key_value().is_some_and(|(latest, set)| {
            self.usable == Some(*latest) && set.holders.contains(&self.instance)
        })
    }

    /// Builds a request from the current state.
    fn build_request(&self) -> ShareRequest {
        let known_epoch = self.epochs.last_key_value().map(|(epoch, _)| *epoch);
        ShareRequest {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            acked_epoch: self.acked,
            known_epoch: known_epoch.unwrap_or_default(),
            release: self.released,
        }
    }

    /// Drops the shares if the lease has expired, since the leader may have reassigned them.
    fn expire(&mut self, now: Timestamp) {
        let Some(end) = self.lease_end.filter(|end| *end <= now) else { return };
        if self.usable.is_some() {
            self.reserve_end = Some(end + self.timing.reserve);
        }
        self.lease_end = None;
        self.usable = None;
    }

    /// Records the holders of an epoch that was not known yet.
    fn record_epoch(&mut self, grant: &ShareGrant, now: Timestamp) {
        let latest = self.epochs.last_key_value().map(|(epoch, _)| *epoch).unwrap_or_default();
        let Some(holders) = grant.holders.as_ref().filter(|_| grant.epoch > latest) else {
            return;
        };
        let reserved = grant.reserved.clone();
        let set = HolderSet { epoch: grant.epoch, holders: holders.clone(), reserved };
        self.epochs.insert(grant.epoch, set);
        if self.epochs.len() > MAX_EPOCHS {
            self.epochs.pop_first();
            self.usable = None;
        }
        self.next_request = now;
    }

    /// Marks an epoch as usable and drops the ones before it.
    fn set_usable(&mut self, usable: ShareEpoch) {
        if self.epochs.contains_key(&usable) && self.usable.is_none_or(|held| held < usable) {
            self.usable = Some(usable);
            self.reserve_end = None;
            self.epochs = self.epochs.split_off(&usable);
        }
    }
}
