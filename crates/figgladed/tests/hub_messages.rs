//! The compatibility of hub messages between consecutive releases.

use std::net::SocketAddr;

use figglade::{
    CoreShare, Timestamp,
    controller::{
        evacuation::EvacuationRevision, hub_chooser::HubAddress, route_set::RouteSetVersion,
    },
    peer::{decode_payload, encode_compact},
};
use figgladed::hub::{HubMessage, HubStatus, SubscribeRequest};
use serde::{Deserialize, Serialize};

/// The messages of the releases without aggregators.
#[derive(Serialize, Deserialize)]
enum LegacyMessage {
    Subscribe(LegacyRequest),
    Standing(LegacyStatus),
}

#[derive(Serialize, Deserialize)]
struct LegacyRequest {
    digest: u64,
    routes: Option<RouteSetVersion>,
    is_new: bool,
    is_probe: bool,
}

#[derive(Serialize, Deserialize)]
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
    assert_eq!((status.routes, status.poll_sent_at), (None, None));
    assert_eq!(status.evacuations.get(), 0);
}

/// Guards against messages that an earlier release cannot read while both run.
#[test]
fn messages_are_decoded_by_an_earlier_release() {
    let status = HubStatus {
        is_current: true,
        is_synced: true,
        digest: 7,
        hubs: Vec::new(),
        followers: 9,
        aggregators: Vec::new(),
        routes: Some(RouteSetVersion::new(3)),
        poll_sent_at: Some(Timestamp::ZERO),
        evacuations: EvacuationRevision::default(),
        is_unconfirmed: false,
        poll: 1,
    };
    let frame = HubMessage::Status(status).into_frame().unwrap();
    let LegacyMessage::Standing(status) = decode_payload(&frame.payload).unwrap() else { panic!() };
    assert_eq!((status.is_current, status.followers), (true, 9));
    let request = SubscribeRequest {
        digest: 7,
        routes: None,
        is_new: true,
        is_probe: false,
        zone: None,
        cores: CoreShare::default(),
        aggregators: 1,
        sent_at: Timestamp::ZERO,
        evacuations: EvacuationRevision::default(),
        poll: 1,
    };
    let frame = HubMessage::Subscribe(request).into_frame().unwrap();
    let LegacyMessage::Subscribe(request) = decode_payload(&frame.payload).unwrap() else {
        panic!()
    };
    assert_eq!((request.digest, request.is_new), (7, true));
}
