//! Which hub an instance follows.

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
fn a_hub_in_the_own_zone_is_followed() {
    let mut chooser = chooser(&[(1, "b"), (2, "a"), (3, "c")]);
    assert_eq!(chooser.choose(at(0)), Some((hub(2), true)));
    chooser.handle_reply(hub(2), true, at(10));
    assert_eq!(chooser.choose(at(400)), Some((hub(2), false)));
    assert!(chooser.is_current(at(400)));
    assert!(chooser.probe_others(at(400)).is_empty(), "one trusted hub is enough");
}

#[test]
fn a_silent_hub_is_left_for_the_one_that_answers() {
    let mut chooser = chooser(&[(1, "b"), (2, "a"), (3, "c")]);
    chooser.choose(at(0));
    chooser.handle_reply(hub(2), true, at(10));
    assert_eq!(
        chooser.choose(at(1_000)).map(|(hub, is_new)| (hub != self::hub(2), is_new)),
        Some((true, true))
    );
}

#[test]
fn the_first_trusted_hub_is_followed_while_none_is() {
    let mut chooser = chooser(&[(1, "b"), (2, "a"), (3, "c")]);
    chooser.choose(at(0));
    let mut asked = chooser.probe_others(at(0));
    asked.sort();
    assert_eq!(asked, [hub(1), hub(3)]);
    chooser.handle_reply(hub(3), false, at(5));
    assert_eq!(chooser.followed(), Some(hub(2)), "one that cannot prove to be current is no help");
    chooser.handle_reply(hub(1), true, at(8));
    assert_eq!(chooser.choose(at(8)), Some((hub(1), true)));
}

#[test]
fn a_hub_that_lost_the_group_is_left() {
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
fn a_remote_hub_is_left_for_a_near_one_only_now_and_then() {
    let mut chooser = chooser(&[(1, "b")]);
    chooser.choose(at(0));
    chooser.handle_reply(hub(1), true, at(10));
    chooser.update_hubs(std::iter::once(address(2, "a")));
    assert_eq!(chooser.choose(at(400)), Some((hub(2), true)));
    // The near one does not answer.
    assert_eq!(chooser.choose(at(1_400)), Some((hub(1), true)));
    chooser.handle_reply(hub(1), true, at(1_410));
    assert_eq!(chooser.choose(at(1_800)), Some((hub(1), false)));
}

#[test]
fn the_late_word_of_a_hub_that_was_only_asked_changes_nothing() {
    let mut chooser = chooser(&[(1, "b"), (2, "a"), (3, "c")]);
    chooser.choose(at(0));
    chooser.handle_reply(hub(2), true, at(10));
    chooser.choose(at(10));
    assert!(chooser.is_current(at(20)));
    chooser.handle_reply(hub(3), false, at(30));
    assert!(chooser.is_current(at(40)), "the hub that is followed proved to be current");
    assert_eq!(chooser.choose(at(40)).map(|(followed, _)| followed), Some(hub(2)));
}
