//! Announcements applied at a single instance: order, replays and bounds.

mod membership_support;

use std::time::Duration;

use figglade::{
    Incarnation, IndexVersion, ShardId, Timestamp, WallTime,
    controller::directory::{
        AnnounceEffect, DirectoryAction, DirectoryError, DirectorySettings, DirectoryTiming,
        EffectiveState, TargetDirectory,
    },
    wire::{Announcement, HeldVersion, TargetState},
};
use membership_support::targets::{announcement, replica, target};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// An instance without peers.
struct SingleInstance {
    directory: TargetDirectory,
    now: Timestamp,
    rng: ChaCha8Rng,
}

impl SingleInstance {
    fn new() -> Self {
        let id = "i0".parse().unwrap();
        let timing = DirectoryTiming::default();
        let settings = DirectorySettings { id, expects_peers: false, timing };
        let now = Timestamp::from_millis(10);
        let rng = ChaCha8Rng::seed_from_u64(1);
        Self { directory: TargetDirectory::new(settings, now), now, rng }
    }

    fn apply(&mut self, announcement: Announcement) -> Result<AnnounceEffect, DirectoryError> {
        let wall = WallTime::from_millis(self.now.as_micros() / 1_000);
        self.directory.apply_announcement(announcement, self.now, wall)
    }

    fn wait(&mut self, time: Duration) -> Vec<DirectoryAction> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.directory.next_deadline() <= end {
            self.now = self.now.max(self.directory.next_deadline());
            actions.extend(self.directory.handle_tick(self.now, &[], &mut self.rng));
        }
        self.now = end;
        actions
    }

    fn state(&self, number: u32) -> EffectiveState {
        self.directory.record(&target(number)).unwrap().effective_state()
    }
}

#[test]
fn a_lower_incarnation_is_refused_and_a_higher_one_replaces() {
    let mut single = SingleInstance::new();
    assert_eq!(single.apply(announcement(1, 5, TargetState::Gone)), Ok(AnnounceEffect::Added));
    let refused = single.apply(announcement(1, 4, TargetState::Ready)).unwrap_err();
    assert_eq!(refused, DirectoryError::StaleIncarnation { current: Incarnation::new(5) });
    let restarted = single.apply(announcement(1, 6, TargetState::Starting));
    assert_eq!(restarted, Ok(AnnounceEffect::Restarted));
    assert_eq!(single.state(1), EffectiveState::Starting);
}

#[test]
fn a_state_never_goes_back_within_one_incarnation() {
    let order =
        [TargetState::Starting, TargetState::Ready, TargetState::Draining, TargetState::Gone];
    for (rank, reached) in order.iter().enumerate() {
        for earlier in &order[..rank] {
            let mut single = SingleInstance::new();
            single.apply(announcement(1, 1, *reached)).unwrap();
            let replay = single.apply(announcement(1, 1, *earlier));
            assert_eq!(replay, Ok(AnnounceEffect::Outdated));
            let held = single.directory.record(&target(1)).unwrap().announcement().state;
            assert_eq!(held, *reached);
        }
    }
}

#[test]
fn a_numbered_announcement_is_not_undone_by_an_older_one() {
    let mut single = SingleInstance::new();
    let numbered = |sequence: u64, version: u64| {
        let mut announced = announcement(1, 1, TargetState::Ready);
        announced.sequence = Some(sequence);
        announced.replicas[0].versions[0].version = IndexVersion::new(version);
        announced
    };
    single.apply(numbered(3, 8)).unwrap();
    assert_eq!(single.apply(numbered(2, 7)), Ok(AnnounceEffect::Outdated));
    assert_eq!(single.apply(numbered(4, 8)), Ok(AnnounceEffect::Renewed));
    assert_eq!(single.apply(numbered(5, 9)), Ok(AnnounceEffect::Updated));
    let entry = single.directory.record(&target(1)).unwrap();
    assert_eq!(entry.announcement().replicas[0].versions[0].version.get(), 9);
}

#[test]
fn a_silent_target_lapses_and_a_renewal_brings_it_back() {
    let mut single = SingleInstance::new();
    single.apply(announcement(1, 1, TargetState::Ready)).unwrap();
    single.wait(single.directory.lapse_timeout() - Duration::from_millis(1));
    assert_eq!(single.state(1), EffectiveState::Ready);
    let actions = single.wait(Duration::from_millis(2));
    assert_eq!(single.state(1), EffectiveState::Lapsed);
    let reported = actions.iter().any(|action| {
        matches!(action, DirectoryAction::Changed { targets, .. } if *targets == [target(1)])
    });
    assert!(reported);
    assert_eq!(single.apply(announcement(1, 1, TargetState::Ready)), Ok(AnnounceEffect::Revived));
    assert_eq!(single.state(1), EffectiveState::Ready);
    let index = "register-portal".parse().unwrap();
    assert_eq!(single.directory.live_records_for(&index).count(), 1);
}

