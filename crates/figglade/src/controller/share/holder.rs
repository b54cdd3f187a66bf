//! The side of connection shares that runs at each instance.

use std::{collections::BTreeMap, time::Duration};

use super::{
    division::{reserved_share, total_share},
    types::{HolderSet, LeasePhase, ShareEpoch, ShareGrant, ShareRequest, ShareTiming},
};
use crate::{Incarnation, InstanceId, TargetId, Timestamp, controller::quorum::Term};

/// The most epochs kept to at a time; beyond it the instance takes no share until the latest one
/// is usable.
const MAX_EPOCHS: usize = 16;

/// The renewals in the time of a lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// The requests in the time of a lease while the instance waits for its shares.
const POLLS_PER_LEASE: u32 = 24;

/// Holds the shares of one instance.
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
    /// Until when the reserved connections may be used after a lease that ran out.
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

    /// Returns the point at which the next request is due.
    pub fn next_request_at(&self) -> Timestamp {
        self.next_request
    }

    /// Builds the request to send now; the driver keeps `now` for [`Self::handle_grant`].
    pub fn begin_request(&mut self, now: Timestamp) -> ShareRequest {
        self.expire(now);
        let parts = if self.is_settled() { RENEWALS_PER_LEASE } else { POLLS_PER_LEASE };
        self.next_request = now + self.timing.lease / parts;
        self.build_request()
    }

    /// Builds the request that gives the lease back; every connection must be closed before.
    pub fn begin_release(&mut self) -> ShareRequest {
        self.released = true;
        self.usable = None;
        self.lease_end = None;
        self.reserve_end = None;
        self.build_request()
    }

    /// Takes the answer to the request that was sent at `sent_at`.
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
        self.learn_epoch(&grant, now);
        self.take_usable(grant.usable_epoch);
    }

    /// Returns the epoch that the instance has yet to keep to, if any.
    ///
    /// Its shares already bound new connections. The driver closes what is above them and then
    /// calls [`Self::confirm_epoch`].
    pub fn unconfirmed_epoch(&self) -> Option<ShareEpoch> {
        let latest = *self.epochs.last_key_value()?.0;
        (latest > self.acked).then_some(latest)
    }

    /// Takes note that no target has more connections than the shares of `epoch` allow.
    pub fn confirm_epoch(&mut self, epoch: ShareEpoch, now: Timestamp) {
        let known = self.epochs.last_key_value().is_some_and(|(latest, _)| *latest >= epoch);
        if known && epoch > self.acked {
            self.acked = epoch;
            self.next_request = now;
        }
    }

    /// Returns the connections that the instance may have to `target` when new ones are wanted.
    pub fn connection_share(&self, target: &TargetId, cap: u32, now: Timestamp) -> u32 {
        match self.lease_phase(now) {
            LeasePhase::Held => self.held_share(target, cap).max(self.kept_share(cap, now)),
            LeasePhase::Closing | LeasePhase::Expired => self.kept_share(cap, now),
        }
    }

    /// Returns the connections that may stay open to `target` while requests run on them.
    pub fn open_limit(&self, target: &TargetId, cap: u32, now: Timestamp) -> u32 {
        match self.lease_phase(now) {
            LeasePhase::Held | LeasePhase::Closing => {
                self.held_share(target, cap).max(self.kept_share(cap, now))
            }
            LeasePhase::Expired => self.kept_share(cap, now),
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

    /// Returns the point at which [`Self::lease_phase`] changes next, unless the lease is over.
    pub fn next_phase_at(&self, now: Timestamp) -> Option<Timestamp> {
        let end = self.lease_end.filter(|end| now < *end)?;
        let closing = end - self.timing.closing;
        Some(if now < closing { closing } else { end })
    }

    /// Returns whether the instance may connect to targets at all.
    pub fn holds_share(&self, now: Timestamp) -> bool {
        let Some(usable) = self.usable else { return false };
        let sets = || self.epochs.range(usable..).map(|(_, set)| set);
        let named = sets().all(|set| set.holders.contains(&self.instance));
        named && self.lease_phase(now) == LeasePhase::Held
    }

    /// Returns the epoch whose shares the instance uses, if any.
    pub fn usable_epoch(&self) -> Option<ShareEpoch> {
        self.usable
    }

    /// Returns the smallest share over every epoch that the instance keeps to.
    fn held_share(&self, target: &TargetId, cap: u32) -> u32 {
        let Some(usable) = self.usable else { return 0 };
        let shares = self.epochs.range(usable..);
        let least = shares.map(|(_, set)| total_share(cap, target, set, &self.instance)).min();
        least.unwrap_or(0)
    }

    /// Returns the connections to a target that the instance keeps without a usable epoch.
    fn kept_share(&self, cap: u32, now: Timestamp) -> u32 {
        let lease_end = self.lease_end.filter(|_| self.usable.is_some());
        let kept_end = lease_end.map(|end| end + self.timing.reserve);
        // A new instance has nothing reserved before its first epoch is usable.
        let Some(end) = self.reserve_end.or(kept_end) else { return 0 };
        if now >= end {
            return 0;
        }
        // An epoch that takes the reserved connection away was waited for by the leader.
        let from = self.usable.unwrap_or_default();
        let sets = self.epochs.range(from..).map(|(_, set)| set);
        sets.map(|set| reserved_share(cap, set, &self.instance)).min().unwrap_or(0)
    }

    /// Returns whether the instance uses the shares of the latest epoch and is among its holders.
    fn is_settled(&self) -> bool {
        self.epochs.last_key_value().is_some_and(|(latest, set)| {
            self.usable == Some(*latest) && set.holders.contains(&self.instance)
        })
    }

    /// Builds a request from the present state.
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

    /// Gives up the shares when the lease is over; the leader may have given them to others.
    fn expire(&mut self, now: Timestamp) {
        let Some(end) = self.lease_end.filter(|end| *end <= now) else { return };
        if self.usable.is_some() {
            self.reserve_end = Some(end + self.timing.reserve);
        }
        self.lease_end = None;
        self.usable = None;
    }

    /// Learns the holders of an epoch that was not known.
    fn learn_epoch(&mut self, grant: &ShareGrant, now: Timestamp) {
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

    /// Takes an epoch as usable and forgets the ones before it.
    fn take_usable(&mut self, usable: ShareEpoch) {
        if self.epochs.contains_key(&usable) && self.usable.is_none_or(|held| held < usable) {
            self.usable = Some(usable);
            self.reserve_end = None;
            self.epochs = self.epochs.split_off(&usable);
        }
    }
}
