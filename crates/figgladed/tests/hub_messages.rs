//! The compatibility of hub messages between consecutive releases.

use std::net::SocketAddr;

use figglade::{
    controller::{hub_chooser::HubAddress, route_set::RouteSetVersion},
    peer::{decode_payload, encode_compact},
};
use figgladed::hub::HubMessage;
use serde::Serialize;

/// The messages of the releases without aggregators.
#[derive(Serialize)]
enum LegacyMessage {
    Subscribe(LegacyRequest),
    Standing(LegacyStatus),
}

#[derive(Serialize)]
struct LegacyRequest {
    digest: u64,
    routes: Option<RouteSetVersion>,
    is_new: bool,
    is_probe: bool,
}

#[derive(Serialize)]
struct LegacyStatus {
    is_current: bool,
    is_synced: bool,
    digest: u64,
    hubs: Vec<HubAddress>,
    followers: u32,
}

#[test]
fn messages_of_the_previous_release_are_decoded() {
    let request = LegacyRequest {
        digest: 7,
        routes: Some(RouteSetVersion::new(3)),
        is_new: true,
        is_probe: false,
    };
    let payload = encode_compact(&LegacyMessage::Subscribe(request)).unwrap();
    let HubMessage::Subscribe(request) = decode_payload(&payload).unwrap() else { panic!() };
    assert_eq!((request.digest, request.zone), (7, None));
    assert_eq!(request.evacuations.get(), 0);

    let peer: SocketAddr = "10.0.0.1:7740".parse().unwrap();
    let status = LegacyStatus {
        is_current: true,
        is_synced: true,
        digest: 7,
        hubs: vec![HubAddress { peer, zone: None }],
        followers: 9,
    };
    let payload = encode_compact(&LegacyMessage::Standing(status)).unwrap();
    let HubMessage::Status(status) = decode_payload(&payload).unwrap() else { panic!() };
    assert_eq!((status.followers, status.aggregators.len()), (9, 0));
    assert_eq!(status.evacuations.get(), 0);
}