#[test]
fn renewals_keep_a_target_and_its_age() {
    let mut single = SingleInstance::new();
    single.apply(announcement(1, 1, TargetState::Starting)).unwrap();
    single.wait(Duration::from_millis(500));
    single.apply(announcement(1, 1, TargetState::Ready)).unwrap();
    let since = single.now;
    for _ in 0..30 {
        single.wait(Duration::from_secs(1));
        let renewed = single.apply(announcement(1, 1, TargetState::Ready));
        assert_eq!(renewed, Ok(AnnounceEffect::Renewed));
    }
    assert_eq!(single.directory.record(&target(1)).unwrap().ready_since, Some(since));
    single.apply(announcement(1, 2, TargetState::Ready)).unwrap();
    let restarted = single.directory.record(&target(1)).unwrap().ready_since;
    assert_eq!(restarted, Some(single.now));
}

#[test]
fn a_later_target_at_the_same_address_displaces_the_earlier_one() {
    let mut single = SingleInstance::new();
    single.apply(announcement(1, 1, TargetState::Ready)).unwrap();
    single.wait(Duration::from_secs(1));
    let mut successor = announcement(2, 1, TargetState::Ready);
    successor.address = announcement(1, 1, TargetState::Ready).address;
    single.apply(successor.clone()).unwrap();
    assert_eq!(single.state(1), EffectiveState::Displaced);
    assert_eq!(single.state(2), EffectiveState::Ready);
    single.apply(announcement(1, 1, TargetState::Ready)).unwrap();
    assert_eq!(single.state(1), EffectiveState::Displaced);
    successor.state = TargetState::Gone;
    single.apply(successor).unwrap();
    assert_eq!(single.state(1), EffectiveState::Ready);
}

#[test]
fn a_target_that_left_is_remembered_for_a_bounded_time() {
    let mut single = SingleInstance::new();
    single.apply(announcement(1, 1, TargetState::Gone)).unwrap();
    single.wait(Duration::from_secs(500));
    assert_eq!(single.apply(announcement(1, 1, TargetState::Ready)), Ok(AnnounceEffect::Outdated));
    let held = single.directory.approximate_bytes();
    single.wait(Duration::from_secs(200));
    assert!(single.directory.is_empty());
    assert!(held > 0 && single.directory.approximate_bytes() == 0);
}

#[test]
fn bad_announcements_name_the_field() {
    type Corruption = fn(&mut Announcement);
    let good = || announcement(1, 1, TargetState::Ready);
    let cases: [(&str, Corruption); 10] = [
        ("slots", |bad| bad.slots = 0),
        ("connections", |bad| bad.connections = 0),
        ("connections", |bad| bad.connections = u32::MAX),
        ("address", |bad| bad.address.set_port(0)),
        ("address", |bad| bad.address = "0.0.0.0:80".parse().unwrap()),
        ("replicas", |bad| bad.replicas = vec![replica(0); 4_097]),
        ("replicas[0].shard_count", |bad| bad.replicas[0].shard_count = 65_537),
        ("replicas[0].shard", |bad| bad.replicas[0].shard = ShardId::new(10)),
        ("replicas[0].versions", |bad| {
            let held = |version| HeldVersion { version: IndexVersion::new(version), documents: 1 };
            bad.replicas[0].versions = (0..65).map(held).collect();
        }),
        ("replicas[0].versions", |bad| {
            let held = bad.replicas[0].versions[0];
            bad.replicas[0].versions.push(held);
        }),
    ];
    for (field, corrupt) in cases {
        let mut bad = good();
        corrupt(&mut bad);
        let mut single = SingleInstance::new();
        let refused = single.apply(bad).unwrap_err();
        assert_eq!(refused.field(), Some(field), "{refused}");
        assert!(single.directory.is_empty());
    }
}

#[test]
fn an_announcement_too_large_to_send_is_refused() {
    let mut huge = announcement(1, 1, TargetState::Ready);
    huge.replicas[0].key_ranges = Some(serde_json::Value::String("x".repeat(300 * 1_024)));
    let refused = SingleInstance::new().apply(huge).unwrap_err();
    assert_eq!(refused.field(), Some("replicas"));
}
