//! Route lookup by host and path.

use std::{collections::HashMap, sync::Arc};

use crate::{
    ServiceName,
    controller::route_set::{CustomerSpec, CustomerTable, RouteSet, RouteSpec, ServiceSpec},
};

/// Finds the route of a request. The cost of a lookup depends on the number of path segments only,
/// not on the number of routes.
#[derive(Clone, Debug)]
pub struct RouteTable {
    set: Arc<RouteSet>,
    hosts: HashMap<String, HashMap<String, usize>>,
    services: HashMap<ServiceName, usize>,
    names: HashMap<String, usize>,
    customers: CustomerTable,
}

impl RouteTable {
    /// Builds the table of a route set that passed validation.
    pub fn new(set: Arc<RouteSet>) -> Self {
        let mut hosts: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (position, route) in set.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().insert(route.prefix.clone(), position);
        }
        let routes = set.routes.iter().enumerate();
        let names = routes.map(|(position, route)| (route.name.clone(), position)).collect();
        let specs = set.services.iter().enumerate();
        let services = specs.map(|(position, spec)| (spec.name.clone(), position)).collect();
        let customers = CustomerTable::new(set.customers.as_deref().unwrap_or_default());
        Self { set, hosts, services, names, customers }
    }

    /// Returns whether the route set has customers, so that requests on routes that are not public
    /// need a key.
    pub fn has_customers(&self) -> bool {
        self.set.customers.is_some()
    }

    /// Returns the customer that holds `key`.
    pub fn find_customer(&self, key: &[u8]) -> Option<&CustomerSpec> {
        let position = self.customers.find(key)?;
        self.set.customers.as_ref()?.get(position)
    }

    /// Returns the service with this name.
    pub fn find_service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name).map(|&position| &self.set.services[position])
    }

    /// Returns the position of the route with this name in the set.
    pub fn find_by_name(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns the route set.
    pub const fn set(&self) -> &Arc<RouteSet> {
        &self.set
    }

    /// Returns the route with the longest prefix that matches `path`, which must not include the
    /// query string. The host may include a port and is compared case-insensitively.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let mut slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        let found = slashes.find_map(|(end, _)| prefixes.get(&path[..=end]));
        found.map(|&position| &self.set.routes[position])
    }
}
