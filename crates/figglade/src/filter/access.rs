//! Decides by its key whether a request is served, and for which customer.

use std::time::Duration;

use crate::{
    Timestamp,
    controller::route_set::{CustomerSpec, RouteSpec, RouteTable},
};

/// The age of a proof above which a known key is not accepted any more, because it may have been
/// withdrawn. A withdrawn key stops working within 4 s, also where no hub is reached; a hub may have
/// lost the control group 1.5 s before it gave its last proof.
pub const MAX_PROOF_AGE: Duration = Duration::from_millis(2_500);

/// How far it is proved that the route set in force is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteProof {
    /// It is proved now.
    Current,
    /// It was proved within [`MAX_PROOF_AGE`].
    Recent,
    /// It has not been proved since the start, or for longer than that.
    Missing,
}

impl RouteProof {
    /// Returns the state of the proof at `now`; `is_current` is whether it still holds, and
    /// `proved_at` the time that the last one holds for. The age decides first: an instance that
    /// was suspended takes its proof for current until its timers run.
    pub fn new(is_current: bool, proved_at: Option<Timestamp>, now: Timestamp) -> Self {
        match proved_at {
            Some(at) if now.since(at) <= MAX_PROOF_AGE && is_current => Self::Current,
            Some(at) if now.since(at) <= MAX_PROOF_AGE => Self::Recent,
            _ => Self::Missing,
        }
    }
}

/// The decision on the key of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AccessDecision<'a> {
    /// The request is served, for a customer if its key belongs to one.
    Granted(Option<&'a CustomerSpec>),
    /// No customer holds the key.
    Denied,
    /// A newer route set may decide otherwise.
    Unproved,
}

/// Decides on a request on `route` with `key`; `proof` is the proof that `table` is the newest.
///
/// | route set | route | key | proof | decision |
/// |---|---|---|---|---|
/// | without customers | any | any | any | granted without a customer |
/// | with customers | public | held by a customer | any | granted for that customer |
/// | with customers | public | missing or unknown | any | granted without a customer |
/// | with customers | not public | held by a customer | current or recent | granted for that customer |
/// | with customers | not public | held by a customer | missing | unproved: it may be withdrawn |
/// | with customers | not public | missing or unknown | current | denied |
/// | with customers | not public | missing or unknown | recent or missing | unproved: it may be new |
pub fn decide_access<'a>(
    table: &'a RouteTable,
    route: &RouteSpec,
    key: Option<&[u8]>,
    proof: RouteProof,
) -> AccessDecision<'a> {
    if !table.has_customers() {
        return AccessDecision::Granted(None);
    }
    let customer = key.and_then(|key| table.find_customer(key));
    match (customer, proof) {
        _ if route.is_public => AccessDecision::Granted(customer),
        (Some(_), RouteProof::Current | RouteProof::Recent) => AccessDecision::Granted(customer),
        (None, RouteProof::Current) => AccessDecision::Denied,
        (Some(_), RouteProof::Missing) | (None, _) => AccessDecision::Unproved,
    }
}
