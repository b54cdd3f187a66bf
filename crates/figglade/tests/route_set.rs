//! Tests route sets: their validation, the lookup of routes and the document in force.

use std::{sync::Arc, time::Duration};

use figglade::{
    WallTime,
    controller::{
        ledger::{Ledger, LedgerCommand, LedgerReply},
        quorum::LogIndex,
        route_set::{
            CallerLimits, CurrentRouteSet, Destination, MAX_ROUTE_DOCUMENT_BYTES, RepeatRule,
            RouteDocument, RoutePut, RouteSet, RouteSetError, RouteSetVersion, RouteSpec,
            RouteTable, ServiceSpec, ShardPlan, WeightedService, check_routes,
        },
    },
};

fn route(name: &str, host: &str, prefix: &str) -> RouteSpec {
    RouteSpec {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        repeat: RepeatRule::Idempotent,
        timeout: Duration::from_secs(1),
        latency_goal: Duration::from_millis(100),
        priority: 1,
        max_attempts: 2,
        destination: Destination::Service("desk".parse().unwrap()),
        is_public: false,
    }
}

fn set_of(routes: Vec<RouteSpec>) -> RouteSet {
    let service = |name: &str| ServiceSpec { name: name.parse().unwrap(), max_connections: 32 };
    RouteSet {
        version: RouteSetVersion::new(1),
        routes,
        services: vec![service("desk"), service("archive")],
        limits: CallerLimits::default(),
        customers: None,
    }
}

fn weighted(weights: [f64; 2]) -> Destination {
    let part = |name: &str, weight| WeightedService { service: name.parse().unwrap(), weight };
    Destination::Weighted(vec![part("desk", weights[0]), part("archive", weights[1])])
}

#[test]
fn each_kind_of_invalid_set_is_refused_with_its_own_error() {
    let unknown = RouteSpec {
        destination: Destination::Service("nowhere".parse().unwrap()),
        ..route("r", "h", "/")
    };
    let error = check_routes(&set_of(vec![unknown])).unwrap_err();
    assert!(matches!(&error, RouteSetError::UnknownService { route, .. } if route == "r"));
    let unknown_shard = RouteSpec {
        destination: Destination::Shards(ShardPlan {
            services: vec!["desk".parse().unwrap(), "nowhere".parse().unwrap()],
            top_records: 5,
            min_shard_ratio: 0.5,
        }),
        ..route("r", "h", "/")
    };
    let error = check_routes(&set_of(vec![unknown_shard])).unwrap_err();
    assert!(matches!(error, RouteSetError::UnknownService { .. }));
    let error = check_routes(&set_of(vec![route("a", "h", "/x/"), route("b", "h", "/x/")]));
    assert!(matches!(error, Err(RouteSetError::DuplicateRoute { .. })));
    for weights in [[0.0, 0.0], [1.0, -1.0], [2.0, -1.0]] {
        let route = RouteSpec { destination: weighted(weights), ..route("r", "h", "/") };
        let error = check_routes(&set_of(vec![route]));
        assert!(matches!(error, Err(RouteSetError::InvalidWeights { .. })), "{weights:?}");
    }
    let zero_timeout = RouteSpec { timeout: Duration::ZERO, ..route("r", "h", "/") };
    let error = check_routes(&set_of(vec![zero_timeout]));
    assert!(matches!(error, Err(RouteSetError::ZeroTimeout { .. })));
    let error = check_routes(&set_of(vec![route("r", "h", "/x")]));
    assert!(matches!(error, Err(RouteSetError::BadPrefix { .. })));
}

#[test]
fn a_valid_set_passes() {
    let one_weight = RouteSpec { destination: weighted([0.0, 1.0]), ..route("w", "h", "/w/") };
    let routes = vec![route("a", "h", "/"), route("b", "other", "/"), one_weight];
    assert_eq!(check_routes(&set_of(routes)), Ok(()));
}

#[test]
fn the_longest_prefix_wins() {
    let routes = vec![route("root", "h", "/"), route("x", "h", "/x/"), route("xy", "h", "/x/y/")];
    let table = RouteTable::new(Arc::new(set_of(routes)));
    let find = |host, path| table.find_route(host, path).map(|route| route.name.as_str());
    assert_eq!(find("h", "/x/y/z"), Some("xy"));
    assert_eq!(find("h", "/x/y"), Some("x"), "a prefix ends at a slash");
    assert_eq!(find("h", "/x"), Some("root"));
    assert_eq!(find("H:8080", "/x/"), Some("x"), "case and port of the host are ignored");
    assert_eq!(find("other", "/x/"), None);
    assert_eq!(find("h", "*"), None);
}

