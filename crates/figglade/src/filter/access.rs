//! Decides by its key whether a request is served, and for which customer.

use crate::controller::route_set::{CustomerSpec, RouteSpec, RouteTable};

/// The decision on the key of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AccessDecision<'a> {
    /// The request is served, for a customer if its key belongs to one.
    Granted(Option<&'a CustomerSpec>),
    /// No customer holds the key.
    Denied,
    /// No customer of this route set holds the key, but a newer route set may have one.
    Unproved,
}

/// Decides on a request on `route` with `key`; `is_current` is whether `table` is proved to be the
/// newest.
///
/// | route set | route | key | decision |
/// |---|---|---|---|
/// | without customers | any | any | granted without a customer |
/// | with customers | any | held by a customer | granted for that customer |
/// | with customers | public | missing or unknown | granted without a customer |
/// | with customers, proved | not public | missing or unknown | denied |
/// | with customers, not proved | not public | missing or unknown | unproved: the caller asks again |
pub fn decide_access<'a>(
    table: &'a RouteTable,
    route: &RouteSpec,
    key: Option<&[u8]>,
    is_current: bool,
) -> AccessDecision<'a> {
    if !table.has_customers() {
        return AccessDecision::Granted(None);
    }
    match key.and_then(|key| table.find_customer(key)) {
        None if !route.is_public && is_current => AccessDecision::Denied,
        None if !route.is_public => AccessDecision::Unproved,
        customer => AccessDecision::Granted(customer),
    }
}
