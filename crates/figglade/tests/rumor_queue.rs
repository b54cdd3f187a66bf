//! The order in which news leaves, and what is dropped when there is too much of it.

use figglade::controller::membership::rumor::{RumorQueue, RumorUrgency};

/// The most rumors that a queue holds.
const HELD: u64 = 4_096;

#[test]
fn urgent_and_least_sent_news_leaves_first() {
    let mut queue = RumorQueue::default();
    queue.push(1, RumorUrgency::Normal);
    queue.push(2, RumorUrgency::Normal);
    queue.push(3, RumorUrgency::Urgent);
    let size = |_| Some(10);
    assert_eq!(queue.take(20, 2, size), [3, 1]);
    assert_eq!(queue.take(20, 2, size), [3, 2], "3 reaches its limit");
    assert_eq!(queue.take(5, 2, size), [1], "the first is taken whatever its size");
    queue.push(2, RumorUrgency::Normal);
    assert_eq!(queue.take(10, 2, size), [2], "news that changed again starts anew");
    assert_eq!(queue.take(10, 2, size), [2]);
    assert!(queue.is_empty());
}

#[test]
fn news_of_absent_records_is_dropped() {
    let mut queue = RumorQueue::default();
    queue.push(1, RumorUrgency::Normal);
    queue.push(2, RumorUrgency::Normal);
    assert_eq!(queue.take(100, 9, |key| (key != 1).then_some(10)), [2]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn full_queue_drops_what_was_sent_most() {
    let mut queue = RumorQueue::default();
    for key in 0..HELD {
        queue.push(key, RumorUrgency::Normal);
    }
    queue.push(HELD, RumorUrgency::Urgent);
    assert_eq!(queue.len() as u64, HELD);
    let taken = queue.take(usize::MAX, 2, |_| Some(1));
    assert_eq!(taken.first(), Some(&HELD));
    assert!(!taken.contains(&(HELD - 1)), "the last of the least urgent made room");

    queue.push(5, RumorUrgency::Normal);
    queue.push(HELD + 1, RumorUrgency::Normal);
    assert_eq!(queue.len() as u64, HELD);
    let fresh = queue.take(2, 2, |_| Some(1));
    assert_eq!(fresh, [HELD, 5], "what was sent once already made room for the fresh");
}

#[test]
fn dropped_normal_news_never_leaves() {
    let mut queue = RumorQueue::default();
    queue.push(1, RumorUrgency::Normal);
    queue.push(2, RumorUrgency::Urgent);
    queue.drop_normal();
    assert_eq!(queue.take(100, 9, |_| Some(10)), [2]);
}
