//! Counts tokens and refusals of customers, for logs and metrics.

use std::collections::BTreeMap;

use crate::CustomerName;

/// The number of largest customers that a report contains.
const REPORTED_CUSTOMERS: usize = 20;

/// The counts of one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CustomerTally {
    /// The tokens that the granter granted to hubs.
    pub granted: u64,
    /// The tokens that requests used.
    pub spent: u64,
    /// The requests that were refused because the quota was used up.
    pub refused: u64,
}

/// Counts the tokens and refusals of all customers.
#[derive(Clone, Debug, Default)]
pub struct QuotaTally {
    customers: BTreeMap<CustomerName, CustomerTally>,
}

impl QuotaTally {
    /// Returns the counts of a customer, to add to them.
    pub fn entry(&mut self, customer: &CustomerName) -> &mut CustomerTally {
        self.customers.entry(customer.clone()).or_default()
    }

    /// Forgets customers that `is_kept` does not hold for.
    pub fn retain(&mut self, is_kept: impl Fn(&CustomerName) -> bool) {
        self.customers.retain(|customer, _| is_kept(customer));
    }

    /// Returns the customers with refusals and the largest others.
    pub fn report(&self) -> Vec<(&CustomerName, CustomerTally)> {
        let mut all: Vec<_> = self.customers.iter().map(|(name, tally)| (name, *tally)).collect();
        all.sort_by_key(|(_, tally)| std::cmp::Reverse(tally.granted.max(tally.spent)));
        let ranked = all.into_iter().enumerate();
        ranked
            .filter(|(rank, (_, tally))| *rank < REPORTED_CUSTOMERS || tally.refused > 0)
            .map(|(_, counted)| counted)
            .collect()
    }
}
