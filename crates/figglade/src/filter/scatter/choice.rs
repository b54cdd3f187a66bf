//! Chooses the target of one attempt.

use std::rc::Rc;

use rand::{Rng, RngExt};

use crate::{Timestamp, filter::scatter::ReplicaState};

/// The surcharge for a target in a remote availability zone, in multiples of the typical latency.
/// Traffic between zones is billed, and a local target answers in time as long as it is not slower
/// than the hedge delay.
const REMOTE_COST: f64 = 1.3;
/// The surcharge for a target outside the connection subset, in multiples of the typical latency.
const OUTSIDE_SUBSET_COST: f64 = 1.5;
/// The range of the random amount that is added to each cost, in multiples of the typical latency.
/// Targets whose costs differ by less share the load.
const TIE_SPREAD: f64 = 0.15;

/// The kind of attempt that a target is chosen for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoicePurpose {
    /// The first attempt. Takes any target that may answer.
    First,
    /// An attempt after a failed one. Takes any target that may answer.
    Retry,
    /// An attempt in parallel to a late one. Takes only a target that is likely to be faster.
    Hedge,
}

/// The health of a target, best first. A better grade takes precedence over any cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReplicaGrade {
    /// The target answers.
    Good,
    /// Attempts at the target are late and it answers nothing at present.
    Stalled,
    /// The announcements of the target have lapsed.
    Lapsed,
}

/// Returns the target with the best grade and, among these, the lowest expected cost. Targets for
/// which `tried` returns true are left out.
///
/// Targets that have just become cold get at most their share of the requests: they look idle to every
/// instance at once, while those that stayed have queues.
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
    let open = || replicas.iter().filter(|replica| can_accept(replica, now) && !tried(replica));
    let avoids_returning = draw_avoids_returning(open(), now, rng);
    let mut best: Option<(ReplicaGrade, bool, f64, &Rc<ReplicaState>)> = None;
    for replica in open() {
        let grade = grade_replica(replica, now);
        if grade > worst {
            continue;
        }
        let is_avoided = avoids_returning && replica.is_returning(now);
        let remote = if replica.spec.is_local { 0.0 } else { REMOTE_COST };
        let outside_subset = if replica.is_in_subset.get() { 0.0 } else { OUTSIDE_SUBSET_COST };
        let tie = rng.random_range(0.0..TIE_SPREAD);
        let cost = replica.expected_cost(now) + remote + outside_subset + tie;
        let is_better = best.is_none_or(|(best_grade, is_best_avoided, best_cost, _)| {
            (grade, is_avoided, cost) < (best_grade, is_best_avoided, best_cost)
        });
        if is_better {
            best = Some((grade, is_avoided, cost, replica));
        }
    }
    best.map(|(_, _, _, replica)| replica)
}

/// Returns whether a choice avoids the returning targets: so often that they get at most their part of
/// the targets that answer.
fn draw_avoids_returning<'a>(
    open: impl Iterator<Item = &'a Rc<ReplicaState>>,
    now: Timestamp,
    rng: &mut impl Rng,
) -> bool {
    let good = open.filter(|replica| grade_replica(replica, now) == ReplicaGrade::Good);
    let (mut count, mut returning) = (0_u32, 0_u32);
    for replica in good {
        count += 1;
        returning += u32::from(replica.is_returning(now));
    }
    0 < returning && returning < count && rng.random_range(0..count) >= returning
}

/// Returns whether some target could be sent an attempt but for its connection limit.
pub(super) fn is_any_busy(replicas: &[Rc<ReplicaState>], now: Timestamp) -> bool {
    let mut open = replicas.iter().filter(|replica| replica.is_open(now));
    open.any(|replica| !replica.has_connection_capacity(now))
}

fn can_accept(replica: &ReplicaState, now: Timestamp) -> bool {
    replica.is_open(now) && replica.has_connection_capacity(now)
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