#[test]
fn a_lookup_does_not_depend_on_the_number_of_routes() {
    let routes = (0..5_000).map(|number| route("r", "h", &format!("/p{number}/"))).collect();
    let table = RouteTable::new(Arc::new(set_of(routes)));
    let found = table.find_route("h", "/p4321/a/b").unwrap();
    assert_eq!(found.prefix, "/p4321/");
}

#[test]
fn min_shards_follows_the_ratio() {
    let plan = |count: usize, min_shard_ratio| ShardPlan {
        services: (0..count).map(|number| format!("s{number}").parse().unwrap()).collect(),
        top_records: 5,
        min_shard_ratio,
    };
    assert_eq!(plan(10, 0.89).min_shards(), 9);
    assert_eq!(plan(10, 0.9).min_shards(), 9);
    assert_eq!(plan(10, 0.75).min_shards(), 8);
    assert_eq!(plan(36, 0.95).min_shards(), 35);
    assert_eq!(plan(3, 0.0).min_shards(), 1, "an answer needs at least one shard");
    assert_eq!(plan(3, 2.0).min_shards(), 3);
}

fn document(version: u64, text: &'static str) -> RouteDocument {
    RouteDocument::pack(RouteSetVersion::new(version), text.as_bytes())
}

#[test]
fn the_highest_version_stays_in_force_and_its_content_cannot_change() {
    let mut current = CurrentRouteSet::default();
    assert!(current.put(document(3, "three")).is_adopted);
    for older in [document(2, "two"), document(3, "other")] {
        let reply = current.put(older);
        assert!(!reply.is_adopted);
        assert_eq!(reply.in_force, RouteSetVersion::new(3));
    }
    assert_eq!(current.current(), Some(&document(3, "three")));
    assert!(current.put(document(9, "nine")).is_adopted);
}

#[test]
fn a_ledger_snapshot_preserves_the_route_set() {
    let mut ledger = Ledger::default();
    let put = RoutePut {
        document: document(7, "{}"),
        wall: WallTime::from_millis(1),
        instance: "i1".parse().unwrap(),
    };
    let command = LedgerCommand::PutRoutes(put).encode().unwrap();
    let reply = ledger.apply(LogIndex::new(1), &command).unwrap();
    assert!(matches!(reply, LedgerReply::Routes(reply) if reply.is_adopted));
    let restored = Ledger::decode_state(&ledger.encode_state().unwrap()).unwrap();
    assert_eq!(restored.routes(), Some(&document(7, "{}")));
}

#[test]
fn a_clock_step_does_not_cause_a_route_set_to_be_refused() {
    let put = RoutePut {
        document: document(7, "{}"),
        wall: WallTime::from_millis(1),
        instance: "i1".parse().unwrap(),
    };
    let command = LedgerCommand::PutRoutes(put);
    assert!(command.has_plausible_wall(WallTime::from_millis(1_000_000_000)));
}

#[test]
fn a_compressed_document_is_restored_unchanged() {
    let services: Vec<_> = (0..54).map(|shard| format!("\"huvo{shard}a\"")).collect();
    let route = format!("{{\"gather\":[{}],\"maxAttempts\":2}},", services.join(","));
    let text = route.repeat(30);
    let document = RouteDocument::pack(RouteSetVersion::new(7), text.as_bytes());
    assert_eq!(document.unpack().unwrap(), text.as_bytes());
    assert!(document.packed_len() * 5 < text.len(), "{} of {}", document.packed_len(), text.len());
    for edge_case in ["", "{}", "\u{0}\u{1}"] {
        let document = RouteDocument::pack(RouteSetVersion::new(1), edge_case.as_bytes());
        assert_eq!(document.unpack().unwrap(), edge_case.as_bytes());
    }
}

#[test]
fn an_uncompressed_document_is_accepted_and_a_damaged_one_refused() {
    let plain: RouteDocument = serde_json::from_str(r#"{"version":3,"text":[123,125]}"#)
        .expect("documents of earlier releases have no `is_packed`");
    assert_eq!(&plain.unpack().unwrap()[..], b"{}");
    let damaged: RouteDocument =
        serde_json::from_str(r#"{"version":3,"text":[255,255,255],"is_packed":true}"#).unwrap();
    let error = damaged.unpack().unwrap_err().to_string();
    assert!(error.contains("route set 3"), "{error}");
    let zeros = vec![0; MAX_ROUTE_DOCUMENT_BYTES + 1];
    let error = RouteDocument::pack(RouteSetVersion::new(4), &zeros).unpack().unwrap_err();
    assert!(error.to_string().contains("at most"), "{error}");
}
