//! Route sets: they map the host and path of a request to the service that answers it.
//!
//! A route set is versioned and replaced as a whole; the highest version is in force. The quorum
//! log stores the document as the operator sent it, and every instance decodes it through a
//! [`RouteCodec`], so that reading a route set returns exactly what was sent.

mod book;
mod check;
mod customers;
mod table;
mod types;

pub use crate::RouteSetVersion;

pub use self::{
    book::{
        CurrentRouteSet, MAX_ROUTE_DOCUMENT_BYTES, RouteDocument, RoutePut, RouteReply, UnpackError,
    },
    check::{RouteSetError, check_routes},
    customers::{CallerKey, CustomerQuota, CustomerSpec, CustomerTable},
    table::RouteTable,
    types::{
        CallerLimits, Destination, RepeatRule, RouteCodec, RouteSet, RouteSpec, ServiceSpec,
        ShardPlan, WeightedService,
    },
};
