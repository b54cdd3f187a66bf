//! Tests customers: the decision on a key, the validation of customers and the lookup of keys.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use figglade::{
    CustomerName, RequestRate, Timestamp,
    controller::route_set::{
        CallerKey, CallerLimits, CustomerQuota, CustomerSpec, Destination, RepeatRule, RouteSet,
        RouteSetError, RouteSetVersion, RouteSpec, RouteTable, ServiceSpec, check_routes,
    },
    filter::access::{
        AccessDecision::{self, Denied, Granted, Unproved},
        MAX_PROOF_AGE, RevocationRule, RouteProof, decide_access,
    },
};

const PROOFS: [RouteProof; 3] = [RouteProof::Current, RouteProof::Recent, RouteProof::Missing];

fn customer(name: &str, keys: &[&str]) -> CustomerSpec {
    let key = |key: &&str| CallerKey::new(Bytes::copy_from_slice(key.as_bytes()));
    let keys = keys.iter().map(key).collect();
    CustomerSpec { name: name.parse().unwrap(), keys, priority: None, quota: None }
}

fn route(is_public: bool) -> RouteSpec {
    RouteSpec {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        repeat: RepeatRule::Idempotent,
        timeout: Duration::from_secs(1),
        latency_goal: Duration::from_millis(100),
        priority: 1,
        max_attempts: 2,
        destination: Destination::Service("desk".parse().unwrap()),
        is_public,
    }
}

fn set_with(customers: Option<Vec<CustomerSpec>>) -> RouteSet {
    RouteSet {
        version: RouteSetVersion::new(1),
        routes: vec![route(false)],
        services: vec![ServiceSpec { name: "desk".parse().unwrap(), max_connections: 32 }],
        limits: CallerLimits::default(),
        customers,
    }
}

/// The decision with the name of the customer in place of its specification.
fn decide(
    table: &RouteTable,
    is_public: bool,
    key: Option<&str>,
    proof: RouteProof,
) -> AccessDecision<'static> {
    match decide_access(table, &route(is_public), key.map(str::as_bytes), proof) {
        Granted(Some(found)) => panic!("granted for {}", found.name),
        Granted(None) => Granted(None),
        Denied => Denied,
        Unproved => Unproved,
    }
}

fn customer_of(
    table: &RouteTable,
    is_public: bool,
    key: &str,
    proof: RouteProof,
) -> Option<CustomerName> {
    match decide_access(table, &route(is_public), Some(key.as_bytes()), proof) {
        Granted(customer) => customer.map(|customer| customer.name.clone()),
        Denied | Unproved => None,
    }
}

/// Guards against a request that is served without a valid key, and against a known key that is
/// served where it may have been withdrawn for longer than it may still work.
#[test]
fn access_depends_on_the_key_the_route_and_the_proof() {
    let held = customer("kino", &["k1", "k2"]);
    let table = RouteTable::new(Arc::new(set_with(Some(vec![held, customer("lost", &[])]))));
    for key in [None, Some(""), Some("k"), Some("k11"), Some("K1"), Some("k1 "), Some("kino")] {
        assert_eq!(decide(&table, false, key, RouteProof::Current), Denied, "{key:?}");
        assert_eq!(decide(&table, false, key, RouteProof::Recent), Unproved, "{key:?}");
        assert_eq!(decide(&table, false, key, RouteProof::Missing), Unproved, "{key:?}");
        for proof in PROOFS {
            assert_eq!(decide(&table, true, key, proof), Granted(None), "{key:?} {proof:?}");
        }
    }
    let kino = Some("kino".parse().unwrap());
    for key in ["k1", "k2"] {
        for proof in PROOFS {
            assert_eq!(customer_of(&table, true, key, proof), kino, "{key} {proof:?}");
        }
        assert_eq!(customer_of(&table, false, key, RouteProof::Current), kino);
        assert_eq!(customer_of(&table, false, key, RouteProof::Recent), kino);
        assert_eq!(decide(&table, false, Some(key), RouteProof::Missing), Unproved);
    }
}

