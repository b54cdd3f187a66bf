//! Tests the shares of connection caps while instances start, stop, restart and are cut off from
//! the leader by network partitions.

use std::{collections::BTreeMap, time::Duration};

use figglade::{
    Incarnation, InstanceId, TargetId, Timestamp,
    controller::{
        quorum::Term,
        share::{
            HolderSet, LeasePhase, ShareAction, ShareGrant, ShareHolder, ShareLeader, ShareRequest,
            ShareTiming,
        },
    },
    peer::encode_payload,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The caps of the targets, below and above the number of instances.
const CAPS: [u32; 4] = [30, 120, 7, 3];

/// The time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(20);

enum Message {
    Request { from: usize, sent_at: Timestamp, request: ShareRequest },
    Grant { to: usize, incarnation: Incarnation, sent_at: Timestamp, grant: ShareGrant },
    Commit(HolderSet),
}

/// One instance with its own clock and its open connections.
struct Instance {
    holder: Option<ShareHolder>,
    incarnation: u64,
    clock_rate: f64,
    clock_offset: u64,
    is_partitioned: bool,
    open: [u32; CAPS.len()],
}

/// Instances, the leader and its log, on a network that loses, delays and duplicates messages.
struct Cluster {
    rng: ChaCha8Rng,
    now: Timestamp,
    timing: ShareTiming,
    instances: Vec<Instance>,
    leader: Option<ShareLeader>,
    term: u64,
    log: HolderSet,
    messages: BTreeMap<(Timestamp, u64), Message>,
    sequence: u64,
    is_faulty: bool,
}

fn target(position: usize) -> TargetId {
    format!("t{position}").parse().unwrap()
}

fn instance_id(position: usize) -> InstanceId {
    format!("i{position}").parse().unwrap()
}

impl Cluster {
    fn new(seed: u64, count: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = (0..count)
            .map(|_| Instance {
                holder: None,
                incarnation: 0,
                clock_rate: rng.random_range(0.99..1.01),
                clock_offset: rng.random_range(0..1_000_000_000),
                is_partitioned: false,
                open: [0; CAPS.len()],
            })
            .collect();
        let mut cluster = Self {
            rng,
            now: Timestamp::from_millis(1_000),
            timing: ShareTiming::default(),
            instances,
            leader: None,
            term: 0,
            log: HolderSet::default(),
            messages: BTreeMap::new(),
            sequence: 0,
            is_faulty: true,
        };
        cluster.elect();
        cluster
    }

    fn local(&self, position: usize) -> Timestamp {
        let instance = &self.instances[position];
        let elapsed = self.now.as_micros() as f64 * instance.clock_rate;
        Timestamp::from_micros(elapsed as u64 + instance.clock_offset)
    }

    fn elect(&mut self) {
        self.term += 1;
        let term = Term::new(self.term);
        self.leader = Some(ShareLeader::new(term, self.log.clone(), self.timing, self.now));
    }

    fn start(&mut self, position: usize) {
        let now = self.local(position);
        let instance = &mut self.instances[position];
        instance.incarnation += 1;
        let incarnation = Incarnation::new(instance.incarnation);
        let holder = ShareHolder::new(instance_id(position), incarnation, self.timing, now);
        instance.holder = Some(holder);
        instance.open = [0; CAPS.len()];
    }

    fn crash(&mut self, position: usize) {
        self.instances[position].holder = None;
        self.instances[position].open = [0; CAPS.len()];
    }

    fn leave(&mut self, position: usize) {
        let sent_at = self.local(position);
        if let Some(mut holder) = self.instances[position].holder.take() {
            self.instances[position].open = [0; CAPS.len()];
            let request = holder.begin_release();
            self.send(Message::Request { from: position, sent_at, request });
        }
    }

    /// Sends a message; a faulty network loses, delays and duplicates messages.
    fn send(&mut self, message: Message) {
        let can_fail = self.is_faulty && !matches!(message, Message::Commit(_));
        if can_fail && self.rng.random_bool(0.15) {
            return;
        }
        let max_delay = if self.is_faulty { 900 } else { 4 };
        let delay = Duration::from_millis(self.rng.random_range(1..=max_delay));
        if can_fail && self.rng.random_bool(0.1) {
            let copy = match &message {
                Message::Request { from, sent_at, request } => {
                    Message::Request { from: *from, sent_at: *sent_at, request: request.clone() }
                }
                Message::Grant { to, incarnation, sent_at, grant } => Message::Grant {
                    to: *to,
                    incarnation: *incarnation,
                    sent_at: *sent_at,
                    grant: grant.clone(),
                },
                Message::Commit(set) => Message::Commit(set.clone()),
            };
            let late = Duration::from_millis(self.rng.random_range(1..=9_000));
            self.enqueue(late, copy);
        }
        self.enqueue(delay, message);
    }

    fn enqueue(&mut self, delay: Duration, message: Message) {
        self.sequence += 1;
        self.messages.insert((self.now + delay, self.sequence), message);
    }

    fn propose(&mut self, actions: Vec<ShareAction>) {
        for ShareAction::ProposeHolders(set) in actions {
            // Some proposals are lost; others are committed late, possibly after another election.
            if !self.is_faulty || self.rng.random_bool(0.8) {
                self.send(Message::Commit(set));
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request { from, sent_at, request } => {
                if self.instances[from].is_partitioned {
                    return;
                }
                let Some(leader) = &mut self.leader else { return };
                let (grant, actions) = leader.handle_request(&request, self.now);
                self.propose(actions);
                let incarnation = request.incarnation;
                self.send(Message::Grant { to: from, incarnation, sent_at, grant });
            }
            Message::Grant { to, incarnation, sent_at, grant } => {
                let now = self.local(to);
                let instance = &mut self.instances[to];
                let is_same_incarnation = instance.incarnation == incarnation.get();
                if let Some(holder) = instance.holder.as_mut().filter(|_| is_same_incarnation)
                    && !instance.is_partitioned
                {
                    holder.handle_grant(grant, sent_at, now);
                }
            }
            Message::Commit(set) => {
                if set.epoch != self.log.epoch.next() {
                    return;
                }
                self.log = set.clone();
                if let Some(leader) = &mut self.leader {
                    let actions = leader.handle_committed(set, self.now);
                    self.propose(actions);
                }
            }
        }
    }

    /// Opens all allowed connections, closes excess ones with a delay, and requests leases.
    fn drive(&mut self, position: usize) {
        let now = self.local(position);
        let instance = &mut self.instances[position];
        let Some(holder) = &mut instance.holder else { return };
        let expired = holder.lease_phase(now) == LeasePhase::Expired;
        let mut within_limits = true;
        for (position, cap) in CAPS.into_iter().enumerate() {
            let open = &mut instance.open[position];
            let wanted = holder.connection_share(&target(position), cap, now);
            // After the lease expires, only reserved connections stay open.
            *open = if expired { wanted } else { (*open).max(wanted) };
            let limit = holder.open_limit(&target(position), cap, now);
            if *open > limit && self.rng.random_bool(0.5) {
                *open -= 1;
            }
            within_limits &= *open <= limit;
        }
        if within_limits && let Some(epoch) = holder.unconfirmed_epoch() {
            holder.confirm_epoch(epoch, now);
        }
        if now >= holder.next_request_at() {
            let request = holder.begin_request(now);
            self.send(Message::Request { from: position, sent_at: now, request });
        }
    }

    fn step(&mut self, seed: u64) {
        self.now = self.now + STEP;
        while let Some(entry) =
            self.messages.first_entry().filter(|entry| entry.key().0 <= self.now)
        {
            let message = entry.remove();
            self.deliver(message);
        }
        if let Some(leader) = &mut self.leader {
            let actions = leader.handle_tick(self.now);
            self.propose(actions);
        }
        for position in 0..self.instances.len() {
            self.drive(position);
        }
        for (position, cap) in CAPS.into_iter().enumerate() {
            let open: u32 = self.instances.iter().map(|instance| instance.open[position]).sum();
            assert!(open <= cap, "seed {seed}: {open} connections exceed the cap of {cap}");
        }
    }

    fn run(&mut self, seed: u64, time: Duration) {
        for _ in 0..time.as_micros() / STEP.as_micros() {
            self.step(seed);
        }
    }

    /// Starts, stops, partitions or reconnects an instance, or changes the leader.
    fn inject_fault(&mut self, seed: u64) {
        let position = self.rng.random_range(0..self.instances.len());
        match self.rng.random_range(0..7) {
            0 => self.crash(position),
            1 => self.leave(position),
            2 => self.instances[position].is_partitioned ^= true,
            3 => {
                self.leader = None;
                let gap = self.rng.random_range(0..3_000);
                self.run(seed, Duration::from_millis(gap));
                self.elect();
            }
            _ if self.instances[position].holder.is_none() => self.start(position),
            _ => {}
        }
    }

    /// Returns the number of connections open to each target.
    fn open(&self) -> [u32; CAPS.len()] {
        let mut sums = [0; CAPS.len()];
        for instance in &self.instances {
            for (sum, open) in sums.iter_mut().zip(instance.open) {
                *sum += open;
            }
        }
        sums
    }
}

#[test]
fn the_sum_never_exceeds_a_cap_and_recovers_to_it() {
    for seed in 0..24 {
        let count = 2 + seed as usize % 6;
        let mut cluster = Cluster::new(seed, count);
        for position in 0..count {
            cluster.start(position);
        }
        for _ in 0..30 {
            cluster.inject_fault(seed);
            let pause = cluster.rng.random_range(0..4_000);
            cluster.run(seed, Duration::from_millis(pause));
        }
        cluster.is_faulty = false;
        for position in 0..count {
            cluster.instances[position].is_partitioned = false;
            if cluster.instances[position].holder.is_none() {
                cluster.start(position);
            }
        }
        cluster.run(seed, Duration::from_secs(40));
        assert_eq!(cluster.open(), CAPS, "seed {seed}");
    }
}

#[test]
fn a_renewal_takes_at_most_200_bytes() {
    let mut cluster = Cluster::new(6, 10);
    cluster.is_faulty = false;
    (0..10).for_each(|position| cluster.start(position));
    cluster.run(6, Duration::from_secs(10));
    let now = cluster.local(0);
    let request = cluster.instances[0].holder.as_mut().unwrap().begin_request(now);
    let (grant, _) = cluster.leader.as_mut().unwrap().handle_request(&request, cluster.now);
    assert_eq!(grant.holders, None, "holders are sent once per epoch");
    let asked = encode_payload(&request).unwrap().len();
    let granted = encode_payload(&grant).unwrap().len();
    println!("request {asked} B, grant {granted} B");
    assert!(asked + granted <= 200);
}

#[test]
fn one_instance_gets_the_whole_cap_within_a_second() {
    let mut cluster = Cluster::new(1, 1);
    cluster.is_faulty = false;
    cluster.start(0);
    cluster.run(1, Duration::from_secs(1));
    assert_eq!(cluster.open(), CAPS);
}

#[test]
fn a_planned_stop_frees_the_share_immediately() {
    let mut cluster = Cluster::new(2, 4);
    cluster.is_faulty = false;
    for position in 0..4 {
        cluster.start(position);
    }
    cluster.run(2, Duration::from_secs(10));
    assert_eq!(cluster.open(), CAPS);
    cluster.leave(3);
    cluster.run(2, Duration::from_secs(3));
    assert_eq!(cluster.instances[3].open, [0; CAPS.len()]);
    assert_eq!(cluster.open(), CAPS);
}

#[test]
fn a_partitioned_instance_closes_connections_before_others_open_more() {
    let mut cluster = Cluster::new(3, 3);
    cluster.is_faulty = false;
    for position in 0..3 {
        cluster.start(position);
    }
    cluster.run(3, Duration::from_secs(10));
    let before = cluster.instances[0].open;
    cluster.instances[2].is_partitioned = true;
    cluster.run(3, Duration::from_secs(3));
    assert_eq!(cluster.instances[0].open, before, "no share grows while the lease may be valid");
    cluster.run(3, Duration::from_secs(9));
    // One connection to each target with a cap of 20 or more is reserved for an hour.
    assert_eq!(cluster.instances[2].open, [1, 1, 0, 0]);
    assert_eq!(cluster.open(), CAPS);
    cluster.run(3, Duration::from_secs(3_610));
    assert_eq!(cluster.instances[2].open, [0; CAPS.len()]);
    assert_eq!(cluster.open(), CAPS, "the reserved connections go back to the others");
}

#[test]
fn without_a_leader_every_instance_keeps_its_reserved_connections() {
    let mut cluster = Cluster::new(5, 3);
    cluster.is_faulty = false;
    for position in 0..3 {
        cluster.start(position);
    }
    cluster.run(5, Duration::from_secs(10));
    for position in 0..3 {
        cluster.instances[position].is_partitioned = true;
    }
    cluster.run(5, Duration::from_secs(20));
    assert_eq!(cluster.open(), [3, 3, 0, 0]);
    for position in 0..3 {
        cluster.instances[position].is_partitioned = false;
    }
    cluster.run(5, Duration::from_secs(20));
    assert_eq!(cluster.open(), CAPS);
}

#[test]
fn a_new_leader_raises_no_share_for_the_duration_of_a_lease() {
    let mut cluster = Cluster::new(4, 3);
    cluster.is_faulty = false;
    cluster.start(0);
    cluster.start(1);
    cluster.run(4, Duration::from_secs(10));
    cluster.elect();
    cluster.start(2);
    cluster.run(4, Duration::from_secs(6));
    assert_eq!(cluster.instances[2].open, [0; CAPS.len()]);
    assert_eq!(cluster.open(), CAPS, "the others keep their shares meanwhile");
    cluster.run(4, Duration::from_secs(6));
    assert!(cluster.instances[2].open[0] > 0);
    assert_eq!(cluster.open(), CAPS);
}

#[test]
fn a_restarted_instance_waits_until_its_previous_lease_expires() {
    let mut cluster = Cluster::new(5, 2);
    cluster.is_faulty = false;
    cluster.start(0);
    cluster.start(1);
    cluster.run(5, Duration::from_secs(10));
    cluster.crash(1);
    cluster.start(1);
    cluster.run(5, Duration::from_secs(3));
    assert_eq!(cluster.instances[1].open, [0; CAPS.len()]);
    cluster.run(5, Duration::from_secs(6));
    assert_eq!(cluster.open(), CAPS);
}
