//! Grants tokens to hubs.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::plan::{QuotaPlan, QuotaTable};
use crate::{CustomerName, Timestamp};

/// The tokens that a bucket holds which may have been emptied by a former granter, so that the first
/// request after a restart need not wait for one. The margin of the plans covers it.
const FIRST_TOKENS: f64 = 1.0;
/// The share of a bucket that is kept for requests that wait; reserves are filled from the rest.
/// Otherwise the reserves of idle hubs take the few tokens of a bucket that was emptied.
const WAITING_SHARE: f64 = 0.5;
/// The maximum wait for a token that a reply names, for rates near 0.
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(60);

/// A request of a hub for tokens of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefillAsk {
    /// The customer.
    pub customer: CustomerName,
    /// The tokens that are missing from its reserve.
    pub missing: u32,
    /// The requests that wait for a token.
    pub waiting: u32,
}

/// The tokens of a customer that a hub was granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefillGrant {
    /// The customer.
    pub customer: CustomerName,
    /// The tokens.
    pub tokens: u32,
    /// The maximum number of tokens in the reserve of a hub.
    pub limit: u32,
    /// The milliseconds until the granter holds a token again; 0 if it still holds one.
    pub wait_ms: u32,
}

/// The bucket of one customer.
#[derive(Clone, Debug)]
struct Bucket {
    plan: QuotaPlan,
    level: f64,
    filled_at: Timestamp,
    /// When the customer was found to have no quota any more.
    removed_at: Option<Timestamp>,
    /// The hubs that got their first reserve beside the bucket; `None` if the reserves may be full
    /// already.
    supplied: Option<BTreeSet<SocketAddr>>,
}

impl Bucket {
    fn fill(&mut self, now: Timestamp) {
        let filled = self.plan.refill * now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + filled).min(self.plan.central);
        self.filled_at = self.filled_at.max(now);
    }

    fn grant(&mut self, hub: SocketAddr, ask: &RefillAsk, now: Timestamp) -> u32 {
        self.fill(now);
        let missing = ask.missing.min(self.plan.reserve);
        if let Some(supplied) = &mut self.supplied
            && missing > 0
            && supplied.len() < self.plan.hubs
            && supplied.insert(hub)
        {
            return missing + self.withdraw(ask.waiting, 0.0);
        }
        let kept = self.plan.central * WAITING_SHARE;
        self.withdraw(ask.waiting, 0.0) + self.withdraw(missing, kept)
    }

    /// Takes up to `tokens` whole tokens from the bucket and leaves `kept` in it.
    fn withdraw(&mut self, tokens: u32, kept: f64) -> u32 {
        // The cast rounds down; a negative number becomes 0.
        let granted = tokens.min((self.level - kept) as u32);
        self.level -= f64::from(granted);
        granted
    }

    fn wait(&self) -> Duration {
        if self.level >= 1.0 {
            return Duration::ZERO;
        }
        let seconds = (1.0 - self.level) / self.plan.refill;
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_TOKEN_WAIT).min(MAX_TOKEN_WAIT)
    }
}

/// Holds the bucket of each customer while this member has the authority to grant.
#[derive(Clone, Debug, Default)]
pub struct QuotaGranter {
    buckets: BTreeMap<CustomerName, Bucket>,
    /// From when on the member may grant.
    starts: Timestamp,
    /// Whether no route set was committed when the authority began, so that nobody has granted
    /// anything before.
    is_first: bool,
}

impl QuotaGranter {
    /// Forgets all buckets when an authority begins that allows grants from `starts` on: the former
    /// granter may have granted their tokens. `is_first` tells that no route set was committed yet.
    pub fn restart(&mut self, starts: Timestamp, is_first: bool) {
        *self = Self { buckets: BTreeMap::new(), starts, is_first };
    }

    /// Applies the plans of a route set, which must be the one that the confirmation of the authority
    /// returned: a member whose authority has ended does not know the customers of a later one. The
    /// bucket of a new customer is full if no former granter can have granted its tokens within
    /// `window`; a bucket without a plan is kept for as long.
    pub fn update(&mut self, table: &QuotaTable, window: Duration, now: Timestamp) {
        self.buckets.retain(|customer, bucket| {
            table.get(customer).is_some()
                || now.since(*bucket.removed_at.get_or_insert(now)) < window
        });
        let may_start_full = self.is_first || self.starts + window <= now;
        for (customer, plan) in table.iter() {
            match self.buckets.get_mut(customer) {
                Some(bucket) if bucket.plan == *plan => bucket.removed_at = None,
                Some(bucket) => {
                    bucket.fill(now);
                    bucket.removed_at = None;
                    bucket.level = bucket.level.min(plan.central);
                    if bucket.plan.quota != plan.quota {
                        bucket.supplied = None;
                    }
                    bucket.plan = *plan;
                }
                None => {
                    let (level, filled_at) = if may_start_full {
                        (plan.central, now)
                    } else {
                        (plan.central.min(FIRST_TOKENS), now.max(self.starts))
                    };
                    let supplied = may_start_full.then(BTreeSet::new);
                    let bucket =
                        Bucket { plan: *plan, level, filled_at, removed_at: None, supplied };
                    self.buckets.insert(customer.clone(), bucket);
                }
            }
        }
    }

    /// Grants tokens to a hub; the caller has checked the authority. An unknown customer is left out
    /// of the reply.
    pub fn grant(
        &mut self,
        hub: SocketAddr,
        asks: &[RefillAsk],
        now: Timestamp,
    ) -> Vec<RefillGrant> {
        let grants = asks.iter().filter_map(|ask| {
            let bucket = self.buckets.get_mut(&ask.customer)?;
            let tokens = bucket.grant(hub, ask, now);
            // A wait is rounded up, so that the token is there after it.
            let wait_ms = bucket.wait().as_micros().div_ceil(1_000) as u32;
            let limit = bucket.plan.reserve;
            Some(RefillGrant { customer: ask.customer.clone(), tokens, limit, wait_ms })
        });
        grants.collect()
    }
}
