//! Divides the requests that a quota allows in one window between the levels that hold tokens.

use std::{collections::BTreeMap, time::Duration};

use super::reserve::REFILL_TIMEOUT;
use crate::{
    CustomerName, Timestamp,
    controller::route_set::{CustomerQuota, CustomerSpec},
};

/// The time after which an instance no longer uses a token, counted from when it asked for it.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(250);
/// The time after which a hub no longer takes a token back, counted from when it gave it.
pub const RETURN_LIFETIME: Duration = Duration::from_millis(400);
/// The maximum time from the grant of a token to its use, if it does not spend time in a reserve.
const TRANSIT_TIME: Duration =
    Duration::from_millis((REFILL_TIMEOUT.as_millis() + TOKEN_LIFETIME.as_millis()) as u64);
/// The tokens of a plan that stay unused: for the token that a bucket holds after a change of the
/// granter, and for the requests at the edges of a window.
const MARGIN_TOKENS: f64 = 3.0;
/// The minimum size of the granter's bucket; a smaller one never holds a whole token.
const MIN_CENTRAL: f64 = 1.0;
/// The hubs that a plan counts in addition to the known ones: a replacement may ask for tokens before
/// the other hubs have reduced their reserves.
const SPARE_HUBS: usize = 1;
/// The time for which the largest number of hubs is kept. It exceeds the time for which a hub without
/// a granter uses its reserve.
const HUB_PEAK_PERIOD: Duration = Duration::from_secs(60);

/// The rules for all quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// The length of the window in which the requests of a customer are bounded.
    pub window: Duration,
    /// The share by which the requests may exceed the quota in a window.
    pub overshoot: f64,
    /// The requests by which they may exceed it in addition.
    pub slack: f64,
}

impl QuotaRules {
    /// Returns the maximum number of requests of a customer that may reach targets in a window.
    pub fn bound(&self, quota: &CustomerQuota) -> f64 {
        let usual = quota.rate.get() * self.window.as_secs_f64() + quota.burst;
        usual * (1.0 + self.overshoot) + self.slack
    }
}

/// The tokens of one customer at each level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPlan {
    /// The quota.
    pub quota: CustomerQuota,
    /// The tokens that the bucket of the granter gains per second. The quota allows the burst in every
    /// window, so that this may exceed the rate.
    pub refill: f64,
    /// The maximum number of tokens in the bucket of the granter.
    pub central: f64,
    /// The maximum number of tokens in the reserve of a hub.
    pub reserve: u32,
    /// The number of hubs that may hold a full reserve.
    pub hubs: usize,
}

impl QuotaPlan {
    /// Divides the tokens of a quota between the granter and `hubs` hubs.
    ///
    /// A reserve is as large as possible while the granter and one hub together still hold the whole
    /// burst, so that a customer below its quota whose callers all use one hub is never refused. A
    /// reserve holds at least one token, also if the rules leave no room for it. What is left then
    /// refills the bucket faster, up to one burst in each window.
    pub fn new(quota: &CustomerQuota, rules: &QuotaRules, hubs: usize) -> Self {
        let rate = quota.rate.get();
        let hubs = hubs.max(1) + SPARE_HUBS;
        let room =
            rules.bound(quota) - rate * (rules.window + TRANSIT_TIME).as_secs_f64() - MARGIN_TOKENS;
        let count = hubs as f64;
        let for_burst = (room - quota.burst - 1.0) / (count - 1.0);
        let for_hubs = (room - MIN_CENTRAL) / count;
        // The cast saturates: a negative number becomes 0.
        let reserve = (for_burst.min(for_hubs) as u32).max(1);
        let free = (room - f64::from(reserve) * count).max(MIN_CENTRAL);
        let for_one_hub = (quota.burst + 1.0 - f64::from(reserve)).max(MIN_CENTRAL);
        let spare = (free - for_one_hub).max(0.0) / (rules.window + TRANSIT_TIME).as_secs_f64();
        let extra = spare.min(quota.burst / rules.window.as_secs_f64());
        let central = free - extra * (rules.window + TRANSIT_TIME).as_secs_f64();
        Self { quota: *quota, refill: rate + extra, central, reserve, hubs }
    }

    /// Returns whether the plan keeps the bound of the rules. Rules with little slack leave no room
    /// for a reserve of one token at each hub.
    pub fn keeps_bound(&self, rules: &QuotaRules) -> bool {
        let window = (rules.window + TRANSIT_TIME).as_secs_f64();
        let held = f64::from(self.reserve) * self.hubs as f64;
        self.refill * window + self.central + held <= rules.bound(&self.quota)
    }
}

/// The plans of all customers with a quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaTable {
    plans: BTreeMap<CustomerName, QuotaPlan>,
}

impl QuotaTable {
    /// Plans the quotas of a route set for a number of hubs.
    pub fn new(customers: &[CustomerSpec], rules: &QuotaRules, hubs: usize) -> Self {
        let limited = customers.iter().filter_map(|customer| {
            let quota = customer.quota.as_ref()?;
            Some((customer.name.clone(), QuotaPlan::new(quota, rules, hubs)))
        });
        Self { plans: limited.collect() }
    }

    /// Returns the plan of a customer, or `None` if it has no quota.
    pub fn get(&self, customer: &CustomerName) -> Option<&QuotaPlan> {
        self.plans.get(customer)
    }

    /// Iterates over the customers with a quota.
    pub fn iter(&self) -> impl Iterator<Item = (&CustomerName, &QuotaPlan)> {
        self.plans.iter()
    }
}

/// Tracks the largest number of hubs known in the last 60 s. A hub that cannot be reached
/// still holds its reserve.
#[derive(Clone, Debug, Default)]
pub struct HubCensus {
    peak: usize,
    /// The largest number of the period before.
    former_peak: usize,
    period_start: Timestamp,
}

impl HubCensus {
    /// Records a count and returns the largest recent one.
    pub fn record(&mut self, count: usize, now: Timestamp) -> usize {
        if now.since(self.period_start) >= HUB_PEAK_PERIOD {
            self.former_peak = self.peak;
            self.peak = count;
            self.period_start = now;
        }
        self.peak = self.peak.max(count);
        self.peak.max(self.former_peak)
    }
}
