//! Decides by its key whether a request is served, and for which customer.

use std::time::Duration;

use crate::{
    Timestamp,
    controller::route_set::{CustomerSpec, RouteSpec, RouteTable},
};

/// The age above which a proof says nothing of unknown keys any more: a suspended instance takes its
/// proof for current until its timers run.
pub const MAX_PROOF_AGE: Duration = Duration::from_millis(2_500);
/// For how long a hub may already have lost the control group when it gives a proof.
const HUB_DELAY: Duration = Duration::from_millis(1_500);

/// Whether known keys are still accepted where it is not proved that they have not been withdrawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RevocationRule {
    /// They are, once the route set was proved to be the newest since the start of the instance.
    #[default]
    Available,
    /// They are not, once a withdrawn key could have worked for this long.
    Strict(Duration),
}

impl RevocationRule {
    /// Returns whether a proof of this age suffices for a known key.
    fn allows(self, age: Duration) -> bool {
        match self {
            Self::Available => true,
            Self::Strict(bound) => age <= bound.saturating_sub(HUB_DELAY),
        }
    }
}

/// How far it is proved that the route set in force is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteProof {
    /// It is proved now.
    Current,
    /// It was proved recently enough for known keys.
    Recent,
    /// It has not been proved since the start, or not recently enough.
    Missing,
}

impl RouteProof {
    /// Returns the state of the proof at `now`; `is_current` is whether it still holds, and
    /// `proved_at` the time that the last one holds for.
    pub fn new(
        is_current: bool,
        proved_at: Option<Timestamp>,
        rule: RevocationRule,
        now: Timestamp,
    ) -> Self {
        let Some(age) = proved_at.map(|at| now.since(at)) else { return Self::Missing };
        if !rule.allows(age) {
            Self::Missing
        } else if is_current && age <= MAX_PROOF_AGE {
            Self::Current
        } else {
            Self::Recent
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
