//! Validation of route sets.

use std::collections::HashSet;

use derive_more::{Display, Error};

use crate::{
    CustomerName, ServiceName,
    controller::route_set::{Destination, RouteSet, RouteSpec, customers::check_customers},
};

/// The reason why a route set was refused; the one in force does not change.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RouteSetError {
    /// The document could not be read.
    #[display("the document cannot be read: {reason}")]
    Unreadable {
        /// The error of the decoder.
        reason: String,
    },
    /// A route names a service that the set does not define.
    #[display("route {route:?} names service {service}, which the route set does not define")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[display("routes {first:?} and {second:?} have the same host {host:?} and prefix {prefix:?}")]
    DuplicateRoute {
        /// The route that comes first in the set.
        first: String,
        /// The other route.
        second: String,
        /// The host of both.
        host: String,
        /// The path prefix of both.
        prefix: String,
    },
    /// A weight of a route is negative, or the sum of its weights is zero or not finite.
    #[display("the weights of route {route:?} must not be negative and must sum to more than 0")]
    InvalidWeights {
        /// The route.
        #[error(not(source))]
        route: String,
    },
    /// The timeout of a route is zero.
    #[display("the timeout of route {route:?} must be greater than 0 ms")]
    ZeroTimeout {
        /// The route.
        #[error(not(source))]
        route: String,
    },
    /// A prefix does not have the form `/.../`.
    #[display("prefix {prefix:?} of route {route:?} must begin and end with a slash")]
    BadPrefix {
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// Two customers have the same key.
    #[display("customers {first} and {second} have the same key")]
    SharedKey {
        /// The customer that comes first in the set.
        first: CustomerName,
        /// The other customer.
        second: CustomerName,
    },
    /// The rate or the burst of a customer is negative or not finite.
    #[display("rate {rate} and burst {burst} of customer {customer} must be finite and at least 0")]
    InvalidQuota {
        /// The customer.
        customer: CustomerName,
        /// The rate.
        rate: String,
        /// The burst.
        burst: String,
    },
    /// A route has no destination.
    #[display("route {route:?} must name a service, weighted services or shards")]
    NoDestination {
        /// The route.
        #[error(not(source))]
        route: String,
    },
}

/// Checks that a route set is valid.
///
/// # Errors
///
/// Fails with the first problem found.
pub fn check_routes(set: &RouteSet) -> Result<(), RouteSetError> {
    let services: HashSet<_> = set.services.iter().map(|service| &service.name).collect();
    check_customers(set.customers.as_deref().unwrap_or_default())?;
    let mut first_routes = std::collections::HashMap::new();
    for route in &set.routes {
        check_route(route, &services)?;
        let key = (route.host.as_str(), route.prefix.as_str());
        if let Some(first) = first_routes.insert(key, route) {
            return Err(RouteSetError::DuplicateRoute {
                first: first.name.clone(),
                second: route.name.clone(),
                host: route.host.clone(),
                prefix: route.prefix.clone(),
            });
        }
    }
    Ok(())
}

fn check_route(route: &RouteSpec, known: &HashSet<&ServiceName>) -> Result<(), RouteSetError> {
    let name = || route.name.clone();
    if route.timeout.is_zero() {
        return Err(RouteSetError::ZeroTimeout { route: name() });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(RouteSetError::BadPrefix { route: name(), prefix: route.prefix.clone() });
    }
    let named: Vec<_> = match &route.destination {
        Destination::Service(service) => vec![service],
        Destination::Weighted(parts) => {
            let sum: f64 = parts.iter().map(|part| part.weight).sum();
            let is_any_negative = parts.iter().any(|part| part.weight < 0.0);
            if is_any_negative || !sum.is_finite() || sum <= 0.0 {
                return Err(RouteSetError::InvalidWeights { route: name() });
            }
            parts.iter().map(|part| &part.service).collect()
        }
        Destination::Shards(plan) => plan.services.iter().collect(),
    };
    if named.is_empty() {
        return Err(RouteSetError::NoDestination { route: name() });
    }
    match named.into_iter().find(|service| !known.contains(service)) {
        Some(service) => {
            Err(RouteSetError::UnknownService { route: name(), service: service.clone() })
        }
        None => Ok(()),
    }
}