/// Guards against a deployment without customers that asks for keys, and against one that loses its
/// last customer and is open to all from then on.
#[test]
fn only_a_route_set_without_customers_needs_no_keys() {
    let open = RouteTable::new(Arc::new(set_with(None)));
    let closed = RouteTable::new(Arc::new(set_with(Some(Vec::new()))));
    for proof in PROOFS {
        assert_eq!(decide(&open, false, None, proof), Granted(None));
        assert_eq!(decide(&open, false, Some("k1"), proof), Granted(None));
    }
    assert_eq!(decide(&closed, false, Some("k1"), RouteProof::Current), Denied);
}

/// Guards against an instance that was suspended and denies new keys until its timers run, and against
/// one that accepts keys after a restart before it knows the newest route set.
#[test]
fn a_proof_ends_with_its_age() {
    let rule = RevocationRule::Available;
    let at = Timestamp::ZERO + Duration::from_secs(9);
    let old = at + MAX_PROOF_AGE + Duration::from_millis(1);
    assert_eq!(RouteProof::new(true, Some(at), rule, at), RouteProof::Current);
    assert_eq!(RouteProof::new(false, Some(at), rule, at + MAX_PROOF_AGE), RouteProof::Recent);
    assert_eq!(RouteProof::new(true, Some(at), rule, old), RouteProof::Recent);
    assert_eq!(RouteProof::new(true, None, rule, at), RouteProof::Missing);
}

/// Guards against an instance that no hub reaches and that accepts a withdrawn key for longer than the
/// settings allow.
#[test]
fn a_strict_rule_ends_the_use_of_known_keys() {
    let rule = RevocationRule::Strict(Duration::from_secs(4));
    let at = Timestamp::ZERO + Duration::from_secs(9);
    let old = at + MAX_PROOF_AGE + Duration::from_millis(1);
    assert_eq!(RouteProof::new(true, Some(at), rule, at), RouteProof::Current);
    assert_eq!(RouteProof::new(false, Some(at), rule, at + MAX_PROOF_AGE), RouteProof::Recent);
    assert_eq!(RouteProof::new(true, Some(at), rule, old), RouteProof::Missing);
    assert_eq!(RouteProof::new(false, Some(at), rule, old), RouteProof::Missing);
    assert_eq!(RouteProof::new(true, None, rule, at), RouteProof::Missing);
}

/// Guards against two customers behind one key, whose requests could not be told apart, and against
/// an error that shows the key.
#[test]
fn customers_that_share_a_key_are_refused_without_showing_it() {
    let shared = vec![customer("a", &["one", "s3cret"]), customer("b", &["s3cret"])];
    let error = check_routes(&set_with(Some(shared))).unwrap_err();
    let [first, second] = ["a", "b"].map(|name| name.parse().unwrap());
    assert_eq!(error, RouteSetError::SharedKey { first, second });
    assert!(!format!("{error} {error:?}").contains("s3cret"), "{error:?}");
    assert!(!format!("{:?}", customer("a", &["s3cret"])).contains("s3cret"));
    let twice = vec![customer("a", &["one", "one"]), customer("b", &[]), customer("c", &[])];
    assert_eq!(check_routes(&set_with(Some(twice))), Ok(()));
}

#[test]
fn quotas_must_not_be_negative() {
    let with = |rate, burst| {
        let quota = Some(CustomerQuota { rate: RequestRate::new(rate), burst });
        check_routes(&set_with(Some(vec![CustomerSpec { quota, ..customer("a", &[]) }])))
    };
    assert_eq!(with(0.0, 0.0), Ok(()));
    assert_eq!(with(2.5, 10.0), Ok(()));
    for (rate, burst) in [(-1.0, 0.0), (1.0, -0.5), (f64::NAN, 0.0), (1.0, f64::INFINITY)] {
        let error = with(rate, burst).unwrap_err();
        assert!(matches!(error, RouteSetError::InvalidQuota { .. }), "{rate} {burst}: {error}");
    }
}
