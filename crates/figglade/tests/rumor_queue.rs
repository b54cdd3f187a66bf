//! The order in which queued rumors are sent, and which are dropped when the queue is full.

use figglade::controller::membership::rumor::{RumorQueue, RumorUrgency};

/// The maximum number of rumors in a queue.
const MAX_RUMORS: u64 = 4_096;

#[test]
fn urgent_and_least_sent_rumors_are_sent_first() {
    let mut queue = RumorQueue::default();
    queue.push(1, RumorUrgency::Normal);
    queue.push(2, RumorUrgency::Normal);
    queue.push(3, RumorUrgency::Urgent);
    let size = |_| Some(10);
    assert_eq!(queue.take(20, 2, size), [3, 1]);
    assert_eq!(queue.take(20, 2, size), [3, 2], "3 reaches its limit");
    assert_eq!(queue.take(5, 2, size), [1], "the first is taken whatever its size");
    queue.push(2, RumorUrgency::Normal);
    assert_eq!(queue.take(10, 2, size), [2], "a rumor that is queued again starts over");
    assert_eq!(queue.take(10, 2, size), [2]);
    assert!(queue.is_empty());
}

#[test]
fn rumors_of_absent_records_are_dropped() {
    let mut queue = RumorQueue::default();
    queue.push(1, RumorUrgency::Normal);
    queue.push(2, RumorUrgency::Normal);
    assert_eq!(queue.take(100, 9, |key| (key != 1).then_some(10)), [2]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_full_queue_drops_the_most_sent_of_the_least_urgent_rumors() {
    let mut queue = RumorQueue::default();
    for key in 0..MAX_RUMORS {
        queue.push(key, RumorUrgency::Normal);
    }
    queue.push(MAX_RUMORS, RumorUrgency::Urgent);
    assert_eq!(queue.len() as u64, MAX_RUMORS);
    let taken = queue.take(usize::MAX, 2, |_| Some(1));
    assert_eq!(taken.first(), Some(&MAX_RUMORS));
    assert!(!taken.contains(&(MAX_RUMORS - 1)), "the last of the least urgent rumors is dropped");

    queue.push(5, RumorUrgency::Normal);
    queue.push(MAX_RUMORS + 1, RumorUrgency::Normal);
    assert_eq!(queue.len() as u64, MAX_RUMORS);
    let fresh = queue.take(2, 2, |_| Some(1));
    assert_eq!(fresh, [MAX_RUMORS, 5], "a rumor that was sent once is dropped for a new one");
}

#[test]
fn dropped_normal_rumors_are_never_sent() {
    let mut queue = RumorQueue::default();
    queue.push(1, RumorUrgency::Normal);
    queue.push(2, RumorUrgency::Urgent);
    queue.drop_normal();
    assert_eq!(queue.take(100, 9, |_| Some(10)), [2]);
}
