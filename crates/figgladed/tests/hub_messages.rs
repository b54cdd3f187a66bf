//! Messages of hubs between neighbouring releases.

use std::net::SocketAddr;

use figglade::{
    controller::{hub_chooser::HubAddress, route_set::RouteSetVersion},
    peer::{decode_payload, encode_compact},
};
use figgladed::hub::HubMessage;
use serde::Serialize;

/// What a release before aggregators sends.
#[derive(Serialize)]
enum FormerMessage {
    Subscribe(FormerRequest),
    Standing(FormerStanding),
}

#[derive(Serialize)]
struct FormerRequest {
    digest: u64,
    routes: Option<RouteSetVersion>,
    is_new: bool,
    is_probe: bool,
}

#[derive(Serialize)]
struct FormerStanding {
    is_current: bool,
    is_synced: bool,
    digest: u64,
    hubs: Vec<HubAddress>,
    followers: u32,
}

#[test]
fn messages_of_the_release_before_are_understood() {
    let request = FormerRequest {
        digest: 7,
        routes: Some(RouteSetVersion::new(3)),
        is_new: true,
        is_probe: false,
    };
    let payload = encode_compact(&FormerMessage::Subscribe(request)).unwrap();
    let HubMessage::Subscribe(request) = decode_payload(&payload).unwrap() else { panic!() };
    assert_eq!((request.digest, request.zone), (7, None));

    let peer: SocketAddr = "10.0.0.1:7740".parse().unwrap();
    let standing = FormerStanding {
        is_current: true,
        is_synced: true,
        digest: 7,
        hubs: vec![HubAddress { peer, zone: None }],
        followers: 9,
    };
    let payload = encode_compact(&FormerMessage::Standing(standing)).unwrap();
    let HubMessage::Status(standing) = decode_payload(&payload).unwrap() else { panic!() };
    assert_eq!((standing.followers, standing.aggregators.len()), (9, 0));
}
