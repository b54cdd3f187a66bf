//! A fleet of instances on an in-memory network with loss, delay, duplication and partitions.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod targets;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use figglade::{
    Incarnation, InstanceId, Timestamp, WallTime,
    controller::{
        directory::{
            AnnounceEffect, DirectoryAction, DirectoryError, DirectoryMessage, DirectorySettings,
            DirectoryTiming, TargetDirectory,
        },
        membership::{
            MemberState, MembershipAction, MembershipController, MembershipMessage,
            MembershipSettings, MembershipTiming,
        },
    },
    peer::{FrameKind, PeerFrame, decode_payload, encode_payload},
    wire::Announcement,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The wall time at which the simulation starts, in milliseconds.
const WALL_START_MS: u64 = 1_700_000_000_000;

/// The loss, duplication and delay that the network applies to each frame.
#[derive(Clone, Copy)]
pub struct NetworkFaults {
    pub loss: f64,
    pub duplication: f64,
    pub min_delay_us: u64,
    pub max_delay_us: u64,
}

impl NetworkFaults {
    pub const NONE: Self =
        Self { loss: 0.0, duplication: 0.0, min_delay_us: 300, max_delay_us: 700 };
    pub const LOSSY: Self =
        Self { loss: 0.1, duplication: 0.1, min_delay_us: 300, max_delay_us: 150_000 };
}

/// The number and size of the messages that one instance sent.
#[derive(Clone, Copy, Default)]
pub struct SentCount {
    pub messages: u64,
    pub bytes: u64,
}

/// One instance with its membership and directory.
pub struct Node {
    pub membership: MembershipController,
    pub directory: TargetDirectory,
    pub newer_configs: Vec<u64>,
    pub superseded: bool,
    pub member_events: Vec<(Timestamp, InstanceId, MemberState)>,
    pub sent: SentCount,
    pub sent_by_kind: BTreeMap<u16, SentCount>,
    /// The time spent in the controllers and in decoding and encoding; printed, never checked.
    pub cpu_time: Duration,
}

struct Packet {
    from: SocketAddr,
    to: SocketAddr,
    frame: PeerFrame,
}

/// A fleet of instances on one in-memory network.
pub struct Fleet {
    pub now: Timestamp,
    pub rng: ChaCha8Rng,
    pub faults: NetworkFaults,
    pub blocked_links: BTreeSet<(SocketAddr, SocketAddr)>,
    pub nodes: BTreeMap<SocketAddr, Node>,
    pub membership_timing: MembershipTiming,
    pub directory_timing: DirectoryTiming,
    queue: BTreeMap<(Timestamp, u64), Packet>,
    sequence: u64,
    changed_nodes: BTreeSet<SocketAddr>,
    deadlines: BTreeMap<SocketAddr, Timestamp>,
    schedule: BTreeSet<(Timestamp, SocketAddr)>,
}

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_100 + number))
}

pub fn instance(number: u16) -> InstanceId {
    format!("i{number}").parse().unwrap()
}

