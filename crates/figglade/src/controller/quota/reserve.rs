//! The tokens that a hub holds for the instances that ask it.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::{
    granter::{RefillAsk, RefillGrant},
    plan::QuotaTable,
};
use crate::{CustomerName, Timestamp};

/// The time after which a hub ignores a reply of the granter; its tokens are lost.
pub const REFILL_TIMEOUT: Duration = Duration::from_millis(150);
/// The time without a granter after which a reserve is no longer used. The plans count a hub that
/// cannot be reached for longer than this.
pub const RESERVE_LIFETIME: Duration = Duration::from_secs(30);
/// The maximum time for which a hub does not ask for more tokens after a grant that emptied the
/// bucket.
const MAX_SHORTAGE: Duration = Duration::from_millis(200);

/// The time before a reserve that the granter did not fill asks again for tokens that no request waits
/// for.
const TOP_UP_DELAY: Duration = Duration::from_millis(200);

/// The answer to an instance that asks for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// A token was taken from the reserve.
    Taken,
    /// The customer has used up its quota; the granter has a token after this time.
    Exhausted(Duration),
    /// The reserve is empty, and the granter has not said that the quota is used up.
    Empty,
    /// The customer has no quota.
    Unlimited,
}

/// The time in which the granter has no token.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    /// When the granter has a token again.
    ends_at: Timestamp,
    /// When the hub asks again; another hub may have returned tokens by then.
    asks_at: Timestamp,
}

/// The reserve of one customer.
#[derive(Clone, Copy, Debug, Default)]
struct CustomerReserve {
    held: u32,
    /// The limit of the own plan.
    planned_limit: u32,
    /// The limit that the granter named last; it may know of more hubs.
    granted_limit: Option<u32>,
    /// The shortage that the granter reported last, if its bucket was empty then.
    shortage: Option<Shortage>,
    /// When to ask again for missing tokens that no request waits for.
    tops_up_at: Timestamp,
}

impl CustomerReserve {
    fn limit(&self) -> u32 {
        self.planned_limit.min(self.granted_limit.unwrap_or(self.planned_limit))
    }

    fn missing(&self) -> u32 {
        self.limit().saturating_sub(self.held)
    }
}

/// Holds the reserves of one hub.
#[derive(Clone, Debug, Default)]
pub struct QuotaReserve {
    reserves: BTreeMap<CustomerName, CustomerReserve>,
    /// When the request was sent that the granter answered last.
    refreshed: Option<Timestamp>,
}

impl QuotaReserve {
    /// Applies the plans of a route set; reserves above their new limits are reduced at once.
    pub fn update(&mut self, table: &QuotaTable) {
        self.reserves.retain(|customer, _| table.get(customer).is_some());
        for (customer, plan) in table.iter() {
            let reserve = self.reserves.entry(customer.clone()).or_default();
            // The granter named its limit for an earlier plan, which says nothing about a raised one.
            if plan.reserve > reserve.planned_limit {
                reserve.granted_limit = None;
            }
            reserve.planned_limit = plan.reserve;
            reserve.held = reserve.held.min(reserve.limit());
        }
    }

    /// Takes a token of a customer.
    pub fn take(&mut self, customer: &CustomerName, now: Timestamp) -> TakeOutcome {
        let is_fresh = self.refreshed.is_some_and(|at| now.since(at) < RESERVE_LIFETIME);
        let Some(reserve) = self.reserves.get_mut(customer) else { return TakeOutcome::Unlimited };
        if !is_fresh {
            reserve.held = 0;
        }
        if reserve.held > 0 {
            reserve.held -= 1;
            return TakeOutcome::Taken;
        }
        match reserve.shortage.filter(|shortage| shortage.asks_at > now) {
            Some(shortage) => TakeOutcome::Exhausted(shortage.ends_at.since(now)),
            None => TakeOutcome::Empty,
        }
    }

    /// Puts an unused token back that was taken less than [`super::RETURN_LIFETIME`] ago.
    pub fn give_back(&mut self, customer: &CustomerName) {
        if let Some(reserve) = self.reserves.get_mut(customer) {
            reserve.held = (reserve.held + 1).min(reserve.limit().max(reserve.held));
        }
    }

    /// Returns the tokens to ask the granter for: those missing from the reserves, and one for each
    /// waiting request of `waiting`. Customers whose quota is used up are left out until the granter
    /// has a token again.
    pub fn begin_refill(
        &self,
        waiting: &HashMap<CustomerName, u32>,
        now: Timestamp,
    ) -> Vec<RefillAsk> {
        let due = self
            .reserves
            .iter()
            .filter(|(_, reserve)| reserve.shortage.is_none_or(|shortage| shortage.asks_at <= now));
        let asks = due.filter_map(|(customer, reserve)| {
            let missing = reserve.missing();
            let waiting = waiting.get(customer).copied().unwrap_or_default();
            let is_due = waiting > 0 || missing > 0 && reserve.tops_up_at <= now;
            is_due.then(|| RefillAsk { customer: customer.clone(), missing, waiting })
        });
        asks.collect()
    }

    /// Adds the tokens of a reply to a request sent at `sent`. A late reply is ignored: its tokens
    /// would count in a later window. Waiting requests take their tokens next, and then
    /// [`Self::trim`] removes what exceeds the limits.
    pub fn complete_refill(&mut self, sent: Timestamp, grants: &[RefillGrant], now: Timestamp) {
        if now.since(sent) >= REFILL_TIMEOUT {
            return;
        }
        self.refreshed = Some(sent);
        for grant in grants {
            let Some(reserve) = self.reserves.get_mut(&grant.customer) else { continue };
            reserve.granted_limit = Some(grant.limit);
            reserve.held += grant.tokens;
            let wait = Duration::from_millis(u64::from(grant.wait_ms));
            let asks_at = now + wait.min(MAX_SHORTAGE);
            reserve.shortage = (!wait.is_zero()).then(|| Shortage { ends_at: now + wait, asks_at });
            let is_short = reserve.missing() > 0;
            reserve.tops_up_at = if is_short { now + TOP_UP_DELAY } else { now };
        }
    }

    /// Reduces the reserves to their limits.
    pub fn trim(&mut self) {
        for reserve in self.reserves.values_mut() {
            reserve.held = reserve.held.min(reserve.limit());
        }
    }

    /// Returns the tokens held for all customers.
    pub fn total_held(&self) -> u64 {
        self.reserves.values().map(|reserve| u64::from(reserve.held)).sum()
    }
}
