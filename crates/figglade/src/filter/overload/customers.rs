//! The recent and the usual request rate of each customer at this instance.

use std::{collections::HashMap, time::Duration};

use super::decay::DecayingCount;
use crate::{CustomerName, Timestamp};

/// The period of the recent rate. A burst lasts some seconds and should be recognized within one.
const RECENT_PERIOD: Duration = Duration::from_secs(1);
/// The period of the usual rate. A burst of 6 s at seven times the usual rate does not double it.
const USUAL_PERIOD: Duration = Duration::from_secs(60);
/// A customer is above its usual rate from this many times that rate on; ordinary bursts reach 2.3.
const EXCESS_FACTOR: f64 = 3.0;
/// The recent requests that are always usual, so that a few requests of a small customer are not
/// taken for a burst.
const MIN_EXCESS: f64 = 4.0;
/// The maximum number of customers in the table; the one with the fewest requests makes way.
const MAX_CUSTOMERS: usize = 128;

#[derive(Clone, Copy, Debug)]
struct CustomerLoad {
    first_seen: Timestamp,
    offered: DecayingCount,
    admitted: DecayingCount,
    usual: DecayingCount,
}

/// The load of the customers that use this instance.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerTable {
    loads: HashMap<CustomerName, CustomerLoad>,
}

impl CustomerTable {
    /// Records a request and returns whether its customer is far above its usual rate.
    pub(super) fn record_offered(&mut self, customer: &CustomerName, now: Timestamp) -> bool {
        if !self.loads.contains_key(customer) {
            self.make_room(now);
            let load = CustomerLoad {
                first_seen: now,
                offered: DecayingCount::default(),
                admitted: DecayingCount::default(),
                usual: DecayingCount::default(),
            };
            self.loads.insert(customer.clone(), load);
        }
        let Some(load) = self.loads.get_mut(customer) else { return false };
        let is_above = load.is_above_usual(now);
        load.offered.add(1.0, RECENT_PERIOD, now);
        load.usual.add(1.0, USUAL_PERIOD, now);
        is_above
    }

    /// Records that a request of the customer was admitted.
    pub(super) fn record_admitted(&mut self, customer: &CustomerName, now: Timestamp) {
        if let Some(load) = self.loads.get_mut(customer) {
            load.admitted.add(1.0, RECENT_PERIOD, now);
        }
    }

    /// Returns whether less than `share` of the recent requests of the customer were admitted.
    pub(super) fn is_starved(&self, customer: &CustomerName, share: f64, now: Timestamp) -> bool {
        self.loads.get(customer).is_some_and(|load| {
            load.admitted.get(RECENT_PERIOD, now) < share * load.offered.get(RECENT_PERIOD, now)
        })
    }

    fn make_room(&mut self, now: Timestamp) {
        if self.loads.len() < MAX_CUSTOMERS {
            return;
        }
        let usual = |load: &CustomerLoad| load.usual.get(USUAL_PERIOD, now);
        let least =
            self.loads.iter().min_by(|(_, left), (_, right)| usual(left).total_cmp(&usual(right)));
        if let Some(name) = least.map(|(name, _)| name.clone()) {
            self.loads.remove(&name);
        }
    }
}

impl CustomerLoad {
    fn is_above_usual(&self, now: Timestamp) -> bool {
        let age = now.since(self.first_seen);
        // The part of each period that the customer has been observed for; without it, the usual rate
        // of a customer that has just been seen would be too low.
        let observed = |period: Duration| {
            let part = 1.0 - (-age.as_secs_f64() / period.as_secs_f64()).exp();
            part * period.as_secs_f64()
        };
        let usual_rate = self.usual.get(USUAL_PERIOD, now) / observed(USUAL_PERIOD).max(1.0);
        let usual = usual_rate * observed(RECENT_PERIOD);
        self.offered.get(RECENT_PERIOD, now) > usual * EXCESS_FACTOR + MIN_EXCESS
    }
}