impl Fleet {
    pub fn new(seed: u64, faults: NetworkFaults) -> Self {
        Self {
            now: Timestamp::from_millis(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            blocked_links: BTreeSet::new(),
            nodes: BTreeMap::new(),
            membership_timing: MembershipTiming::default(),
            directory_timing: DirectoryTiming::default(),
            queue: BTreeMap::new(),
            sequence: 0,
            changed_nodes: BTreeSet::new(),
            deadlines: BTreeMap::new(),
            schedule: BTreeSet::new(),
        }
    }

    /// Starts instances `0..count` that all have the first two as seeds.
    pub fn with_nodes(seed: u64, faults: NetworkFaults, count: u16) -> Self {
        let mut fleet = Self::new(seed, faults);
        for number in 0..count {
            fleet.start(number, address(number));
        }
        fleet
    }

    pub fn wall(&self) -> WallTime {
        WallTime::from_millis(WALL_START_MS + self.now.as_micros() / 1_000)
    }

    /// Starts instance `number` at `listen`.
    pub fn start(&mut self, number: u16, listen: SocketAddr) {
        let incarnation = Incarnation::new(self.wall().as_millis());
        self.start_with(number, listen, incarnation);
    }

    pub fn start_with(&mut self, number: u16, listen: SocketAddr, incarnation: Incarnation) {
        let settings = MembershipSettings {
            id: instance(number),
            incarnation,
            peer: listen,
            http: SocketAddr::from(([127, 0, 0, 1], listen.port() - 100)),
            availability_zone: "norrhamn-a".parse().unwrap(),
            timing: self.membership_timing,
        };
        let mut membership = MembershipController::new(settings, self.now);
        membership.join(&[address(0), address(1)], self.now);
        let settings = DirectorySettings {
            id: instance(number),
            expects_peers: true,
            timing: self.directory_timing,
        };
        let node = Node {
            membership,
            directory: TargetDirectory::new(settings, self.now),
            newer_configs: Vec::new(),
            superseded: false,
            member_events: Vec::new(),
            sent: SentCount::default(),
            sent_by_kind: BTreeMap::new(),
            cpu_time: Duration::ZERO,
        };
        self.nodes.insert(listen, node);
        self.changed_nodes.insert(listen);
    }

    /// Stops the instance at `listen` without letting it leave.
    pub fn crash(&mut self, listen: SocketAddr) {
        self.nodes.remove(&listen);
        self.changed_nodes.insert(listen);
    }

    /// Blocks every link between two groups of instances.
    pub fn partition(&mut self, left: &[SocketAddr], right: &[SocketAddr]) {
        for one in left {
            for other in right {
                self.blocked_links.insert((*one, *other));
                self.blocked_links.insert((*other, *one));
            }
        }
    }

    pub fn node(&self, number: u16) -> &Node {
        &self.nodes[&address(number)]
    }

    pub fn node_mut(&mut self, number: u16) -> &mut Node {
        self.node_at(address(number))
    }

    pub fn node_at(&mut self, listen: SocketAddr) -> &mut Node {
        self.changed_nodes.insert(listen);
        self.nodes.get_mut(&listen).unwrap()
    }

    /// Returns the time of the next tick and the instance that is due then.
    fn next_tick(&mut self) -> Option<(Timestamp, SocketAddr)> {
        for listen in std::mem::take(&mut self.changed_nodes) {
            if let Some(old) = self.deadlines.remove(&listen) {
                self.schedule.remove(&(old, listen));
            }
            if let Some(node) = self.nodes.get(&listen) {
                let directory = node.directory.next_deadline();
                let deadline = node.membership.next_deadline().min(directory);
                self.deadlines.insert(listen, deadline);
                self.schedule.insert((deadline, listen));
            }
        }
        self.schedule.first().copied()
    }

    /// Announces a target to instance `number`.
    pub fn announce(
        &mut self,
        number: u16,
        announcement: Announcement,
    ) -> Result<AnnounceEffect, DirectoryError> {
        let (now, wall) = (self.now, self.wall());
        self.node_mut(number).directory.apply_announcement(announcement, now, wall)
    }

    /// Runs the simulation for `time`.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until `done` returns true, for at most `most`. Returns the time it took, or `None`.
    pub fn run_until(&mut self, most: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let started = self.now;
        let end = self.now + most;
        let mut steps_without_progress = 0;
        loop {
            if done(self) {
                return Some(self.now.since(started));
            }
            let before = self.now;
            if !self.step(end) {
                self.now = end;
                return done(self).then_some(most);
            }
            steps_without_progress =
                if self.now == before { steps_without_progress + 1 } else { 0 };
            assert!(
                steps_without_progress < 100_000,
                "an instance ticks endlessly without advancing the time"
            );
        }
    }

    /// Handles the next frame or tick before `end`; returns whether there was one.
    fn step(&mut self, end: Timestamp) -> bool {
        let tick = self.next_tick();
        let arrival = self.queue.first_key_value().map(|((at, _), _)| *at);
        match (tick, arrival) {
            (_, Some(at)) if at <= end && tick.is_none_or(|(tick, _)| at <= tick) => {
                let (_, packet) = self.queue.pop_first().unwrap();
                self.now = self.now.max(at);
                let (to, started) = (packet.to, std::time::Instant::now());
                self.deliver(packet);
                self.add_cpu_time(to, started.elapsed());
                true
            }
            (Some((at, listen)), _) if at <= end => {
                self.now = self.now.max(at);
                let started = std::time::Instant::now();
                self.tick(listen);
                self.add_cpu_time(listen, started.elapsed());
                true
            }
            _ => false,
        }
    }

    fn add_cpu_time(&mut self, listen: SocketAddr, time: Duration) {
        if let Some(node) = self.nodes.get_mut(&listen) {
            node.cpu_time += time;
        }
    }

    fn tick(&mut self, listen: SocketAddr) {
        self.changed_nodes.insert(listen);
        let Some(node) = self.nodes.get_mut(&listen) else { return };
        let member_actions = node.membership.handle_tick(self.now, &mut self.rng);
        let peers = node.membership.peers();
        let directory_actions = node.directory.handle_tick(self.now, &peers, &mut self.rng);
        self.apply_actions(listen, member_actions, directory_actions);
    }

    fn deliver(&mut self, packet: Packet) {
        self.changed_nodes.insert(packet.to);
        let Some(node) = self.nodes.get_mut(&packet.to) else { return };
        let (from, now, rng) = (packet.from, self.now, &mut self.rng);
        match packet.frame.kind {
            FrameKind::Membership => {
                let message: MembershipMessage = decode_payload(&packet.frame.payload).unwrap();
                let actions = node.membership.handle_message(from, message, now, rng);
                self.apply_actions(packet.to, actions, Vec::new());
            }
            _ => {
                let message: DirectoryMessage = decode_payload(&packet.frame.payload).unwrap();
                let peers = node.membership.peers();
                let actions = node.directory.handle_message(from, message, now, &peers, rng);
                self.apply_actions(packet.to, Vec::new(), actions);
            }
        }
    }

    fn apply_actions(
        &mut self,
        listen: SocketAddr,
        member_actions: Vec<MembershipAction>,
        directory_actions: Vec<DirectoryAction>,
    ) {
        let now = self.now;
        let mut frames = Vec::new();
        let node = self.nodes.get_mut(&listen).unwrap();
        for action in member_actions {
            match action {
                MembershipAction::Send { to, message } => {
                    let payload = encode_payload(&message).unwrap();
                    frames.push((to, PeerFrame { kind: FrameKind::Membership, payload }));
                }
                MembershipAction::Changed(event) => {
                    node.member_events.push((now, event.id, event.state));
                }
                MembershipAction::NewerConfig { version, .. } => {
                    node.newer_configs.push(version.get());
                }
                MembershipAction::Superseded { .. } => node.superseded = true,
            }
        }
        for action in directory_actions {
            if let DirectoryAction::Send { to, message } = action {
                let payload = encode_payload(&message).unwrap();
                frames.push((to, PeerFrame { kind: FrameKind::Directory, payload }));
            }
        }
        for (to, frame) in &frames {
            assert_ne!(*to, listen, "an instance sent a message to itself");
            let bytes = frame.payload.len() as u64;
            for count in [&mut node.sent, node.sent_by_kind.entry(frame.kind.number()).or_default()]
            {
                count.messages += 1;
                count.bytes += bytes;
            }
        }
        for (to, frame) in frames {
            self.enqueue(listen, to, frame);
        }
    }

    fn enqueue(&mut self, from: SocketAddr, to: SocketAddr, frame: PeerFrame) {
        assert!(frame.payload.len() <= figglade::peer::MAX_FRAME_BYTES);
        if self.blocked_links.contains(&(from, to)) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.faults.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let range = self.faults.min_delay_us..=self.faults.max_delay_us;
            let delay = Duration::from_micros(self.rng.random_range(range));
            self.sequence += 1;
            let frame = PeerFrame { kind: frame.kind, payload: Bytes::clone(&frame.payload) };
            self.queue.insert((self.now + delay, self.sequence), Packet { from, to, frame });
        }
    }

    /// Returns whether every instance records exactly the running instances as alive.
    pub fn has_converged(&self) -> bool {
        let expected: BTreeSet<_> =
            self.nodes.values().map(|node| node.membership.incarnation()).collect();
        self.nodes.values().all(|node| {
            let alive: BTreeSet<_> =
                node.membership.alive().map(|member| member.incarnation).collect();
            let states = node.membership.alive().all(|member| member.state == MemberState::Alive);
            alive == expected && states && node.membership.len_alive() == self.nodes.len()
        })
    }

    /// Resets the counts of sent messages and the processor time.
    pub fn reset_counts(&mut self) {
        for node in self.nodes.values_mut() {
            node.sent = SentCount::default();
            node.sent_by_kind.clear();
            node.cpu_time = Duration::ZERO;
        }
    }

    /// Returns a random number from the seeded generator of the fleet.
    pub fn random_u64(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
