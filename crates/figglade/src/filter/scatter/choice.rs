//! The choice of a target for one attempt.

use std::rc::Rc;

use rand::{Rng, RngExt};

use crate::{Timestamp, filter::scatter::ReplicaState};

/// What a target in another availability zone costs beside its latency, in usual latencies: bytes
/// between zones are paid for, and a near target is in time until it is slower than the age at
/// which its attempts are hedged.
const REMOTE_COST: f64 = 1.3;
/// What a target costs to which no connection is kept, in usual latencies.
const UNKEPT_COST: f64 = 1.5;
/// The spread of costs within which targets count as equal, in usual latencies.
const TIE_SPREAD: f64 = 0.15;

/// What a target is chosen for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoicePurpose {
    /// The first attempt: any target will do that may answer.
    First,
    /// An attempt after one that failed: likewise.
    Retry,
    /// An attempt beside one that is late: only a target that is likely to be faster.
    Hedge,
}

/// How little is expected of a target; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReplicaGrade {
    /// It answers.
    Good,
    /// It answers nothing at present.
    Stalled,
    /// Its reports stopped.
    Lapsed,
}

/// Returns the target that is expected to answer first, without those in `tried`.
pub fn choose_replica<'a>(
    replicas: &'a [Rc<ReplicaState>],
    tried: impl Fn(&ReplicaState) -> bool,
    purpose: ChoicePurpose,
    now: Timestamp,
    rng: &mut impl Rng,
) -> Option<&'a Rc<ReplicaState>> {
    let worst = match purpose {
        ChoicePurpose::First | ChoicePurpose::Retry => ReplicaGrade::Lapsed,
        ChoicePurpose::Hedge => ReplicaGrade::Good,
    };
    let mut best: Option<(ReplicaGrade, f64, &Rc<ReplicaState>)> = None;
    for replica in replicas {
        if !can_take(replica, now) || tried(replica) {
            continue;
        }
        let grade = grade_replica(replica, now);
        if grade > worst {
            continue;
        }
        let remote = if replica.spec.is_local { 0.0 } else { REMOTE_COST };
        let unkept = if replica.is_kept.get() { 0.0 } else { UNKEPT_COST };
        let tie = rng.random_range(0.0..TIE_SPREAD);
        let cost = replica.expected_cost(now) + remote + unkept + tie;
        let is_better = best.is_none_or(|(held, least, _)| (grade, cost) < (held, least));
        if is_better {
            best = Some((grade, cost, replica));
        }
    }
    best.map(|(_, _, replica)| replica)
}

/// Returns whether some target would take an attempt if it had a free connection.
pub(super) fn is_any_busy(replicas: &[Rc<ReplicaState>], now: Timestamp) -> bool {
    let mut reached =
        replicas.iter().filter(|replica| replica.is_usable.get() && !replica.is_ejected(now));
    reached.any(|replica| !replica.has_room(now))
}

fn can_take(replica: &ReplicaState, now: Timestamp) -> bool {
    replica.is_usable.get() && replica.has_room(now) && !replica.is_ejected(now)
}

fn grade_replica(replica: &ReplicaState, now: Timestamp) -> ReplicaGrade {
    if replica.is_lapsed.get() {
        ReplicaGrade::Lapsed
    } else if replica.is_stalled(now) {
        ReplicaGrade::Stalled
    } else {
        ReplicaGrade::Good
    }
}
