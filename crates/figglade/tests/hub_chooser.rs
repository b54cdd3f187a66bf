//! Tests the choice of the hub that an instance follows.

use std::net::SocketAddr;

use figglade::{
    Timestamp,
    controller::hub_chooser::{HubAddress, HubChooser},
};

fn hub(number: u8) -> SocketAddr {
    format!("10.0.0.{number}:7000").parse().unwrap()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn address(number: u8, zone: &str) -> HubAddress {
    HubAddress { peer: hub(number), zone: Some(zone.parse().unwrap()) }
}

fn chooser(hubs: &[(u8, &str)]) -> HubChooser {
    let mut chooser = HubChooser::new("a".parse().unwrap());
    chooser.update_hubs(hubs.iter().map(|(number, zone)| address(*number, zone)));
    chooser
}

#[test]
fn a_hub_in_the_local_zone_is_followed() {
    let mut chooser = chooser(&[(1, "b"), (2, "a"), (3, "c")]);
    assert_eq!(chooser.choose(at(0)), Some((hub(2), true)));
    chooser.handle_reply(hub(2), true, at(10));
    assert_eq!(chooser.choose(at(400)), Some((hub(2), false)));
    assert!(chooser.is_current(at(400)));
    assert!(
        chooser.probe_others(at(400)).is_empty(),
        "other hubs are not probed while the followed one is current"
    );
}

#[test]
fn a_hub_that_does_not_reply_is_replaced() {
    let mut chooser = chooser(&[(1, "b"), (2, "a"), (3, "c")]);
    chooser.choose(at(0));
    chooser.handle_reply(hub(2), true, at(10));
    assert_eq!(
        chooser.choose(at(1_000)).map(|(hub, is_new)| (hub != self::hub(2), is_new)),
        Some((true, true))
    );
}

#[test]
fn the_first_usable_hub_is_followed_if_the_followed_one_is_not_current() {
    let mut chooser = chooser(&[(1, "b"), (2, "a"), (3, "c")]);
    chooser.choose(at(0));
    let mut probed = chooser.probe_others(at(0));
    probed.sort();
    assert_eq!(probed, [hub(1), hub(3)]);
    chooser.handle_reply(hub(3), false, at(5));
    assert_eq!(
        chooser.followed(),
        Some(hub(2)),
        "a hub that cannot prove to be current is not followed"
    );
    chooser.handle_reply(hub(1), true, at(8));
    assert_eq!(chooser.choose(at(8)), Some((hub(1), true)));
}

#[test]
fn a_hub_that_lost_contact_with_the_group_is_replaced() {
    let mut chooser = chooser(&[(1, "b"), (2, "a")]);
    chooser.choose(at(0));
    chooser.handle_reply(hub(2), true, at(10));
    for millis in [400, 800, 1_200, 1_600] {
        chooser.handle_reply(hub(2), false, at(millis));
    }
    assert!(!chooser.is_current(at(1_600)));
    assert_eq!(chooser.choose(at(1_700)), Some((hub(1), true)));
}

#[test]
fn a_remote_hub_is_replaced_by_a_local_one_that_did_not_just_fail() {
    let mut chooser = chooser(&[(1, "b")]);
    chooser.choose(at(0));
    chooser.handle_reply(hub(1), true, at(10));
    chooser.update_hubs(std::iter::once(address(2, "a")));
    assert_eq!(chooser.choose(at(400)), Some((hub(2), true)));
    // The local hub does not reply.
    assert_eq!(chooser.choose(at(1_400)), Some((hub(1), true)));
    chooser.handle_reply(hub(1), true, at(1_410));
    assert_eq!(chooser.choose(at(1_800)), Some((hub(1), false)));
}

#[test]
fn a_late_reply_of_a_hub_that_was_only_probed_changes_nothing() {
    let mut chooser = chooser(&[(1, "b"), (2, "a"), (3, "c")]);
    chooser.choose(at(0));
    chooser.handle_reply(hub(2), true, at(10));
    chooser.choose(at(10));
    assert!(chooser.is_current(at(20)));
    chooser.handle_reply(hub(3), false, at(30));
    assert!(chooser.is_current(at(40)), "the followed hub has proven that it is current");
    assert_eq!(chooser.choose(at(40)).map(|(followed, _)| followed), Some(hub(2)));
}

/// Guards against calls to a hub that did not answer, while another one is known.
#[test]
fn a_call_goes_to_the_followed_hub_or_to_another_one_than_those_avoided() {
    let mut chooser = chooser(&[(1, "b"), (2, "a"), (3, "c"), (4, "a")]);
    chooser.choose(at(0));
    chooser.handle_reply(hub(2), true, at(10));
    chooser.handle_reply(hub(3), true, at(20));
    let without = |avoided: &[SocketAddr]| chooser.choose_for_call(|hub| avoided.contains(hub));
    assert_eq!(without(&[]), Some(hub(2)));
    assert_eq!(without(&[hub(2)]), Some(hub(4)), "a hub of the zone comes first");
    assert_eq!(without(&[hub(2), hub(4)]), Some(hub(3)), "then the one heard last");
    assert_eq!(without(&[hub(1), hub(2), hub(3), hub(4)]), None);
}
