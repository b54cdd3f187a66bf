//! Customers of the callers, their keys and their quotas.

use std::{collections::HashMap, fmt};

use bytes::Bytes;

use crate::{CustomerName, RequestRate, controller::route_set::RouteSetError};

/// The key with which callers show which customer they belong to.
///
/// Its `Debug` output does not contain the key, because keys must not appear in logs.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct CallerKey(Bytes);

impl CallerKey {
    /// Wraps the bytes of a key.
    pub const fn new(bytes: Bytes) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the key.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CallerKey(..)")
    }
}

/// A customer of the callers.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSpec {
    /// The name, which targets and logs see.
    pub name: CustomerName,
    /// The keys of its callers; a customer without keys has lost access.
    pub keys: Vec<CallerKey>,
    /// The priority of its requests, which takes precedence over that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// The bound on its requests over all instances together; `None` if there is none.
    pub quota: Option<CustomerQuota>,
}

/// A bound on the requests of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerQuota {
    /// The requests per second.
    pub rate: RequestRate,
    /// The requests that may exceed the rate at a time.
    pub burst: f64,
}

impl CustomerQuota {
    /// Returns whether it bounds anything; a rate of 0 means that there is no bound.
    pub fn is_bound(&self) -> bool {
        self.rate.get() != 0.0
    }

    /// Checks the numbers of the quota of `customer`.
    ///
    /// # Errors
    ///
    /// Fails if the rate or the burst is negative or not finite.
    pub fn check(&self, customer: &CustomerName) -> Result<(), RouteSetError> {
        let is_allowed = |number: f64| number.is_finite() && number >= 0.0;
        if is_allowed(self.rate.get()) && is_allowed(self.burst) {
            return Ok(());
        }
        Err(RouteSetError::InvalidQuota {
            customer: customer.clone(),
            rate: self.rate.to_string(),
            burst: self.burst.to_string(),
        })
    }
}

/// Finds the customer of a key.
#[derive(Clone, Debug, Default)]
pub struct CustomerTable {
    positions: HashMap<Bytes, usize>,
}

impl CustomerTable {
    /// Builds the table of `customers` that passed validation. An empty key identifies none.
    pub fn new(customers: &[CustomerSpec]) -> Self {
        let keys = customers.iter().enumerate().flat_map(|(position, customer)| {
            let usable = customer.keys.iter().filter(|key| !key.as_bytes().is_empty());
            usable.map(move |key| (key.0.clone(), position))
        });
        Self { positions: keys.collect() }
    }

    /// Returns the position of the customer that holds `key`.
    pub fn find(&self, key: &[u8]) -> Option<usize> {
        self.positions.get(key).copied()
    }
}

/// Checks the customers of a route set.
pub(super) fn check_customers(customers: &[CustomerSpec]) -> Result<(), RouteSetError> {
    let mut holders: HashMap<&CallerKey, &CustomerSpec> = HashMap::new();
    for customer in customers {
        if let Some(quota) = &customer.quota {
            quota.check(&customer.name)?;
        }
        for key in &customer.keys {
            let other = holders.insert(key, customer);
            if let Some(other) = other.filter(|other| !std::ptr::eq(*other, customer)) {
                return Err(RouteSetError::SharedKey {
                    first: other.name.clone(),
                    second: customer.name.clone(),
                });
            }
        }
    }
    Ok(())
}
