//! Route sets: which service answers a request, decided by its host and path.
//!
//! A route set is versioned and replaced whole; the highest version is in force. The quorum log
//! keeps the document as the operator sent it, and every instance decodes it through a
//! [`RouteCodec`], so that what is read back is what was sent.

mod book;
mod check;
mod table;
mod types;

pub use crate::RouteSetVersion;

pub use self::{
    book::{
        CurrentRouteSet, MAX_ROUTE_DOCUMENT_BYTES, RouteDocument, RoutePut, RouteReply, UnpackError,
    },
    check::{RouteSetError, check_routes},
    table::RouteTable,
    types::{
        CallerLimits, Destination, RepeatRule, RouteCodec, RouteSet, RouteSpec, ServiceSpec,
        ShardPlan, WeightedService,
    },
};
