//! The tokens and refusals that an instance gets from hubs.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::plan::TOKEN_LIFETIME;
use crate::{CustomerName, Timestamp};

/// The maximum time for which a refusal is repeated without asking a hub again.
const MAX_REFUSAL_CACHE: Duration = Duration::from_millis(200);

/// Identifies the time at which a hub gave a token, so that it can take it back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenStamp {
    /// The start of the hub.
    pub run: u64,
    /// The time on the clock of the hub.
    pub taken_at: Timestamp,
}

/// A token for one request; `H` names a hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaToken<H> {
    /// The hub that gave it.
    pub hub: H,
    /// Its stamp.
    pub stamp: TokenStamp,
    /// When it was asked for.
    pub asked: Timestamp,
}

impl<H> QuotaToken<H> {
    /// Returns whether the token may be used now.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now.since(self.asked) < TOKEN_LIFETIME
    }
}

/// A refusal of a hub.
#[derive(Clone, Copy, Debug)]
struct CachedRefusal {
    /// When there is a token again.
    refills_at: Timestamp,
    /// Until when the refusal is repeated.
    cached_until: Timestamp,
}

/// Caches the refusals of hubs, so that a flood of one customer costs few messages.
#[derive(Clone, Debug, Default)]
pub struct RefusalCache {
    refusals: HashMap<CustomerName, CachedRefusal>,
}

impl RefusalCache {
    /// Returns the time until there is a token again if requests of the customer are refused now.
    pub fn find(&self, customer: &CustomerName, now: Timestamp) -> Option<Duration> {
        let refusal = self.refusals.get(customer).filter(|held| held.cached_until > now)?;
        Some(refusal.refills_at.since(now))
    }

    /// Records that the quota of a customer is used up for `wait`.
    pub fn record(&mut self, customer: &CustomerName, wait: Duration, now: Timestamp) {
        self.refusals.retain(|_, held| held.cached_until > now);
        let cached_until = now + wait.min(MAX_REFUSAL_CACHE);
        let refusal = CachedRefusal { refills_at: now + wait, cached_until };
        self.refusals.insert(customer.clone(), refusal);
    }
}
